#include "scheduler/task_lifecycle.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace rookdyke {

namespace {

// A replica that ran for less waits ever longer for its next start.
constexpr double kShortRun = 10;
constexpr double kFirstBackOff = 1;
constexpr double kLongestBackOff = 60;
constexpr uint32_t kMaxBackOffDoublings = 6;
// After a worker refused a start.
constexpr double kRefusedBackOff = 1;

WriteUrgency start_urgency(const Job& job) {
  if (job.is_service()) return WriteUrgency::replica;
  return job.has_start_promise ? WriteUrgency::start_objective : WriteUrgency::start;
}

}  // namespace

bool TaskLifecycle::set_state(Job& job, Attempt& attempt, AttemptState to) {
  if (attempt.state == to) return true;
  if (!allowed(attempt.state, to)) {
    spdlog::error("task {}/{} attempt {}: no step from {} to {}", job.spec.id, attempt.task,
                  attempt.number, to_string(attempt.state), to_string(to));
    return false;
  }
  spdlog::debug("task {}/{} attempt {} on {}: {} -> {}", job.spec.id, attempt.task, attempt.number,
                machines_[attempt.machine].name, to_string(attempt.state), to_string(to));
  attempt.state = to;
  return true;
}

// ---------------------------------------------------------------- proposals

void TaskLifecycle::occupy(Job& job, Attempt attempt) {
  Machine& machine = machines_[attempt.machine];
  machine.tasks.emplace_back(job.id, attempt.task);
  machine.used += job.spec.per_task;
  usage_.add(job.team, job.spec.per_task);
  job.attempts[attempt.task] = attempt;
}

// Gives back what an attempt takes of its machine and its team.
void TaskLifecycle::vacate(Job& job, const Attempt& attempt) {
  Machine& machine = machines_[attempt.machine];
  std::erase(machine.tasks, std::make_pair(job.id, attempt.task));
  machine.used -= job.spec.per_task;
  if (machine.tasks.empty()) machine.used = {};
  usage_.remove(job.team, job.spec.per_task);
}

void TaskLifecycle::propose(Job& job, uint32_t task, uint64_t number, Machine& machine,
                            bool shielded, double now) {
  Attempt attempt;
  attempt.task = task;
  attempt.number = number;
  attempt.machine = machine.index;
  attempt.epoch = machine.epoch;
  attempt.since = now;
  attempt.shielded = shielded;
  occupy(job, attempt);
  job.waiting.erase(task);
  ++job.proposed;
  job.highest_attempt = std::max(job.highest_attempt, number);
  pages_.mark_changed(job, task, start_urgency(job), now);
  spdlog::debug("task {}/{} attempt {}: proposed for {}", job.spec.id, task, number, machine.name);
}

// Invariant 3: what a predecessor committed counts as being there until its machine proves
// otherwise.
void TaskLifecycle::restore(Job& job, const ledger::LiveAttempt& live, double now) {
  Machine& machine = machines_.get_or_add(live.machine, now);
  machine.was_up = true;
  Attempt attempt;
  attempt.task = live.task;
  attempt.number = live.attempt;
  attempt.machine = machine.index;
  attempt.epoch = live.epoch;
  attempt.state = AttemptState::placed;
  attempt.since = now;
  occupy(job, attempt);
}

bool TaskLifecycle::proposal_stands(const Attempt& attempt) const {
  const Machine& machine = machines_[attempt.machine];
  return machine.state == MachineState::ready && !machine.cordoned &&
         machine.epoch == attempt.epoch;
}

void TaskLifecycle::withdraw_proposals(Job& job, bool all) {
  if (job.proposed == 0) return;
  const auto is_void = [this](const Attempt& attempt) {
    return attempt.state == AttemptState::proposed && !proposal_stands(attempt);
  };
  const bool any = all || std::any_of(job.attempts.begin(), job.attempts.end(),
                                      [&](const auto& entry) { return is_void(entry.second); });
  if (!any) return;
  all = all || (job.is_gang() && job.proposed == job.attempts.size());
  for (auto it = job.attempts.begin(); it != job.attempts.end();) {
    const uint32_t task = it->first;
    const Attempt& attempt = it->second;
    const bool withdrawn =
        attempt.state == AttemptState::proposed && (all || !proposal_stands(attempt));
    ++it;
    if (withdrawn) release(job, task);
  }
}

void TaskLifecycle::mark_placed(Job& job, Attempt& attempt, double now) {
  if (!set_state(job, attempt, AttemptState::placed)) return;
  --job.proposed;
  commands_.add(attempt.machine);
  // The last of a gang to be committed makes all of it ready to be ordered.
  if (job.is_gang() && job.proposed == 0)
    for (const auto& [task, other] : job.attempts) commands_.add(other.machine);
  // Last: it may erase the job.
  if (machines_[attempt.machine].state == MachineState::terminated)
    end(job, attempt.task, ExitCause::none, now, "its machine went while it was committed");
  else if (!proposal_stands(attempt))
    stop(job, attempt, 0);
}

// ---------------------------------------------------------------- stops and ends

void TaskLifecycle::stop(Job& job, Attempt& attempt, double grace_s) {
  if (attempt.state == AttemptState::ended) return;
  if (attempt.stop && grace_s >= attempt.grace_s) return;
  if (!attempt.stop)
    spdlog::debug("task {}/{} attempt {}: to be stopped, {} s to save", job.spec.id, attempt.task,
                  attempt.number, grace_s);
  attempt.stop = true;
  attempt.grace_s = grace_s;
  commands_.add(attempt.machine);
}

