#pragma once
// Handles the workers' heartbeats: discards those that are outdated, duplicates, or sent before the
// worker had seen this leader's fencing token; registers machines; tracks their epochs and whether
// they receive the replies; and gets the commands for the reply from TaskReconciler. Called by the
// scheduler, and by DirectCommands for the responses to its token announcements.
//
// Guarantees invariant 2 (a worker that has seen a newer token ends this controller's leadership),
// invariant 3 (a higher epoch proves that attempts of earlier epochs no longer run on the machine)
// and invariant 7 (a heartbeat with an older token does not change the known state of any task).

#include "fleet/boot_tracker.h"
#include "leadership/leadership_claim.h"
#include "model/machine.h"
#include "model/scheduler_messages.h"
#include "model/settings.h"
#include "scheduler/catalog.h"
#include "scheduler/job_table.h"
#include "scheduler/machine_table.h"
#include "scheduler/task_lifecycle.h"
#include "workers/reclaim_notice_handler.h"
#include "workers/task_reconciler.h"

namespace rookdyke {

struct HeartbeatOutcome {
  HeartbeatReply reply;
  bool needs_round = false;  // a machine was registered, or capacity was freed on one
};

class HeartbeatHandler {
 public:
  // All must outlive this object.
  HeartbeatHandler(const Settings& settings, Catalog& catalog, LeadershipClaim& claim,
                   MachineTable& machines, JobTable& jobs, TaskLifecycle& lifecycle,
                   BootTracker& boot_tracker, ReclaimNoticeHandler& reclaim_notices,
                   TaskReconciler& reconciler)
      : settings_(settings),
        catalog_(catalog),
        claim_(claim),
        machines_(machines),
        jobs_(jobs),
        lifecycle_(lifecycle),
        boot_tracker_(boot_tracker),
        reclaim_notices_(reclaim_notices),
        reconciler_(reconciler) {}

  HeartbeatOutcome on_heartbeat(const Heartbeat& heartbeat, double now);
  // Handles the heartbeat in the response to a direct call, which gets no reply. Returns whether a
  // scheduling round is needed.
  bool on_call_response(const Heartbeat& heartbeat, double now);
  // Whether the worker has seen the fencing token of a newer leader. If so, marks the leadership of
  // this controller as lost.
  bool detect_newer_leader(const Heartbeat& heartbeat);

 private:
  void record_older_token(Machine& machine, const Heartbeat& heartbeat, double now) const;
  Machine* admit(const Heartbeat& heartbeat, HeartbeatReply& reply, double now);
  HeartbeatOutcome apply(Machine& machine, const Heartbeat& heartbeat, double now);
  void raise_token_if_unreachable(Machine& machine);
  void end_attempts_of_older_epochs(const Machine& machine, const Heartbeat& heartbeat, double now);
  void record_heartbeat(Machine& machine, const Heartbeat& heartbeat, double now);
  void set_attributes(Machine& machine, const Heartbeat& heartbeat);
  void register_machine(Machine& machine, const Heartbeat& heartbeat, double now);

  const Settings& settings_;
  Catalog& catalog_;
  LeadershipClaim& claim_;
  MachineTable& machines_;
  JobTable& jobs_;
  TaskLifecycle& lifecycle_;
  BootTracker& boot_tracker_;
  ReclaimNoticeHandler& reclaim_notices_;
  TaskReconciler& reconciler_;
};

}  // namespace rookdyke
