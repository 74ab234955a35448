#pragma once
// Moves replicas of services off machines that are to go, few of a service at once, so that it
// stays served meanwhile. Stops replicas through TaskLifecycle; placement starts them elsewhere.

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
  // The machine is to be returned: stops those replicas that may move now and that could start at
  // once elsewhere.
  void move_replicas(const Machine& machine, double now);
  // The cloud takes the replica's machine in so many seconds: stops it, at once where there is no
  // time to move replicas one after the other.
  void on_reclaim_notice(Job& job, Attempt& attempt, double notice_s);

 private:
  uint32_t missing_replicas(const Job& job) const;
  bool may_move_replica(const Job& job) const;
  bool has_other_place(const Job& job, const Machine& from, double now) const;

  const Settings& settings_;
  const Eligibility& eligibility_;
  JobTable& jobs_;
  const MachineTable& machines_;
  TaskLifecycle& lifecycle_;
};

}  // namespace rookdyke
