#pragma once
// Receives the workers' heartbeats: drops those that prove nothing (sent before the worker had seen
// our fencing token, outdated, or copies), registers machines, follows their epochs, and has
// TaskReconciler find the commands of the reply. Called by the scheduler, and by DirectCommands for
// answers to its token announcements.
//
// Guarantees invariant 2 (a worker that has seen a newer token ends our claim to lead), invariant 3
// (an epoch that rose proves earlier attempts off the machine) and invariant 7 (a heartbeat with an
// older token changes nothing of what is known about tasks).

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
  bool needs_round = false;  // there is something new to decide: a machine, or room on one
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
  // True if the worker has seen a newer leader's fencing token; our claim to lead is lost then.
  bool detect_newer_leader(const Heartbeat& heartbeat);

 private:
  void record_older_token(Machine& machine, const Heartbeat& heartbeat, double now) const;
  void detect_lost_replies(Machine& machine, const Heartbeat& heartbeat, double now) const;
  void end_attempts_of_older_epochs(const Machine& machine, const Heartbeat& heartbeat, double now);
  void record_heartbeat(Machine& machine, const Heartbeat& heartbeat, double now);
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
