#pragma once
// Chooses the direct commands to workers: stops, and starts of durable attempts, which need not
// wait for the reply to the next heartbeat. A call is one request to a worker with any number of
// commands (DirectCommand); at most one call per machine is in flight. The machines come from
// PendingCommands; when none of them can be called, TokenAnnouncer may choose one. Commands that a
// call does not deliver are sent with the reply to the machine's next heartbeat.
//
// Called by the daemon's CommandDispatcher through the scheduler. Records the token of each start
// that it sends (Machine::fence, Attempt::direct_start_token): whatever the outcome of the call, a
// copy of it may be executed until the worker has seen a higher token.

#include <map>
#include <optional>
#include <vector>

#include "leadership/leadership_claim.h"
#include "model/machine.h"
#include "model/scheduler_messages.h"
#include "model/settings.h"
#include "scheduler/job_table.h"
#include "scheduler/machine_table.h"
#include "workers/heartbeat_handler.h"
#include "workers/pending_commands.h"
#include "workers/start_permission.h"
#include "workers/task_reconciler.h"
#include "workers/token_announcer.h"

namespace rookdyke {

class DirectCommands {
 public:
  // All references must outlive this object. `term_started_at`: when this leader's term began.
  DirectCommands(const Settings& settings, const LeadershipClaim& claim, JobTable& jobs,
                 MachineTable& machines, PendingCommands& pending, const StartPermission& starts,
                 HeartbeatHandler& heartbeats, TaskReconciler& reconciler, double term_started_at)
      : settings_(settings),
        claim_(claim),
        jobs_(jobs),
        machines_(machines),
        pending_(pending),
        starts_(starts),
        heartbeats_(heartbeats),
        reconciler_(reconciler),
        announcer_(settings, claim, machines, term_started_at) {}

  // Returns the next call to make, if any. Its outcome must be passed to on_result().
  std::optional<DirectCommand> next(double now);
  // `outcome_known`: the worker executed or refused the commands, or they were never sent.
  // `heartbeat`: the one in the response, if any. Returns whether a scheduling round is needed.
  bool on_result(const DirectCommand& call, bool outcome_known,
                 const std::optional<Heartbeat>& heartbeat, double now);

 private:
  bool may_call(const Machine& machine, double now) const;
  bool is_reachable(const Machine& machine, double now) const;
  std::vector<WorkerCommand> commands_for(const Machine& machine, uint64_t token);
  bool on_announcement_response(Machine& machine, const DirectCommand& call,
                                const Heartbeat& heartbeat, double now);

  const Settings& settings_;
  const LeadershipClaim& claim_;
  JobTable& jobs_;
  MachineTable& machines_;
  PendingCommands& pending_;
  const StartPermission& starts_;
  HeartbeatHandler& heartbeats_;
  TaskReconciler& reconciler_;
  TokenAnnouncer announcer_;
  std::map<Index, double> back_off_until_;  // by machine, after a call of indeterminate outcome
};

}  // namespace rookdyke
