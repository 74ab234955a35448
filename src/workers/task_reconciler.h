#pragma once
// Compares the task list of a worker's heartbeat with what the leader knows of the machine: takes
// over what it says of each attempt, ends attempts that are proven off the machine (invariants 3
// and 4), and finds the commands that bring the worker to what is wanted. Idempotent: a command
// that was lost is found again at the next heartbeat.
//
// Called by HeartbeatHandler and DirectCommands, which have checked that the list is current.

#include <cstdint>
#include <set>
#include <tuple>
#include <vector>

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
  TaskReconciler(JobTable& jobs, TaskLifecycle& lifecycle, FaultDetector& faults,
                 ImageTracker& images, const StartPermission& starts)
      : jobs_(jobs), lifecycle_(lifecycle), faults_(faults), images_(images), starts_(starts) {}

  // Reconciles in both directions. The worker must have seen our fencing token: only then does it
  // execute no older command any more, and only then does an attempt that it does not list prove
  // anything. Returns the commands for the reply, in the order of execution.
  std::vector<WorkerCommand> reconcile(Machine& machine, const Heartbeat& heartbeat, double now);
  // Takes over what the list says and concludes nothing from what it leaves out.
  void apply_listed(Machine& machine, const Heartbeat& heartbeat, double now);

 private:
  struct ListedTask {
    Index job = kNone;
    uint32_t task = 0;
    bool operator<(const ListedTask& other) const {
      return std::tie(job, task) < std::tie(other.job, other.task);
    }
  };
  // What a pass over the list found.
  struct Findings {
    std::set<ListedTask> listed;
    std::vector<WorkerCommand> forgets, stops, starts;
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

  void reconcile_unlisted(Machine& machine, Findings& findings, double now);
  void reconcile_unlisted_task(const Machine& machine, Job& job, Attempt& attempt,
                               Findings& findings, double now);
  void withdraw_placed(const Machine& machine, Job& job, const Attempt& attempt, Findings& findings,
                       double now);

  JobTable& jobs_;
  TaskLifecycle& lifecycle_;
  FaultDetector& faults_;
  ImageTracker& images_;
  const StartPermission& starts_;
};

}  // namespace rookdyke
