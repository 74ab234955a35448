#include "workers/task_reconciler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstddef>

namespace rookdyke {

namespace {

// A replica that has run for this long shows that neither its job nor its machine is faulty.
constexpr double kHealthyReplicaAfterS = 10;
// Keeps a reply below its limit of 64 KiB; the other commands follow in the next reply.
constexpr size_t kMaxReplyCommands = 400;

AttemptState attempt_state_of(TaskPhase phase) {
  switch (phase) {
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

WorkerCommand command(CommandKind kind, const TaskStatus& status, double grace_s = 0) {
  return {kind, status.job, status.task, status.attempt, grace_s};
}

WorkerCommand command(CommandKind kind, const Job& job, const Attempt& attempt) {
  return {kind, job.spec.id, attempt.task, attempt.number, 0};
}

}  // namespace

std::vector<WorkerCommand> TaskReconciler::reconcile(Machine& machine, const Heartbeat& heartbeat,
                                                     double now) {
  Findings findings = apply_task_list(machine, heartbeat, now);
  reconcile_unlisted(machine, heartbeat, findings, now);
  const bool needs_fence = !findings.forgets.empty() || !findings.startable.empty();
  if (needs_fence && !fence_direct_starts(machine)) {
    hold_back_forgets(machine, findings);
    request_higher_token(machine, findings, now);
  }
  // Stops free capacity before starts use it. An old attempt is forgotten before the next attempt
  // of its task starts.
  std::vector<WorkerCommand> commands;
  for (const auto* part : {&findings.forgets, &findings.stops, &findings.starts})
    commands.insert(commands.end(), part->begin(), part->end());
  if (commands.size() > kMaxReplyCommands) commands.resize(kMaxReplyCommands);
  return commands;
}

// Makes the reply carry a token with which the worker refuses every copy of the direct starts that
// it was sent: a copy would start an attempt that the worker has forgotten or never had. Returns
// false if that is not possible yet, because the ledger has not changed since, or because the token
// would also refuse a call in flight.
bool TaskReconciler::fence_direct_starts(Machine& machine) const {
  if (machine.fence.refuses_sent_starts(claim_.fencing_token())) return true;
  if (machine.direct_in_flight) return false;
  machine.fence.raise_to(claim_.confirmed_revision());
  if (!machine.fence.refuses_sent_starts(claim_.fencing_token())) return false;
  spdlog::debug("machine {}: fencing token raised to {}, the worker refuses earlier commands",
                machine.name, claim_.confirmed_revision());
  return true;
}

// The attempts stay in the worker's list until a later heartbeat. Their tasks are not started
// meanwhile: the worker would refuse a second attempt of a task that it lists.
void TaskReconciler::hold_back_forgets(const Machine& machine, Findings& findings) {
  if (findings.forgets.empty()) return;
  spdlog::debug("machine {}: {} exited attempts stay listed, as direct commands may be repeated",
                machine.name, findings.forgets.size());
  const auto is_listed = [&findings](const WorkerCommand& start) {
    return std::any_of(findings.forgets.begin(), findings.forgets.end(),
                       [&start](const WorkerCommand& forget) {
                         return forget.task == start.task && forget.job == start.job;
                       });
  };
  auto& starts = findings.starts;
  starts.erase(std::remove_if(starts.begin(), starts.end(), is_listed), starts.end());
  findings.forgets.clear();
}

// An attempt that may still start keeps its resources and, if its job is cancelled, its machine. So
// the ledger is written for its sake, which yields a higher token.
void TaskReconciler::request_higher_token(const Machine& machine, const Findings& findings,
                                          double now) {
  if (machine.direct_in_flight || findings.startable.empty()) return;
  const TaskKey& first = findings.startable.front();
  lifecycle_.rewrite(jobs_[first.job], first.task, now);
}

void TaskReconciler::apply_listed(Machine& machine, const Heartbeat& heartbeat, double now) {
  apply_task_list(machine, heartbeat, now);
}

// ---------------------------------------------------------------- listed attempts

TaskReconciler::Findings TaskReconciler::apply_task_list(Machine& machine,
                                                         const Heartbeat& heartbeat, double now) {
  Findings findings;
  machine.has_unknown_tasks = false;
  for (const TaskStatus& status : heartbeat.tasks) {
    if (Attempt* attempt = find_attempt(machine, status))
      apply_known_task(machine, *jobs_.find(status.job), *attempt, status, findings, now);
    else
      handle_unknown_task(machine, status, findings);
  }
  return findings;
}

// Returns the attempt that the status describes if the leader has it on this machine, else null.
Attempt* TaskReconciler::find_attempt(const Machine& machine, const TaskStatus& status) {
  Job* job = jobs_.find(status.job);
  if (!job) return nullptr;
  const auto found = job->attempts.find(status.task);
  if (found == job->attempts.end()) return nullptr;
  Attempt& attempt = found->second;
  const bool same = attempt.number == status.attempt && attempt.machine == machine.index;
  return same ? &attempt : nullptr;
}

// Handles a listed attempt that the leader does not have on this machine: its end is durable
// already, so its exit has been counted (invariant 4), or its job is finished.
void TaskReconciler::handle_unknown_task(Machine& machine, const TaskStatus& status,
                                         Findings& findings) {
  if (status.phase != TaskPhase::exited) {
    spdlog::info(
        "machine {}: lists task {}/{} attempt {}, which is not placed there; to be stopped",
        machine.name, status.job, status.task, status.attempt);
    findings.stops.push_back(command(CommandKind::stop, status));
    machine.has_unknown_tasks = true;
  } else {
    findings.forgets.push_back(command(CommandKind::forget, status));
  }
}

void TaskReconciler::apply_known_task(Machine& machine, Job& job, Attempt& attempt,
                                      const TaskStatus& status, Findings& findings, double now) {
  findings.listed.insert({job.id, status.task});
  apply_status(machine, job, attempt, status, now);  // may erase the attempt and its job
  const Attempt* current = find_attempt(machine, status);
  if (!current || current->state == AttemptState::ended || !current->stop_requested) return;
  if (current->state == AttemptState::checkpointing && current->grace_s > 0) return;
  findings.stops.push_back(command(CommandKind::stop, status, current->grace_s));
}

void TaskReconciler::apply_status(Machine& machine, Job& job, Attempt& attempt,
                                  const TaskStatus& status, double now) {
  if (attempt.state == AttemptState::ended || attempt.state == AttemptState::proposed) return;
  if (status.phase == TaskPhase::exited)
    apply_exit(machine, job, attempt, status.cause, now);
  else
    apply_phase(machine, job, attempt, status.phase, now);
}

void TaskReconciler::apply_phase(Machine& machine, Job& job, Attempt& attempt, TaskPhase phase,
                                 double now) {
  const AttemptState to = attempt_state_of(phase);
  if (to == AttemptState::running && attempt.state != AttemptState::running)
    attempt.running_since = now;
  if (attempt.state == AttemptState::placed || to >= attempt.state)
    lifecycle_.set_state(job, attempt, to);
  if (job.is_service()) record_replica_run(machine, job, attempt, now);
  if (phase != TaskPhase::fetching) images_.record_use(machine, job, now);
}

void TaskReconciler::apply_exit(Machine& machine, Job& job, const Attempt& attempt, ExitCause cause,
                                double now) {
  if (cause == ExitCause::done) {
    images_.record_use(machine, job, now);
    FaultDetector::record_success(machine);
  } else if (cause == ExitCause::error) {
    faults_.record_error(machine, job, now);
  }
  if (cause != ExitCause::done && cause != ExitCause::stopped)
    spdlog::info("task {}/{} attempt {} on {} ended: cause {}", job.spec.id, attempt.task,
                 attempt.number, machine.name, static_cast<int>(cause));
  lifecycle_.end(job, attempt.task, cause, now, "worker reported the exit");
}

// A replica never exits with success, so a long enough run counts as its success.
void TaskReconciler::record_replica_run(Machine& machine, Job& job, Attempt& attempt, double now) {
  if (attempt.known_healthy || attempt.state != AttemptState::running) return;
  if (now - attempt.running_since < kHealthyReplicaAfterS) return;
  attempt.known_healthy = true;
  FaultDetector::record_success(machine, job);
}

// ---------------------------------------------------------------- attempts not listed

void TaskReconciler::reconcile_unlisted(const Machine& machine, const Heartbeat& heartbeat,
                                        Findings& findings, double now) {
  const auto tasks = machine.tasks;  // a copy, because ended attempts are removed from the list
  for (const auto& [job_index, task] : tasks) {
    if (findings.listed.count({job_index, task})) continue;
    Job& job = jobs_[job_index];
    reconcile_unlisted_task(heartbeat, job, job.attempts.at(task), findings, now);
  }
}

void TaskReconciler::reconcile_unlisted_task(const Heartbeat& heartbeat, Job& job, Attempt& attempt,
                                             Findings& findings, double now) {
  if (attempt.state == AttemptState::proposed) return;
  if (attempt.state != AttemptState::placed) {
    // An earlier heartbeat listed the attempt, and the worker no longer lists it although it was
    // not commanded to forget it.
    lifecycle_.end(job, attempt.task, ExitCause::none, now, "worker no longer lists it");
    return;
  }
  if (attempt.stop_requested)
    withdraw_placed(heartbeat, job, attempt, findings, now);
  else if (starts_.may_start(job, attempt))
    findings.starts.push_back(command(CommandKind::start, job, attempt));
}

// Handles an attempt that is to stop and that no heartbeat of its machine has listed yet.
void TaskReconciler::withdraw_placed(const Heartbeat& heartbeat, Job& job, const Attempt& attempt,
                                     Findings& findings, double now) {
  if (heartbeat.fencing_token <= attempt.direct_start_token) {
    findings.startable.push_back({job.id, attempt.task});
    return;
  }
  // The worker refuses its direct starts. A start in the reply to an earlier heartbeat is not
  // executed any more either: since this heartbeat does not list the attempt, the worker has
  // discarded that reply or never received it.
  lifecycle_.end(job, attempt.task, ExitCause::none, now,
                 "not on its machine, and its start commands are refused");
}

}  // namespace rookdyke
