#pragma once
// Moves replicas of services off machines that are about to be returned or reclaimed, a few
// replicas of a service at a time, so that the service stays available. Stops replicas through
// TaskLifecycle; placement starts them on other machines.

#include "model/job.h"
#include "model/machine.h"
#include "model/settings.h"
#include "placement/eligibility.h"
#include "scheduler/job_table.h"
#include "scheduler/machine_table.h"
#include "scheduler/task_lifecycle.h"

namespace rookdyke {

class ReplicaMover {
 public:
  // All must outlive this object.
  ReplicaMover(const Settings& settings, const Eligibility& eligibility, JobTable& jobs,
               const MachineTable& machines, TaskLifecycle& lifecycle)
      : settings_(settings),
        eligibility_(eligibility),
        jobs_(jobs),
        machines_(machines),
        lifecycle_(lifecycle) {}

  bool holds_replicas(const Machine& machine) const;
  // Whether the machine holds replicas and nothing else.
  bool holds_only_replicas(const Machine& machine) const;
  // Stops the replicas on a machine that is to be returned, if their service tolerates a further
  // missing replica and they can start on another machine at once.
  void move_replicas(const Machine& machine, double now);
  // Handles a reclaim notice: the cloud reclaims the replica's machine in `notice_s` seconds. Stops
  // the replica if its service tolerates a further missing replica, and in any case if the notice
  // is too short to move replicas one after the other.
  void on_reclaim_notice(Job& job, Attempt& attempt, double notice_s);

 private:
  uint32_t missing_replicas(const Job& job) const;
  bool may_move_replica(const Job& job) const;
  bool has_alternative_machine(const Job& job, const Machine& from, double now) const;

  const Settings& settings_;
  const Eligibility& eligibility_;
  JobTable& jobs_;
  const MachineTable& machines_;
  TaskLifecycle& lifecycle_;
};

}  // namespace rookdyke
