#pragma once
// The lifecycle of a task's attempt, from its proposal until it is proven to have left its machine
// and is removed. Only this class adds and removes attempts, which keeps a job's attempts, its
// machines' tasks and its team's usage consistent. It marks the ledger pages that have to be
// written because of a change; LedgerWriter writes them.
//
// States of an attempt: proposed -> placed (its start is durable) -> fetching, gang_waiting,
// running, checkpointing (as the worker reports) -> ended (it has left its machine, but its end is
// not durable yet). After that, release() removes the attempt.

#include <cstdint>

#include "ledger/page_table.h"
#include "model/job.h"
#include "model/machine.h"
#include "quota/team_usage.h"
#include "scheduler/job_table.h"
#include "scheduler/machine_table.h"
#include "workers/pending_commands.h"

namespace rookdyke {

// Seconds added to a job's checkpoint duration when a task is stopped, so that rounding does not
// cut a checkpoint short.
inline constexpr double kCheckpointGraceMarginS = 1;

class TaskLifecycle {
 public:
  // All must outlive this object.
  TaskLifecycle(JobTable& jobs, MachineTable& machines, TeamUsage& usage, PageTable& pages,
                PendingCommands& commands)
      : jobs_(jobs), machines_(machines), usage_(usage), pages_(pages), commands_(commands) {}

  // Adds an attempt with the given number for a waiting task and allocates its resources on the
  // machine. The start is commanded once the proposal is durable. `preemption_exempt`: the attempt
  // must not be preempted.
  void propose(Job& job, uint32_t task, uint64_t number, Machine& machine, bool preemption_exempt,
               double now);
  // Restores an attempt from the ledger. It may be running, or a command of a predecessor may still
  // start it.
  void restore(Job& job, const ledger::LiveAttempt& live, double now);
  // Whether the attempt's machine still accepts tasks and is in the epoch of the proposal.
  bool is_proposal_valid(const Attempt& attempt) const;
  // Withdraws the job's attempts that are still proposals: all of them if `all` is set, otherwise
  // those that are no longer valid. If one proposal of a gang is invalid and no start of the gang
  // is durable, all proposals of the gang are withdrawn.
  void withdraw_proposals(Job& job, bool all);
  // Marks a proposal as durable, so that its start may be commanded. If the proposal is no longer
  // valid, the attempt is stopped, or ended if its machine is terminated. May erase the job.
  void mark_placed(Job& job, Attempt& attempt, double now);

  // Requests that the attempt stop, with `grace_s` seconds for a checkpoint. A repeated request can
  // only shorten this time. Has no effect on ended attempts.
  void stop(Job& job, Attempt& attempt, double grace_s);
  // Stops the attempt and all others of its gang, because a gang can only checkpoint as a whole.
  void stop_with_gang(Job& job, Attempt& attempt, double grace_s);

  // Ends an attempt that is proven to have left its machine. Has no effect on a proposal, because
  // the result of its transaction decides whether it starts. `reason` is logged. May erase the job
  // if it is finished.
  void end(Job& job, uint32_t task, ExitCause cause, double now, const char* reason);
  // Has the ledger's state of a placed task written again although it has not changed.
  void rewrite(Job& job, uint32_t task, double now) {
    pages_.mark_changed(job, task, WriteUrgency::restart, now);
  }
  // Removes an attempt whose end is durable, whose start was never commanded, or whose job is done.
  // If the job is open and the task is not done, the task waits for a new attempt.
  void release(Job& job, uint32_t task);

  // Cancels the job: stops its attempts and starts no further ones. `version` is the version of the
  // job's row; `cancelled_at` is on the steady clock. May erase the job.
  void cancel(Job& job, uint64_t version, double cancelled_at);
  // Erases a finished job once it has no attempts on machines and no transactions in flight.
  void erase_if_finished(Index job);

  // Whether the gang is still starting: it has attempts that have not ended, none of these is to be
  // stopped, and none is known to be in a state after gang_waiting.
  static bool is_gang_starting(const Job& job);

  // Changes the attempt's state and logs the transition. If the state machine does not allow the
  // transition, returns false, changes nothing and logs an error.
  bool set_state(Job& job, Attempt& attempt, AttemptState to);

 private:
  void allocate_resources(Job& job, Attempt attempt);
  void deallocate_resources(Job& job, const Attempt& attempt);
  void apply_exit_cause(Job& job, const Attempt& attempt, double now);
  void complete(Job& job, const Attempt& attempt);
  static void back_off_replica(Job& job, const Attempt& attempt, double now);

  JobTable& jobs_;
  MachineTable& machines_;
  TeamUsage& usage_;
  PageTable& pages_;
  PendingCommands& commands_;
};

}  // namespace rookdyke
