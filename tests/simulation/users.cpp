#include "simulation/users.h"

#include <algorithm>
#include <memory>
#include <tuple>
#include <utility>

#include "simulation/world.h"

namespace rookdyke::test {

namespace {
constexpr double kPollPatience = 2, kPatience = 5;  // seconds
constexpr double kRetryInterval = 1;
constexpr double kSubmitRetries = 60;  // seconds for which a submission is retried
constexpr double kPollInterval = 5, kPollIntervalAfterEnd = 20;
constexpr double kOthersAnswered = 10;  // seconds since any answer
constexpr double kLeaderIsNew = 3;      // seconds
constexpr double kCancelWithin = 0.2;   // seconds
constexpr size_t kMostHungMachines = 8;
constexpr double kUnexpectedRequestInterval = 0.5;
constexpr double kCancelledOnceAccepted = 0.15;  // share of jobs
constexpr int kControllerTries = 8;

double patience(UserRequest request) {
  return request == UserRequest::poll ? kPollPatience : kPatience;
}

bool is_final(const std::string& status) { return status == "done" || status == "aborted"; }
bool is_open(const std::string& status) { return status == "pending" || status == "running"; }
}  // namespace

std::optional<size_t> Users::any_controller() {
  for (int i = 0; i < kControllerTries; ++i) {
    const size_t index = world_.random() % world_.controllers.size();
    if (world_.controllers[index]->alive) return index;
  }
  return std::nullopt;
}

// Controllers work on requests asynchronously, so the answer is awaited here rather than by call().
void Users::ask(size_t controller, UserRequest request, const JobSpec& spec,
                const OnAnswer& on_answer) {
  Clock& clock = world_.clock;
  SimController* served_by = world_.controllers[controller].get();
  auto settled = std::make_shared<bool>(false);
  const auto settle = [settled, on_answer](const std::string& answer, const Asked& when) {
    if (!std::exchange(*settled, true)) on_answer(answer, when);
  };
  const double asked = clock.now;
  clock.after(patience(request), [settle] { settle("", {}); });
  const auto reply = [this, settle, asked, controller](const std::string& answer) {
    const Asked when{asked, world_.clock.now, static_cast<int>(controller)};
    const double delayed = world_.faults.message_delay;
    const bool is_delayed = delayed > 0 && world_.chance() < delayed;
    const double back = kMessageDelay + (is_delayed ? kLongestDelay * world_.chance() : 0);
    world_.clock.after(back, [settle, answer, when] { settle(answer, when); });
  };
  world_.network.call(
      kUsersPlace, controller_place(controller), patience(request),
      [served_by, request, spec, reply] { served_by->on_user_request(request, spec, reply); },
      [](bool) {});
}

void Users::ask_any(UserRequest request, const JobSpec& spec) {
  if (const auto controller = any_controller()) ask_controller(*controller, request, spec);
}

void Users::ask_controller(size_t controller, UserRequest request, const JobSpec& spec) {
  ask(controller, request, spec,
      [this, request, id = spec.id](const std::string& answer, const Asked& when) {
        if (!answer.empty()) heard(id, answer, request == UserRequest::abort, when);
      });
}

void Users::ask_all(const JobSpec& spec, UserRequest request) {
  for (size_t i = 0; i < world_.controllers.size(); ++i)
    if (world_.controllers[i]->alive) ask_controller(i, request, spec);
}

// ---- what every user does

void Users::submit(const JobSpec& spec, double run_s, bool faulty) {
  UserJob& job = jobs[spec.id];
  job.spec = spec;
  job.run_s = run_s;
  job.faulty = faulty;
  job.submitted_at = world_.clock.now;
  world_.checker.submitted(world_.clock.now, spec);
  if (faulty) world_.checker.fails_by_itself(spec.id);
  try_submit(spec.id, world_.clock.now);
}

void Users::try_submit(const std::string& id, double started) {
  const auto retry = [this, id, started] {
    if (world_.clock.now - started >= kSubmitRetries) return;
    world_.clock.after(kRetryInterval, [this, id, started] { try_submit(id, started); });
  };
  const auto controller = any_controller();
  if (!controller) return retry();
  ask(*controller, UserRequest::submit, jobs[id].spec,
      [this, id, retry](const std::string& answer, const Asked& when) {
        if (answer.empty()) return retry();
        heard(id, answer, false, when);
        last_answer_ = world_.clock.now;
        world_.clock.after(kPollInterval, [this, id] { poll(id); });
      });
}

void Users::poll(const std::string& id) {
  const auto on_answer = [this, id](const std::string& answer, const Asked& when) {
    const double now = world_.clock.now;
    if (answer.empty()) {
      world_.checker.poll_failed(now, id, now - last_answer_ < kOthersAnswered);
    } else {
      heard(id, answer, false, when);
      last_answer_ = now;
    }
    // Users may ask at any later time: they go on, more seldom, after the end.
    world_.clock.after(is_final(answer) ? kPollIntervalAfterEnd : kPollInterval,
                       [this, id] { poll(id); });
  };
  if (const auto controller = any_controller())
    ask(*controller, UserRequest::poll, jobs[id].spec, on_answer);
  else
    world_.clock.after(kPollPatience, [on_answer] { on_answer("", {}); });
}

void Users::abort(const std::string& id) {
  jobs[id].abort_asked = true;
  if (world_.faults.slow_state_s > 0) world_.record_event("cancelled_while_state_is_slow");
  if (!world_.leader() || world_.leading_for() < kLeaderIsNew)
    world_.record_event("cancelled_as_leader_changes");
  try_abort(id);
}

void Users::try_abort(const std::string& id) {
  const auto on_answer = [this, id](const std::string& answer, const Asked& when) {
    if (!is_final(answer)) {
      world_.clock.after(kRetryInterval, [this, id] { try_abort(id); });
      return;
    }
    heard(id, answer, true, when);
  };
  if (const auto controller = any_controller())
    ask(*controller, UserRequest::abort, jobs[id].spec, on_answer);
  else
    world_.clock.after(kPatience, [on_answer] { on_answer("", {}); });
}

void Users::heard(const std::string& id, const std::string& answer, bool cancel_asked,
                  const Asked& when) {
  const double now = world_.clock.now;
  auto it = jobs.find(id);
  const bool was_cancelled = cancel_asked || (it != jobs.end() && it->second.abort_asked);
  world_.checker.told(now, id, answer, was_cancelled, when);
  if (it == jobs.end()) return;
  UserJob& job = it->second;
  const bool finished = is_final(job.told);
  const bool first = job.told.empty() && answer != "404";
  if (first || (!finished && is_final(answer))) on_news(id, answer, first);
  if (answer == "404") return;              // not accepted yet, or the checker has judged it
  if (finished && is_open(answer)) return;  // sent before the end
  job.told = answer;
  if (answer == "done" && job.done_at < 0) job.done_at = now;
  if (answer == "aborted" && job.cancelled_at < 0) job.cancelled_at = now;
}

void Users::on_news(const std::string& id, const std::string& answer, bool first) {
  if (answer == "aborted") record_cancellation(jobs.at(id));
  send_concurrent_requests(id);
  if (world_.clock.now < concurrent_requests_until && first &&
      world_.chance() < kCancelledOnceAccepted)
    abort(id);
}

double Users::served_share(const std::string& id, double after_s) const {
  const UserJob& job = jobs.at(id);
  const double now = world_.clock.now;
  const double end = job.cancelled_at >= 0 ? job.cancelled_at : now;
  double served = job.served_s;
  for (const auto& [name, w] : world_.cloud.workers)
    for (const auto& [key, t] : w->tasks)
      if (key.job == id && t.phase == TaskPhase::running) served += now - t.began;
  return served / (job.spec.tasks * std::max(0.01, end - job.submitted_at - after_s));
}

// ---- what users do in some scenarios

std::map<std::string, Users::RunningJob> Users::running_jobs() {
  std::map<std::string, RunningJob> running;
  for (auto& [name, w] : world_.cloud.workers)
    for (auto& [key, t] : w->tasks) {
      const UserJob& job = jobs.at(key.job);
      if (t.phase != TaskPhase::running || job.abort_asked) continue;
      auto progress = job.progress.find(key.task);
      const double saved = progress == job.progress.end() ? 0 : progress->second;
      RunningJob& r = running[key.job];
      r.left_s = std::max(r.left_s, job.run_s - saved - (world_.clock.now - t.began));
      r.machines.push_back(w.get());
    }
  return running;
}

void Users::cancel_longest_running(size_t count, double hang_s) {
  const std::map<std::string, RunningJob> running = running_jobs();
  struct Candidate {
    double left_s;
    std::string id;
  };
  std::vector<Candidate> longest;
  longest.reserve(running.size());
  for (const auto& [id, r] : running) longest.push_back({r.left_s, id});
  std::sort(longest.begin(), longest.end(), [](const Candidate& a, const Candidate& b) {
    return std::tie(a.left_s, a.id) > std::tie(b.left_s, b.id);
  });
  longest.resize(std::min(longest.size(), count));
  size_t may_hang = hang_s > 0 ? kMostHungMachines : 0;
  for (const Candidate& candidate : longest) {
    world_.clock.after(kCancelWithin * world_.chance(), [this, id = candidate.id] { abort(id); });
    for (Worker* w : running.at(candidate.id).machines) {
      if (may_hang == 0 || w->hung) continue;
      --may_hang;
      w->hang(hang_s);
    }
  }
}

void Users::on_last_task_ended(const std::string& id) {
  const double cancelled = world_.faults.cancel_at_end;
  if (cancelled > 0 && world_.chance() < cancelled) abort(id);
  send_concurrent_requests(id);
  if (world_.clock.now >= unexpected_requests_until_) return;
  ask_any(UserRequest::submit, jobs.at(id).spec);
  ask_any(UserRequest::poll, jobs.at(id).spec);
}

void Users::send_unexpected_requests(double s) {
  unexpected_requests_until_ = world_.clock.now + s;
  send_unexpected_request();
}

void Users::send_unexpected_request() {
  if (world_.clock.now >= unexpected_requests_until_) return;
  std::vector<std::string> open, done;
  for (const auto& [id, job] : jobs) {
    if (is_open(job.told)) open.push_back(id);
    if (job.told == "done") done.push_back(id);
  }
  if (!open.empty())
    ask_any(UserRequest::submit, jobs.at(open[world_.random() % open.size()]).spec);
  if (!done.empty()) {
    UserJob& job = jobs.at(done[world_.random() % done.size()]);
    job.abort_asked = true;
    ask_any(UserRequest::abort, job.spec);
  }
  JobSpec unknown;
  unknown.id = "wk-999999";
  ask_any(UserRequest::poll, unknown);
  world_.clock.after(kUnexpectedRequestInterval, [this] { send_unexpected_request(); });
}

void Users::send_concurrent_requests(const std::string& id) {
  if (world_.clock.now >= concurrent_requests_until) return;
  world_.record_event("close_looks");
  for (const double s : {0.0, 0.002, 0.007, 0.02, 0.06})
    world_.clock.after(s, [this, id] {
      ask_all(jobs.at(id).spec, UserRequest::poll);
      ask_any(UserRequest::submit, jobs.at(id).spec);
    });
}

// A user has just heard that it is cancelled: which faults does that coincide with?
void Users::record_cancellation(const UserJob& job) {
  if (world_.faults.slow_state_s > 0) world_.record_event("confirmed_while_state_is_slow");
  if (is_at_quota(job.spec.team)) world_.record_event("team_at_its_limit");
  for (const auto& [name, w] : world_.cloud.workers)
    for (const auto& [key, t] : w->tasks) {
      if (key.job != job.spec.id || t.phase == TaskPhase::exited) continue;
      if (w->hung) world_.record_event("cancelled_on_hung_machine");
      for (size_t i = 0; i < world_.controllers.size(); ++i)
        if (world_.controllers[i]->leading() && world_.network.is_cut(controller_place(i), name))
          world_.record_event("cancelled_on_cut_machine");
    }
}

// Whether one more task like the smallest that the team's jobs have would exceed its quota.
bool Users::is_at_quota(const std::string& team) const {
  Resources used, least{1e9, 1e9, 1e9};
  for (const auto& [id, job] : jobs) {
    if (job.spec.team != team) continue;
    least.cpus = std::min(least.cpus, job.spec.per_task.cpus);
    least.gpus = std::min(least.gpus, job.spec.per_task.gpus);
  }
  for (const auto& [name, w] : world_.cloud.workers)
    for (const auto& [key, t] : w->tasks)
      if (t.phase != TaskPhase::exited && jobs.at(key.job).spec.team == team)
        used += jobs.at(key.job).spec.per_task;
  for (const TeamQuota& quota : world_.settings.teams)
    if (quota.name == team)
      return (quota.cpus_max > 0 && used.cpus + least.cpus > quota.cpus_max) ||
             (quota.gpus_max > 0 && used.gpus + least.gpus > quota.gpus_max);
  return false;
}

}  // namespace rookdyke::test
