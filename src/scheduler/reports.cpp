// What a worker's report proves about the tasks on its machine, and what it is answered with.

#include <spdlog/spdlog.h>

#include <algorithm>

#include "scheduler/scheduler.h"

namespace rookdyke {

namespace {

// A replica that ran for this long shows that neither its job nor its machine is faulty.
constexpr double kProvenAfter = 10;
// A new leader calls machines that have not come to it from this moment on: until then those whose
// leader ended with a closed connection begin to come by themselves.
constexpr double kAnnounceTokenAfter = 1;
// With so many machines called in vain the others are left to come by themselves for a while: each
// such call keeps a thread that direct commands need.
constexpr int kMostCalledInVain = 10;

// By when workers that can find their way to a leader of that start have mostly come.
double expected_by(double started, const Settings& settings) {
  return started + 1.3 * settings.heartbeat_interval_s + 1.5;
}

AttemptState seen(TaskPhase s) {
  switch (s) {
    case TaskPhase::fetching:
      return AttemptState::fetching;
    case TaskPhase::gang_waiting:
      return AttemptState::gang_waiting;
    case TaskPhase::running:
      return AttemptState::running;
    case TaskPhase::checkpointing:
      return AttemptState::checkpointing;
    case TaskPhase::exited:
      return AttemptState::ended;
  }
  return AttemptState::ended;
}

}  // namespace

void Scheduler::record_heartbeat(Machine& m, const Heartbeat& r, double now) {
  if (!m.registered) {
    m.addr = r.addr;
    // What the cloud said of it is not given up for a type that nobody knows.
    const Index type = catalog_.type_names.find(r.type);
    if (type != kNone || m.type == kNone) {
      m.type = type;
      m.zone = catalog_.zones.intern(r.zone);
      m.spot = r.spot;
    }
    boot_tracker_.record_boot(m, now);
    m.registered = true;
    m.heartbeats_with_older_token = 0;
    m.older_token_since = -1;
    spdlog::debug("machine {} reports for the first time, {:.1f} s after it was hired or met",
                  m.name, now - m.rented_at);
  }
  m.was_up = true;
  m.last_heartbeat = now;
  if (m.epoch != r.epoch) {
    m.unanswered_starts.clear();  // a direct command names its session
    m.unacknowledged_commands.clear();
  }
  m.epoch = r.epoch;
  m.seq = r.seq;
  if (m.state == MachineState::booting)
    MachineTable::set_state(m, MachineState::ready, "its worker reports");
}

void Scheduler::touch_image(Machine& m, const Job& job, double now) {
  m.images[job.image] = {now, job.spec.image_gb};
  if (m.type == kNone || catalog_.types[m.type].cache_gb <= 0) return;
  // The worker keeps the most recently used images; forget what must have fallen out.
  double sum = 0;
  for (const auto& [i, e] : m.images) sum += e.second;
  while (sum > catalog_.types[m.type].cache_gb && m.images.size() > 1) {
    auto oldest = std::min_element(m.images.begin(), m.images.end(), [](auto& a, auto& b) {
      return a.second.first < b.second.first;
    });
    sum -= oldest->second.second;
    m.images.erase(oldest);
  }
}

nlohmann::json Scheduler::image_locations() const {
  using nlohmann::json;
  std::map<Index, size_t> place;
  json images = json::array(), machines = json::object();
  for (const auto& m : machines_) {
    if (m->state != MachineState::ready || m->images.empty()) continue;
    std::vector<std::pair<double, Index>> by_use;
    for (const auto& [image, e] : m->images) {
      if (place.try_emplace(image, place.size()).second)
        images.push_back(json::array({catalog_.images.name(image), e.second}));
      by_use.emplace_back(e.first, image);
    }
    std::sort(by_use.begin(), by_use.end());
    json list = json::array();  // least recently used first
    for (const auto& [at, image] : by_use) list.push_back(place.at(image));
    machines[m->name] = std::move(list);
  }
  return {{"images", std::move(images)}, {"machines", std::move(machines)}};
}

void Scheduler::load_image_locations(const nlohmann::json& hints, double now) {
  try {
    std::vector<std::pair<Index, double>> images;
    for (const auto& e : hints.at("images"))
      images.emplace_back(catalog_.images.intern(e.at(0).get<std::string>()),
                          e.at(1).get<double>());
    for (const auto& [name, list] : hints.at("machines").items()) {
      const Index i = machines_.index_of(name);
      if (i == kNone) continue;
      double used = now - static_cast<double>(list.size());
      for (const auto& k : list) {
        const auto& [image, gb] = images.at(k.get<size_t>());
        machines_[i].images[image] = {used, gb};
        used += 1;
      }
    }
  } catch (const std::exception& e) {
    spdlog::debug("image hints cannot be read: {}", e.what());
  }
}

// A replica never exits with success: that it runs on for a while takes its place.
void Scheduler::record_replica_run(Machine& m, Job& job, Attempt& a, double now) {
  if (a.proven || a.state != AttemptState::running || now - a.running_since < kProvenAfter) return;
  a.proven = true;
  FaultDetector::record_success(m, job);
}

void Scheduler::apply_task_status(Machine& m, Job& job, Attempt& a, const TaskStatus& t,
                                  double now) {
  if (a.state == AttemptState::ended || a.state == AttemptState::proposed) return;
  if (t.phase != TaskPhase::exited) {
    const AttemptState to = seen(t.phase);
    if (to == AttemptState::running && a.state != AttemptState::running) a.running_since = now;
    if (a.state == AttemptState::placed || to >= a.state) lifecycle_.set_state(job, a, to);
    if (job.is_service()) record_replica_run(m, job, a, now);
    if (t.phase != TaskPhase::fetching) touch_image(m, job, now);
    return;
  }
  if (t.cause == ExitCause::done) {
    touch_image(m, job, now);
    FaultDetector::record_success(m);
  } else if (t.cause == ExitCause::error) {
    faults_.record_error(m, job, now);
  }
  if (t.cause != ExitCause::done && t.cause != ExitCause::stopped)
    spdlog::info("task {}/{} attempt {} on {} ended: cause {}", job.spec.id, a.task, a.number,
                 m.name, static_cast<int>(t.cause));
  lifecycle_.end(job, a.task, t.cause, now, "its worker reports the exit");
}

void Scheduler::on_reclaim_notice(Machine& m, double notice_s, double now) {
  if (m.reclaim_at < 0) {
    spdlog::info("machine {} will be taken back in {:.1f} s, {} tasks on it", m.name, notice_s,
                 m.tasks.size());
    m.cordoned = true;
    MachineTable::drain(m, now, "notice");
  }
  m.reclaim_at = now + notice_s;
  for (const auto& [j, t] : m.tasks) {
    Job& job = jobs_[j];
    Attempt& a = job.attempts.at(t);
    if (job.is_service()) {
      replicas_.on_reclaim_notice(job, a, notice_s);
      continue;
    }
    const bool can_save = job.spec.checkpoint_interval_s > 0 && a.state == AttemptState::running;
    if (can_save) {
      if (job.spec.checkpoint_duration_s + kGraceMargin < notice_s)
        lifecycle_.stop_with_gang(job, a, job.spec.checkpoint_duration_s + kGraceMargin);
    } else if (a.state != AttemptState::running && a.state != AttemptState::checkpointing) {
      lifecycle_.stop(job, a, 0);  // nothing to lose yet: let it start elsewhere
    }
    // A running task without checkpoints may still end in time; stopping it would lose it surely.
  }
}

HeartbeatReply Scheduler::on_heartbeat(const Heartbeat& r, double now) {
  HeartbeatReply reply;
  if (r.fencing_token > claim_.fencing_token()) {
    // Invariant 2: somebody newer commands this worker.
    claim_.lose("a worker has seen token " + std::to_string(r.fencing_token));
    reply.verdict = HeartbeatReply::Verdict::deposed;
    return reply;
  }
  Machine& m = machines_.get_or_add(r.machine, now);
  if (m.state == MachineState::terminated) return reply;  // a late report of a returned machine
  if (m.registered && std::make_pair(r.epoch, r.seq) <= std::make_pair(m.epoch, m.seq)) {
    // Held back on its way: its task list is as old as it is, and its answer goes nowhere.
    reply.verdict = HeartbeatReply::Verdict::outdated;
    return reply;
  }
  if (r.fencing_token < claim_.fencing_token()) {
    // Invariant 7: sent before its worker had seen our token, so perhaps long ago, and perhaps a
    // copy: it proves nothing, shows no life, and is answered with the token alone. A worker that
    // takes that up reports again within half a second.
    if (std::make_pair(r.epoch, r.seq) > std::make_pair(m.older_token_epoch, m.older_token_seq)) {
      m.older_token_epoch = r.epoch;
      m.older_token_seq = r.seq;
      // Those that a cut held back come all at once: they count for one.
      if (m.heartbeats_with_older_token == 0 ||
          now - m.older_token_at > 0.5 * settings_.heartbeat_interval_s) {
        m.older_token_at = now;
        if (m.heartbeats_with_older_token++ == 0) m.older_token_since = now;
      }
      if (m.addr.empty()) m.addr = r.addr;
    }
    return reply;
  }
  // It lost its lease although we answered it all along: our answers do not reach it.
  if (m.registered && r.epoch > m.epoch && now - m.last_heartbeat < 0.6 * settings_.lease_s)
    m.heartbeats_without_acknowledgement = kUnreachableAfterHeartbeats;
  // Invariant 3, "its tenure rose": the worker killed everything of earlier sessions.
  const auto here = m.tasks;
  for (const auto& [j, t] : here) {
    Job& job = jobs_[j];
    if (auto a = job.attempts.find(t); a != job.attempts.end() && a->second.epoch < r.epoch)
      lifecycle_.end(job, t, ExitCause::none, now, "the worker's session rose");
  }
  const size_t busy = m.tasks.size();
  const bool known = m.registered;
  record_heartbeat(m, r, now);
  note_acknowledged_commands(m, r);
  if (r.notice_s >= 0) on_reclaim_notice(m, r.notice_s, now);
  commands_for(m, r, reply, now);
  if (!known || m.tasks.size() < busy) needs_round_ = true;
  return reply;
}

// A machine whose reports arrive while nothing that we say reaches it shows by them that what their
// predecessors were answered was never taken up. Silence is not asked for: it has none.
void Scheduler::note_acknowledged_commands(Machine& m, const Heartbeat& r) {
  if (m.unacknowledged_commands.empty()) return;
  size_t taken = 0;
  for (const auto& [verb, job, task, attempt] : m.unacknowledged_commands) {
    const TaskStatus* t = nullptr;
    for (const TaskStatus& x : r.tasks)
      if (x.task == task && x.attempt == attempt && x.job == job) t = &x;
    const bool done = verb == CommandKind::start    ? t != nullptr
                      : verb == CommandKind::forget ? t == nullptr
                                                    : !t || t->phase >= TaskPhase::checkpointing;
    taken += done;
  }
  m.unacknowledged_commands.clear();
  if (taken > 0) {
    if (m.unreachable()) spdlog::info("machine {}: our answers reach it again", m.name);
    m.heartbeats_without_acknowledgement = 0;
  } else if (++m.heartbeats_without_acknowledgement == kUnreachableAfterHeartbeats) {
    spdlog::info("machine {} takes up nothing of what it is answered", m.name);
  }
}

// Takes over what the report says of each task; collects the orders its list calls for.
void Scheduler::apply_task_list(Machine& m, const Heartbeat& r,
                                std::vector<WorkerCommand>* stop_commands,
                                std::vector<WorkerCommand>* forget_commands, Listed& listed,
                                double now) {
  m.has_unknown_tasks = false;
  for (const TaskStatus& t : r.tasks) {
    Job* job = jobs_.find(jobs_.index_of(t.job));
    Attempt* a = nullptr;
    if (job) {
      auto f = job->attempts.find(t.task);
      if (f != job->attempts.end() && f->second.number == t.attempt && f->second.machine == m.index)
        a = &f->second;
    }
    if (!a) {
      // Unknown: removed durably before (its exit counts, invariant 4), or of a job that is over.
      if (t.phase != TaskPhase::exited) {
        if (stop_commands)
          stop_commands->push_back({CommandKind::stop, t.job, t.task, t.attempt, 0});
        m.has_unknown_tasks = true;
      } else if (forget_commands && !m.unanswered_starts.count({t.job, t.task, t.attempt})) {
        forget_commands->push_back({CommandKind::forget, t.job, t.task, t.attempt, 0});
      }
      continue;
    }
    const Index job_index = job->id;
    listed.emplace_back(job_index, t.task);
    apply_task_status(m, *job, *a, t, now);  // may drop the job when it is over
    job = jobs_.find(job_index);
    if (!job) continue;
    auto f = job->attempts.find(t.task);
    if (f == job->attempts.end() || f->second.number != t.attempt) continue;
    Attempt& now_a = f->second;
    if (now_a.state == AttemptState::ended || !now_a.stop || !stop_commands) continue;
    if (now_a.state != AttemptState::checkpointing || now_a.grace_s <= 0)
      stop_commands->push_back({CommandKind::stop, t.job, t.task, t.attempt, now_a.grace_s});
  }
}

// Whether its start may be ordered: durable, wanted as far as we can know, and for a gang all of it
// durable.
bool Scheduler::may_start(const Job& job, const Attempt& a) const {
  if (a.state != AttemptState::placed || a.stop || job.is_finished() || !starts_allowed_)
    return false;
  return !job.is_gang() || job.proposed == 0;
}

void Scheduler::commands_for(Machine& m, const Heartbeat& r, HeartbeatReply& reply, double now) {
  // The worker has seen our token (on_report), so it executes no older order any more; only then
  // does its silence about a task mean anything (invariant 3).
  Listed listed;
  std::vector<WorkerCommand> stop_commands, forget_commands, runs;
  apply_task_list(m, r, &stop_commands, &forget_commands, listed, now);
  const auto here = m.tasks;
  for (const auto& [j, t] : here) {
    if (std::find(listed.begin(), listed.end(), std::make_pair(j, t)) != listed.end()) continue;
    Job& job = jobs_[j];
    Attempt& a = job.attempts.at(t);
    if (a.state == AttemptState::proposed) continue;
    if (a.state != AttemptState::placed) {
      // Reported before and not any more: it left without a word of ours.
      lifecycle_.end(job, t, ExitCause::none, now, "its worker no longer lists it");
      continue;
    }
    if (a.stop) {
      if (a.direct) {
        // A direct `run` may still be executed. Ordered here and stopped at once, the attempt is
        // listed as exited, and the late copy finds it there and has no effect.
        if (!m.direct_in_flight) {
          runs.push_back({CommandKind::start, job.spec.id, t, a.number, 0});
          runs.push_back({CommandKind::stop, job.spec.id, t, a.number, 0});
        }
      } else {
        // Never ordered by us, or ordered in the answer to an earlier report, which this one
        // settles: the worker either executed it or dropped the answer.
        lifecycle_.end(job, t, ExitCause::none, now, "not there, and no order for it is left");
      }
      continue;
    }
    if (!may_start(job, a)) continue;
    runs.push_back({CommandKind::start, job.spec.id, t, a.number, 0});
    a.ordered_epoch = r.epoch;
    a.ordered_seq = r.seq;
  }
  // Room is made before it is used; a forgotten attempt is cleared before its task's next one.
  for (auto* list : {&forget_commands, &stop_commands, &runs})
    reply.commands.insert(reply.commands.end(), list->begin(), list->end());
  if (reply.commands.size() > 400) reply.commands.resize(400);  // 64 KiB; the rest rides next time
  for (const WorkerCommand& o : reply.commands)
    m.unacknowledged_commands.emplace_back(o.verb, o.job, o.task, o.attempt);
}

// Workers stay with the controller that answers them: a deposed leader that is cut from its
// siblings and the state service, but not from its workers, would keep them. A direct call, if only
// with our token, makes their next report to it carry the news. And workers of a leader that stands
// still or fell away wait for its answer first, and then perhaps for that of another node that is
// gone: until they come, calls tell what runs there and start what waits.
std::optional<DirectCommand> Scheduler::token_announcement(double now) {
  if (now - started_ < kAnnounceTokenAfter || now < announce_token_at_) return std::nullopt;
  const double expected = expected_by(started_, settings_);
  const auto in_vain = std::count_if(machines_.begin(), machines_.end(), [](const auto& m) {
    return m->token_announcements > 0 && !m->registered && !m->direct_in_flight;
  });
  if (in_vain >= kMostCalledInVain && now < expected) return std::nullopt;
  for (const auto& mp : machines_) {
    Machine& m = *mp;
    if (m.registered || m.addr.empty() || m.direct_in_flight || m.token_announcements >= 4)
      continue;
    if (m.state != MachineState::booting || now < m.announce_token_at) continue;
    if (!m.was_up && m.heartbeats_with_older_token == 0) continue;
    ++m.token_announcements;
    m.announce_token_at = std::max(now + 3, expected);
    m.direct_in_flight = true;
    DirectCommand d;
    d.machine = m.index;
    d.addr = m.addr;
    d.epoch = std::max<uint64_t>(1, m.epoch);
    return d;
  }
  announce_token_at_ = now + 0.5;
  return std::nullopt;
}

std::optional<DirectCommand> Scheduler::next_direct_command(double now) {
  if (claim_.is_lost()) return std::nullopt;
  for (auto it = pending_commands_.machines().begin(); it != pending_commands_.machines().end();) {
    Machine& m = machines_[*it];
    // Silent machines are left to their reports: an unanswered order is a burden.
    if (m.direct_in_flight || now < m.direct_commands_after) {
      ++it;
      continue;
    }
    it = pending_commands_.machines().erase(it);
    if (!m.registered || m.unreachable() || m.addr.empty() ||
        now - m.last_heartbeat > 1.7 * settings_.heartbeat_interval_s)
      continue;
    if (m.state != MachineState::ready && m.state != MachineState::draining) continue;
    DirectCommand d;
    d.machine = m.index;
    d.addr = m.addr;
    d.epoch = m.epoch;
    std::vector<WorkerCommand> runs;
    for (const auto& [j, t] : m.tasks) {
      Job& job = jobs_[j];
      Attempt& a = job.attempts.at(t);
      if (may_start(job, a) && a.epoch == m.epoch) {
        runs.push_back({CommandKind::start, job.spec.id, t, a.number, 0});
        a.direct = true;
      } else if (a.stop && a.state != AttemptState::ended && a.state != AttemptState::proposed &&
                 a.state != AttemptState::placed && a.state != AttemptState::checkpointing) {
        d.commands.push_back({CommandKind::stop, job.spec.id, t, a.number, a.grace_s});
      }
      if (runs.size() + d.commands.size() >= 200) break;
    }
    d.commands.insert(d.commands.end(), runs.begin(), runs.end());
    if (d.commands.empty()) continue;
    m.direct_in_flight = true;
    return d;
  }
  return token_announcement(now);
}

void Scheduler::on_direct_command_result(const DirectCommand& d, bool answered,
                                         const std::optional<Heartbeat>& r, double now) {
  Machine& m = machines_[d.machine];
  m.direct_in_flight = false;
  if (r && r->fencing_token > claim_.fencing_token()) {
    claim_.lose("a worker has seen token " + std::to_string(r->fencing_token));
    return;
  }
  if (answered) {
    for (const WorkerCommand& o : d.commands) {
      if (o.verb != CommandKind::start || m.unanswered_starts.count({o.job, o.task, o.attempt}))
        continue;
      Job* job = jobs_.find(jobs_.index_of(o.job));
      if (!job) continue;
      auto a = job->attempts.find(o.task);
      if (a != job->attempts.end() && a->second.number == o.attempt) a->second.direct = false;
    }
  } else if (!d.commands.empty()) {
    m.direct_commands_after = now + 5;
    for (const WorkerCommand& o : d.commands)
      if (o.verb == CommandKind::start) m.unanswered_starts.insert({o.job, o.task, o.attempt});
  }
  if (!r || m.state == MachineState::terminated) return;
  if (!m.registered) {
    // A token announcement. The answer to a call of our own is no late copy.
    m.epoch = std::max(m.epoch, r->epoch);
    if (r->fencing_token < claim_.fencing_token()) {
      if (r->epoch != d.epoch) m.announce_token_at = now;  // once more, with its session
      return;
    }
    on_heartbeat(*r, now);
    // It still has to find its way to us: its silence means something no sooner than without this.
    m.last_heartbeat = std::max(m.last_heartbeat, expected_by(started_, settings_));
    return;
  }
  if (r->epoch != m.epoch || r->seq <= m.seq) return;
  // What it lists counts. What it does not list proves nothing: the answer to a report may be on
  // its way to the worker with an order that this list does not know.
  m.seq = r->seq;
  Listed listed;
  apply_task_list(m, *r, nullptr, nullptr, listed, now);
}

}  // namespace rookdyke
