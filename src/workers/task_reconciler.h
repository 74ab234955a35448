#pragma once
// Reconciles the task list of a worker's heartbeat with the leader's state of the machine: applies
// the reported status of each attempt, ends attempts that are proven not to run on the machine any
// more (invariants 3 and 4), and determines the commands that bring the worker to the desired
// state. Idempotent: a command that was lost is issued again at the next heartbeat.
//
// Called by HeartbeatHandler and DirectCommands, which check that the list is current.

#include <cstdint>
#include <set>
#include <tuple>
#include <vector>

#include "leadership/leadership_claim.h"
#include "model/job.h"
#include "model/machine.h"
#include "scheduler/job_table.h"
#include "scheduler/task_lifecycle.h"
#include "workers/fault_detector.h"
#include "workers/image_tracker.h"
#include "workers/start_permission.h"

namespace rookdyke {

class TaskReconciler {
 public:
  // All must outlive this object.
  TaskReconciler(const LeadershipClaim& claim, JobTable& jobs, TaskLifecycle& lifecycle,
                 FaultDetector& faults, ImageTracker& images, const StartPermission& starts)
      : claim_(claim),
        jobs_(jobs),
        lifecycle_(lifecycle),
        faults_(faults),
        images_(images),
        starts_(starts) {}

  // Reconciles the listed attempts and those missing from the list. The worker must have seen this
  // leader's fencing token: only then does it execute no command of earlier leaders, so that an
  // attempt that it does not list cannot be running or be started by such a command. Returns the
  // commands for the reply, in the order of execution. May raise the fencing token that the reply
  // must carry (Machine::fence).
  std::vector<WorkerCommand> reconcile(Machine& machine, const Heartbeat& heartbeat, double now);
  // Applies the status of the listed attempts and ignores those missing from the list.
  void apply_listed(Machine& machine, const Heartbeat& heartbeat, double now);

 private:
  struct TaskKey {
    Index job = kNone;
    uint32_t task = 0;
    bool operator<(const TaskKey& other) const {
      return std::tie(job, task) < std::tie(other.job, other.task);
    }
  };
  // The tasks that a heartbeat lists, and the commands for its reply.
  struct Findings {
    std::set<TaskKey> listed;
    std::vector<WorkerCommand> forgets, stops, starts;
    // Attempts to be ended that a copy of their direct start may still start.
    std::vector<TaskKey> startable;
  };

  Findings apply_task_list(Machine& machine, const Heartbeat& heartbeat, double now);
  void apply_known_task(Machine& machine, Job& job, Attempt& attempt, const TaskStatus& status,
                        Findings& findings, double now);
  static void handle_unknown_task(Machine& machine, const TaskStatus& status, Findings& findings);
  Attempt* find_attempt(const Machine& machine, const TaskStatus& status);

  void apply_status(Machine& machine, Job& job, Attempt& attempt, const TaskStatus& status,
                    double now);
  void apply_phase(Machine& machine, Job& job, Attempt& attempt, TaskPhase phase, double now);
  void apply_exit(Machine& machine, Job& job, const Attempt& attempt, ExitCause cause, double now);
  static void record_replica_run(Machine& machine, Job& job, Attempt& attempt, double now);

  void reconcile_unlisted(const Machine& machine, const Heartbeat& heartbeat, Findings& findings,
                          double now);
  void reconcile_unlisted_task(const Heartbeat& heartbeat, Job& job, Attempt& attempt,
                               Findings& findings, double now);
  void withdraw_placed(const Heartbeat& heartbeat, Job& job, const Attempt& attempt,
                       Findings& findings, double now);

  bool fence_direct_starts(Machine& machine) const;
  static void hold_back_forgets(const Machine& machine, Findings& findings);
  void request_higher_token(const Machine& machine, const Findings& findings, double now);

  const LeadershipClaim& claim_;
  JobTable& jobs_;
  TaskLifecycle& lifecycle_;
  FaultDetector& faults_;
  ImageTracker& images_;
  const StartPermission& starts_;
};

}  // namespace rookdyke
