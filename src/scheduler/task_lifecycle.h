#pragma once
// The life of a task's attempt, from its proposal until it is proven off its machine and forgotten.
// The only place that adds or removes attempts, so that a job's attempts, its machines' tasks and
// its team's use always agree, and every change of them reaches the ledger.
//
// An attempt: proposed -> placed (durable) -> fetching, gang_waiting, running, checkpointing (as
// the worker says) -> ended (off its machine) -> released (its end is durable).

#include <cstdint>

#include "ledger/page_table.h"
#include "model/job.h"
#include "model/machine.h"
#include "quota/team_usage.h"
#include "scheduler/job_table.h"
#include "scheduler/machine_table.h"
#include "workers/pending_commands.h"

namespace rookdyke {

// More than a task needs to save, so that a save begun in time is not cut short by rounding.
inline constexpr double kGraceMargin = 1;

class TaskLifecycle {
 public:
  // All must outlive this object.
  TaskLifecycle(JobTable& jobs, MachineTable& machines, TeamUsage& usage, PageTable& pages,
                PendingCommands& commands)
      : jobs_(jobs), machines_(machines), usage_(usage), pages_(pages), commands_(commands) {}

  // Reserves a place for a waiting task; its start is ordered once that is durable. `shielded`: not
  // to be preempted.
  void propose(Job& job, uint32_t task, uint64_t attempt, Machine& machine, bool shielded,
               double now);
  // An attempt that the ledger has: it may run, or may yet be started by a predecessor's command.
  void restore(Job& job, const ledger::LiveAttempt& live, double now);
  // Whether what was proposed still makes sense: its machine takes work in the same epoch.
  bool proposal_stands(const Attempt& attempt) const;
  // Takes back proposals that were never written; `all`, or those that stand no more. A gang whose
  // start is not durable in any part goes back as a whole.
  void withdraw_proposals(Job& job, bool all);
  // The proposal is durable: its start may be ordered.
  void mark_placed(Job& job, Attempt& attempt, double now);

  // The attempt is to leave its machine, with so many seconds to save its progress.
  void stop(Job& job, Attempt& attempt, double grace_s);
  // The same for all attempts of its gang, which can only save together.
  void stop_with_gang(Job& job, Attempt& attempt, double grace_s);

  // It is proven off its machine. Does nothing for a proposal, which its transaction settles.
  // `reason` is for the log. May erase the job if that is over.
  void end(Job& job, uint32_t task, ExitCause cause, double now, const char* reason);
  // Forgets an attempt whose end is durable, or that was never to be started.
  void release(Job& job, uint32_t task);

  // The job's user has cancelled it: its tasks are to stop, and nothing of it starts any more.
  // `version` is of the job's row; `cancelled_at` on our clock. May erase the job.
  void cancel(Job& job, uint64_t version, double cancelled_at);
  // Erases a job that is over once nothing of it is on a machine or under way.
  void erase_if_finished(Index job);

  // Whether all attempts of a gang that have not ended wait for the others, as far as we know.
  static bool is_gang_gathering(const Job& job);

  // False: the state machine has no such step, which is logged; nothing changes.
  bool set_state(Job& job, Attempt& attempt, AttemptState to);

 private:
  void occupy(Job& job, Attempt attempt);
  void vacate(Job& job, const Attempt& attempt);
  void after_end(Job& job, const Attempt& attempt, double now);
  void complete(Job& job, const Attempt& attempt);
  static void back_off_replica(Job& job, const Attempt& attempt, double now);

  JobTable& jobs_;
  MachineTable& machines_;
  TeamUsage& usage_;
  PageTable& pages_;
  PendingCommands& commands_;
};

}  // namespace rookdyke
