#pragma once
// What happens to the tasks of a spot machine that the cloud has announced to take back: tasks that
// can save a checkpoint in time are stopped, replicas are moved, work that has not begun goes
// elsewhere. Called by HeartbeatHandler.

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

  // The machine is taken in `notice_s` seconds. Called with each heartbeat that says so: what could
  // not be stopped the first time may be later.
  void on_reclaim_notice(Machine& machine, double notice_s, double now);

 private:
  void stop_task(Job& job, Attempt& attempt, double notice_s);

  JobTable& jobs_;
  TaskLifecycle& lifecycle_;
  ReplicaMover& replicas_;
};

}  // namespace rookdyke
