#include "scheduler/task_lifecycle.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace rookdyke {

namespace {

// A replica's run of at most this duration counts as short. The service's back-off between starts
// is kBackOffBaseS * 2^Job::errors, up to kMaxBackOffS; a short run counts as an error.
constexpr double kShortReplicaRunS = 10;
constexpr double kBackOffBaseS = 1;
constexpr double kMaxBackOffS = 60;
constexpr uint32_t kMaxBackOffDoublings = 6;
// Back-off after a worker refused a start.
constexpr double kRefusedStartBackOffS = 1;

WriteUrgency start_urgency(const Job& job) {
  if (job.is_service()) return WriteUrgency::replica;
  return job.needs_prompt_start ? WriteUrgency::prompt_start : WriteUrgency::start;
}

}  // namespace

bool TaskLifecycle::set_state(Job& job, Attempt& attempt, AttemptState to) {
  if (attempt.state == to) return true;
  if (!is_transition_allowed(attempt.state, to)) {
    spdlog::error("task {}/{} attempt {}: invalid state transition from {} to {}", job.spec.id,
                  attempt.task, attempt.number, to_string(attempt.state), to_string(to));
    return false;
  }
  spdlog::debug("task {}/{} attempt {} on {}: {} -> {}", job.spec.id, attempt.task, attempt.number,
                machines_[attempt.machine].name, to_string(attempt.state), to_string(to));
  attempt.state = to;
  return true;
}

// ---------------------------------------------------------------- proposals

void TaskLifecycle::allocate_resources(Job& job, Attempt attempt) {
  Machine& machine = machines_[attempt.machine];
  machine.tasks.emplace_back(job.id, attempt.task);
  machine.used += job.spec.per_task;
  usage_.add(job.team, job.spec.per_task);
  job.attempts[attempt.task] = attempt;
}

// Frees the attempt's resources on its machine and in its team's usage.
void TaskLifecycle::deallocate_resources(Job& job, const Attempt& attempt) {
  Machine& machine = machines_[attempt.machine];
  std::erase(machine.tasks, std::make_pair(job.id, attempt.task));
  machine.used -= job.spec.per_task;
  if (machine.tasks.empty()) machine.used = {};
  usage_.remove(job.team, job.spec.per_task);
}

void TaskLifecycle::propose(Job& job, uint32_t task, uint64_t number, Machine& machine,
                            bool preemption_exempt, double now) {
  Attempt attempt;
  attempt.task = task;
  attempt.number = number;
  attempt.machine = machine.index;
  attempt.epoch = machine.epoch;
  attempt.proposed_at = now;
  attempt.preemption_exempt = preemption_exempt;
  allocate_resources(job, attempt);
  job.waiting.erase(task);
  ++job.proposed_count;
  job.highest_attempt = std::max(job.highest_attempt, number);
  pages_.mark_changed(job, task, start_urgency(job), now);
  spdlog::debug("task {}/{} attempt {}: proposed on machine {}", job.spec.id, task, number,
                machine.name);
}

// An attempt that a predecessor committed counts as being on its machine until the opposite is
// proven (invariant 3).
void TaskLifecycle::restore(Job& job, const ledger::LiveAttempt& live, double now) {
  Machine& machine = machines_.get_or_add(live.machine, now);
  machine.was_up = true;
  Attempt attempt;
  attempt.task = live.task;
  attempt.number = live.attempt;
  attempt.machine = machine.index;
  attempt.epoch = live.epoch;
  attempt.state = AttemptState::placed;
  attempt.proposed_at = now;
  allocate_resources(job, attempt);
}

bool TaskLifecycle::is_proposal_valid(const Attempt& attempt) const {
  const Machine& machine = machines_[attempt.machine];
  return machine.state == MachineState::ready && !machine.cordoned &&
         machine.epoch == attempt.epoch;
}

void TaskLifecycle::withdraw_proposals(Job& job, bool all) {
  if (job.proposed_count == 0) return;
  const auto is_invalid = [this](const Attempt& attempt) {
    return attempt.state == AttemptState::proposed && !is_proposal_valid(attempt);
  };
  const bool any = all || std::any_of(job.attempts.begin(), job.attempts.end(),
                                      [&](const auto& entry) { return is_invalid(entry.second); });
  if (!any) return;
  all = all || (job.is_gang() && job.proposed_count == job.attempts.size());
  for (auto it = job.attempts.begin(); it != job.attempts.end();) {
    const uint32_t task = it->first;
    const Attempt& attempt = it->second;
    const bool withdrawn =
        attempt.state == AttemptState::proposed && (all || !is_proposal_valid(attempt));
    ++it;
    if (withdrawn) release(job, task);
  }
}

void TaskLifecycle::mark_placed(Job& job, Attempt& attempt, double now) {
  if (!set_state(job, attempt, AttemptState::placed)) return;
  --job.proposed_count;
  commands_.add(attempt.machine);
  // Once the starts of all tasks of a gang are durable, all of them may be commanded.
  if (job.is_gang() && job.proposed_count == 0)
    for (const auto& [task, other] : job.attempts) commands_.add(other.machine);
  // end() comes last because it may erase the job.
  if (machines_[attempt.machine].state == MachineState::terminated)
    end(job, attempt.task, ExitCause::none, now, "machine terminated before the start was durable");
  else if (!is_proposal_valid(attempt))
    stop(job, attempt, 0);
}

// ---------------------------------------------------------------- stop and end of attempts

