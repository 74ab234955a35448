#include "workers/task_reconciler.h"

#include <spdlog/spdlog.h>

#include <cstddef>

namespace rookdyke {

namespace {

// A replica that ran for this many seconds shows that neither its job nor its machine is faulty.
constexpr double kProvenAfter = 10;
// So many stay below the 64 KiB that a reply may have; the rest follow with the next one.
constexpr size_t kMaxReplyCommands = 400;

AttemptState state_in(TaskPhase phase) {
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
  reconcile_unlisted(machine, findings, now);
  // Room is made before it is used; a forgotten attempt is cleared before its task's next one.
  std::vector<WorkerCommand> commands;
  for (const auto* part : {&findings.forgets, &findings.stops, &findings.starts})
    commands.insert(commands.end(), part->begin(), part->end());
  if (commands.size() > kMaxReplyCommands) commands.resize(kMaxReplyCommands);
  return commands;
}

void TaskReconciler::apply_listed(Machine& machine, const Heartbeat& heartbeat, double now) {
  apply_task_list(machine, heartbeat, now);
}

// ---------------------------------------------------------------- what the worker lists

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

// The attempt that the status is of, if it is on this machine as far as we know; else null.
Attempt* TaskReconciler::find_attempt(const Machine& machine, const TaskStatus& status) {
  Job* job = jobs_.find(status.job);
  if (!job) return nullptr;
  const auto found = job->attempts.find(status.task);
  if (found == job->attempts.end()) return nullptr;
  Attempt& attempt = found->second;
  const bool same = attempt.number == status.attempt && attempt.machine == machine.index;
  return same ? &attempt : nullptr;
}

// Its end is durable already (its exit counts, invariant 4), or its job is over.
void TaskReconciler::handle_unknown_task(Machine& machine, const TaskStatus& status,
                                         Findings& findings) {
  if (status.phase != TaskPhase::exited) {
    findings.stops.push_back(command(CommandKind::stop, status));
    machine.has_unknown_tasks = true;
  } else if (!machine.unanswered_starts.count(status.attempt_ref())) {
    findings.forgets.push_back(command(CommandKind::forget, status));
  }
}

void TaskReconciler::apply_known_task(Machine& machine, Job& job, Attempt& attempt,
                                      const TaskStatus& status, Findings& findings, double now) {
  findings.listed.insert({job.id, status.task});
  apply_status(machine, job, attempt, status, now);  // may erase the attempt, and its job
  const Attempt* current = find_attempt(machine, status);
  if (!current || current->state == AttemptState::ended || !current->stop) return;
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
  const AttemptState to = state_in(phase);
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
  lifecycle_.end(job, attempt.task, cause, now, "its worker reports the exit");
}

// A replica never exits with success; that it keeps running takes the place of that.
void TaskReconciler::record_replica_run(Machine& machine, Job& job, Attempt& attempt, double now) {
  if (attempt.proven || attempt.state != AttemptState::running) return;
  if (now - attempt.running_since < kProvenAfter) return;
  attempt.proven = true;
  FaultDetector::record_success(machine, job);
}

// ---------------------------------------------------------------- what it does not list

void TaskReconciler::reconcile_unlisted(Machine& machine, Findings& findings, double now) {
  const auto tasks = machine.tasks;  // a copy: attempts that end leave the list
  for (const auto& [job_index, task] : tasks) {
    if (findings.listed.count({job_index, task})) continue;
    Job& job = jobs_[job_index];
    reconcile_unlisted_task(machine, job, job.attempts.at(task), findings, now);
  }
}

void TaskReconciler::reconcile_unlisted_task(const Machine& machine, Job& job, Attempt& attempt,
                                             Findings& findings, double now) {
  if (attempt.state == AttemptState::proposed) return;
  if (attempt.state != AttemptState::placed) {
    // It was listed before and left without a command of ours.
    lifecycle_.end(job, attempt.task, ExitCause::none, now, "its worker no longer lists it");
    return;
  }
  if (attempt.stop)
    withdraw_placed(machine, job, attempt, findings, now);
  else if (starts_.may_start(job, attempt))
    findings.starts.push_back(command(CommandKind::start, job, attempt));
}

// An attempt that is to stop and has not been seen on its machine yet.
void TaskReconciler::withdraw_placed(const Machine& machine, Job& job, const Attempt& attempt,
                                     Findings& findings, double now) {
  if (!attempt.direct) {
    // Its start was never sent, or in the reply to an earlier heartbeat. This heartbeat settles
    // that: the worker either executed the command or dropped the reply.
    lifecycle_.end(job, attempt.task, ExitCause::none, now, "not there, and no start is pending");
    return;
  }
  // A direct start may still be executed. Started here and stopped at once, the attempt is listed
  // as exited, and the late copy finds it there and has no effect.
  if (machine.direct_in_flight) return;
  findings.starts.push_back(command(CommandKind::start, job, attempt));
  findings.starts.push_back(command(CommandKind::stop, job, attempt));
}

}  // namespace rookdyke