// A gang saves only when all its tasks are told to within gang_peer_s, so the commands for all go
// out together, whichever machine has to be left.
void TaskLifecycle::stop_with_gang(Job& job, Attempt& attempt, double grace_s) {
  if (!job.is_gang()) return stop(job, attempt, grace_s);
  const uint64_t number = attempt.number;
  for (auto& [task, other] : job.attempts)
    if (other.number == number) stop(job, other, grace_s);
}

void TaskLifecycle::end(Job& job, uint32_t task, ExitCause cause, double now, const char* reason) {
  auto it = job.attempts.find(task);
  if (it == job.attempts.end() || it->second.state == AttemptState::ended) return;
  Attempt& attempt = it->second;
  if (attempt.state == AttemptState::proposed) return;  // settled by its transaction
  if (!set_state(job, attempt, AttemptState::ended)) return;
  attempt.cause = cause;
  spdlog::debug("task {}/{} attempt {} is off ({}, cause {})", job.spec.id, task, attempt.number,
                reason, static_cast<int>(cause));
  vacate(job, attempt);
  if (job.state == JobState::cancelled) {
    erase_if_finished(job.id);
    return;
  }
  // A task that has to run again waits for this write.
  WriteUrgency urgency = cause != ExitCause::done ? WriteUrgency::restart : WriteUrgency::none;
  if (job.is_service()) {
    urgency = WriteUrgency::replica;
    job.missing_since = now;
  }
  pages_.mark_changed(job, task, urgency, now);
  after_end(job, attempt, now);
}

bool TaskLifecycle::is_gang_gathering(const Job& job) {
  bool any = false;
  for (const auto& [task, attempt] : job.attempts) {
    if (attempt.state == AttemptState::ended) continue;
    if (attempt.stop || attempt.state > AttemptState::gang_waiting) return false;
    any = true;
  }
  return any;
}

// The task has succeeded, and with it all of its gang, whose tasks complete together.
void TaskLifecycle::complete(Job& job, const Attempt& attempt) {
  if (job.is_gang()) {
    for (uint32_t task = 0; task < job.tasks(); ++task)
      if (!job.done.has(task)) job.done.add(task);
  } else {
    job.done.add(attempt.task);
  }
  job.done_count = job.done.count();
  job.failed_machines.clear();
  job.errors = 0;
  if (job.done_count == job.tasks()) jobs_.mark_completed(job);
}

// A replica has ended without our word: it runs again, later if it ends at once each time.
void TaskLifecycle::back_off_replica(Job& job, const Attempt& attempt, double now) {
  const bool ran = attempt.running_since > 0 && now - attempt.running_since > kShortRun;
  if (ran || attempt.cause == ExitCause::error) return;  // errors are judged with their machine
  ++job.errors;
  const double wait = std::min(
      kLongestBackOff, kFirstBackOff * std::exp2(std::min(job.errors, kMaxBackOffDoublings)));
  job.not_before = std::max(job.not_before, now + wait);
}

void TaskLifecycle::after_end(Job& job, const Attempt& attempt, double now) {
  const bool of_itself = attempt.cause != ExitCause::none && attempt.cause != ExitCause::stopped;
  if (job.is_service() && of_itself) back_off_replica(job, attempt, now);
  if (attempt.cause == ExitCause::done && !job.is_service()) return complete(job, attempt);
  // A gang that still gathers waits for a replacement, if the worker that was lost can hold nothing
  // of this attempt any more. Otherwise the rest cannot go on without it; what does not leave by
  // itself is stopped.
  if (job.is_gang() && (attempt.cause != ExitCause::none || !is_gang_gathering(job)))
    for (auto& [task, other] : job.attempts)
      if (other.number == attempt.number) stop(job, other, 0);
  if (attempt.cause == ExitCause::unknown_task ||
      attempt.cause == ExitCause::insufficient_resources ||
      attempt.cause == ExitCause::already_present)
    job.not_before = std::max(job.not_before, now + kRefusedBackOff);
}

void TaskLifecycle::release(Job& job, uint32_t task) {
  auto it = job.attempts.find(task);
  if (it == job.attempts.end()) return;
  const Attempt& attempt = it->second;
  // Never started: a proposal that did not become durable, or a gang proven done elsewhere.
  if (attempt.state != AttemptState::ended) vacate(job, attempt);
  if (attempt.state == AttemptState::proposed) --job.proposed;
  job.attempts.erase(it);
  if (job.state == JobState::open && !job.done.has(task)) job.waiting.insert(task);
}

// ---------------------------------------------------------------- jobs that are over

void TaskLifecycle::cancel(Job& job, uint64_t version, double cancelled_at) {
  if (job.is_finished()) return;
  if (!JobTable::set_state(job, JobState::cancelled)) return;
  job.version = version;
  job.cancelled_at = cancelled_at;
  job.stale_since = -1;
  job.waiting.clear();
  jobs_.unmark_completed(job);
  // Nobody has any use for what its tasks do: no time to save. Proposals whose transaction is in
  // flight are settled by its result; the job's version changed, so most will fail.
  for (auto& [task, attempt] : job.attempts) stop(job, attempt, 0);
  erase_if_finished(job.id);
}

void TaskLifecycle::erase_if_finished(Index id) {
  Job* job = jobs_.find(id);
  if (!job || !job->is_finished() || job->in_flight_transactions > 0) return;
  // A cancelled job's ended attempts need no transaction: its row already says what counts.
  for (auto it = job->attempts.begin(); it != job->attempts.end();) {
    const uint32_t task = it->first;
    const AttemptState state = it->second.state;
    ++it;
    if (state == AttemptState::ended || state == AttemptState::proposed) release(*job, task);
  }
  if (!job->attempts.empty()) return;
  // Its chunks leave their pages with the next write of these; until then a new leader sees by the
  // job's row that they mean nothing.
  pages_.remove_job(*job);
  jobs_.erase(id);
}

}  // namespace rookdyke