void TaskLifecycle::stop(Job& job, Attempt& attempt, double grace_s) {
  if (attempt.state == AttemptState::ended) return;
  if (attempt.stop_requested && grace_s >= attempt.grace_s) return;
  if (!attempt.stop_requested)
    spdlog::debug("task {}/{} attempt {}: stop requested, {} s for a checkpoint", job.spec.id,
                  attempt.task, attempt.number, grace_s);
  attempt.stop_requested = true;
  attempt.grace_s = grace_s;
  commands_.add(attempt.machine);
}

// A gang checkpoints only if all its tasks receive the stop command within gang_peer_s, so the
// commands for all tasks are issued together.
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
  if (attempt.state == AttemptState::proposed) return;  // its transaction decides the outcome
  if (!set_state(job, attempt, AttemptState::ended)) return;
  attempt.cause = cause;
  spdlog::debug("task {}/{} attempt {} ended ({}, exit cause {})", job.spec.id, task,
                attempt.number, reason, static_cast<int>(cause));
  deallocate_resources(job, attempt);
  if (job.state == JobState::cancelled) {
    erase_if_finished(job.id);
    return;
  }
  // A task that has to run again cannot be placed until this write is durable.
  WriteUrgency urgency = cause != ExitCause::done ? WriteUrgency::restart : WriteUrgency::none;
  if (job.is_service()) {
    urgency = WriteUrgency::replica;
    job.replica_missing_since = now;
  }
  pages_.mark_changed(job, task, urgency, now);
  apply_exit_cause(job, attempt, now);
}

bool TaskLifecycle::is_gang_starting(const Job& job) {
  bool any = false;
  for (const auto& [task, attempt] : job.attempts) {
    if (attempt.state == AttemptState::ended) continue;
    if (attempt.stop_requested || attempt.state > AttemptState::gang_waiting) return false;
    any = true;
  }
  return any;
}

// Marks the task as done. In a gang, one successful task marks all tasks as done, because they
// complete together.
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

// Sets the back-off of a service after a replica exited without a stop command or its start was
// refused. The back-off grows with each short run; a refused start counts as one.
void TaskLifecycle::back_off_replica(Job& job, const Attempt& attempt, double now) {
  const bool was_long_run =
      attempt.running_since > 0 && now - attempt.running_since > kShortReplicaRunS;
  // FaultDetector handles exits with an error, because the machine may be at fault.
  if (was_long_run || attempt.cause == ExitCause::error) return;
  ++job.errors;
  const double wait =
      std::min(kMaxBackOffS, kBackOffBaseS * std::exp2(std::min(job.errors, kMaxBackOffDoublings)));
  job.back_off_until = std::max(job.back_off_until, now + wait);
}

void TaskLifecycle::apply_exit_cause(Job& job, const Attempt& attempt, double now) {
  const bool exited_without_stop =
      attempt.cause != ExitCause::none && attempt.cause != ExitCause::stopped;
  if (job.is_service() && exited_without_stop) back_off_replica(job, attempt, now);
  if (attempt.cause == ExitCause::done && !job.is_service()) return complete(job, attempt);
  // If a gang is still starting and the attempt was lost with its worker or machine (no exit
  // cause), the other tasks wait for a replacement. In all other cases they cannot continue without
  // this task and are stopped, unless they exit first.
  if (job.is_gang() && (attempt.cause != ExitCause::none || !is_gang_starting(job)))
    for (auto& [task, other] : job.attempts)
      if (other.number == attempt.number) stop(job, other, 0);
  if (attempt.cause == ExitCause::unknown_task ||
      attempt.cause == ExitCause::insufficient_resources ||
      attempt.cause == ExitCause::already_present)
    job.back_off_until = std::max(job.back_off_until, now + kRefusedStartBackOffS);
}

void TaskLifecycle::release(Job& job, uint32_t task) {
  auto it = job.attempts.find(task);
  if (it == job.attempts.end()) return;
  const Attempt& attempt = it->second;
  // The attempt still holds resources if it is a withdrawn proposal, or if it belongs to a gang of
  // which another task has reported success.
  if (attempt.state != AttemptState::ended) deallocate_resources(job, attempt);
  if (attempt.state == AttemptState::proposed) --job.proposed_count;
  job.attempts.erase(it);
  if (job.state == JobState::open && !job.done.has(task)) job.waiting.insert(task);
}

// ---------------------------------------------------------------- finished jobs

void TaskLifecycle::cancel(Job& job, uint64_t version, double cancelled_at) {
  if (job.is_finished()) return;
  if (!JobTable::set_state(job, JobState::cancelled)) return;
  job.version = version;
  job.cancelled_at = cancelled_at;
  job.stale_since = -1;
  job.waiting.clear();
  jobs_.unmark_completed(job);
  // The results are not needed, so there is no grace period for a checkpoint. A proposal whose
  // transaction is in flight is handled when its result arrives; most of these transactions fail
  // with a conflict, because the job's row has a new version.
  for (auto& [task, attempt] : job.attempts) stop(job, attempt, 0);
  erase_if_finished(job.id);
}

void TaskLifecycle::erase_if_finished(Index id) {
  Job* job = jobs_.find(id);
  if (!job || !job->is_finished() || job->in_flight_transactions > 0) return;
  // The ends of a cancelled job's attempts need not be written, because its row is final already.
  for (auto it = job->attempts.begin(); it != job->attempts.end();) {
    const uint32_t task = it->first;
    const AttemptState state = it->second.state;
    ++it;
    if (state == AttemptState::ended || state == AttemptState::proposed) release(*job, task);
  }
  if (!job->attempts.empty()) return;
  // The next write of each page drops the job's chunks. Until then they start nothing under a new
  // leader: JobLoader skips the chunks of a done job and stops the attempts of a cancelled one.
  pages_.remove_job(*job);
  jobs_.erase(id);
}

}  // namespace rookdyke
