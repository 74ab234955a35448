#pragma once
// Sends starts that are durable, and stops, straight to a worker instead of with the reply to its
// next heartbeat; one call per machine at a time. Takes the machines from PendingCommands; where
// none is due, TokenAnnouncer may call one. What a call does not deliver, the reply to the
// machine's next heartbeat does.
//
// Called by the daemon's threads for direct commands, through the scheduler. Guarantees that a
// start whose call stays unanswered is remembered (Machine::unanswered_starts, Attempt::direct) for
// as long as a late copy may be executed.

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
  // All must outlive this object. `started`: when this leader began.
  DirectCommands(const Settings& settings, const LeadershipClaim& claim, JobTable& jobs,
                 MachineTable& machines, PendingCommands& pending, const StartPermission& starts,
                 HeartbeatHandler& heartbeats, TaskReconciler& reconciler, double started)
      : settings_(settings),
        claim_(claim),
        jobs_(jobs),
        machines_(machines),
        pending_(pending),
        starts_(starts),
        heartbeats_(heartbeats),
        reconciler_(reconciler),
        announcer_(settings, machines, started) {}

  // The next call to be made, if any; its outcome must be given to on_result().
  std::optional<DirectCommand> next(double now);
  // `answered`: the worker executed or refused the commands. `report`: the heartbeat that came with
  // the answer. Returns whether a round should look at what changed.
  bool on_result(const DirectCommand& call, bool answered, const std::optional<Heartbeat>& report,
                 double now);

 private:
  bool may_call(const Machine& machine, double now) const;
  bool is_reachable(const Machine& machine, double now) const;
  std::vector<WorkerCommand> commands_for(const Machine& machine);
  void settle_starts(const Machine& machine, const DirectCommand& call);
  void record_unanswered(Machine& machine, const DirectCommand& call, double now);
  bool on_announcement_answer(Machine& machine, const DirectCommand& call, const Heartbeat& report,
                              double now);

  const Settings& settings_;
  const LeadershipClaim& claim_;
  JobTable& jobs_;
  MachineTable& machines_;
  PendingCommands& pending_;
  const StartPermission& starts_;
  HeartbeatHandler& heartbeats_;
  TaskReconciler& reconciler_;
  TokenAnnouncer announcer_;
  std::map<Index, double> paused_until_;  // by machine: after a call that stayed unanswered
};

}  // namespace rookdyke
