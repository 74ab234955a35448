#pragma once
// Handles the cloud's notice that it will reclaim a spot machine: tasks that can write a checkpoint
// in time are stopped, replicas are moved, and tasks that have not begun to run are stopped so that
// they can start on other machines. Called by HeartbeatHandler.

#include "model/job.h"
#include "model/machine.h"
#include "placement/replica_mover.h"
#include "scheduler/job_table.h"
#include "scheduler/task_lifecycle.h"

namespace rookdyke {

class ReclaimNoticeHandler {
 public:
  // All must outlive this object.
  ReclaimNoticeHandler(JobTable& jobs, TaskLifecycle& lifecycle, ReplicaMover& replicas)
      : jobs_(jobs), lifecycle_(lifecycle), replicas_(replicas) {}

  // The cloud reclaims the machine in `notice_s` seconds. Called for each heartbeat with a notice,
  // because an attempt that cannot be stopped at first may be stopped later.
  void on_reclaim_notice(Machine& machine, double notice_s, double now);

 private:
  void stop_task(Job& job, Attempt& attempt, double notice_s);

  JobTable& jobs_;
  TaskLifecycle& lifecycle_;
  ReplicaMover& replicas_;
};

}  // namespace rookdyke
