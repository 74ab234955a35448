#pragma once
// Coordinates placement in a scheduling round: orders the jobs, starts the tasks that fit, and
// preempts tasks or reserves machines for jobs that do not fit. Owns the classes listed below and
// the time of the next preemption. Called by Scheduler once per round, after the states of machines
// and jobs have been updated.
//
// JobQueue              the order of the jobs
// PlacementSearch       finds and scores machines with free capacity for a job
// ArrayPlacement, GangPlacement, ServicePlacement
//                       start the tasks of jobs of the respective shape
// Preemption            stops running tasks to free capacity for a job
// MachineReservations   machines reserved for a single job

#include <cstddef>

#include "model/job.h"
#include "model/settings.h"
#include "placement/array_placement.h"
#include "placement/eligibility.h"
#include "placement/gang_placement.h"
#include "placement/job_queue.h"
#include "placement/machine_reservations.h"
#include "placement/placement_round.h"
#include "placement/placement_search.h"
#include "placement/preemption.h"
#include "placement/service_placement.h"
#include "placement/work_counters.h"
#include "quota/team_usage.h"
#include "scheduler/catalog.h"
#include "scheduler/job_table.h"
#include "scheduler/machine_table.h"
#include "scheduler/task_lifecycle.h"

namespace rookdyke {

class Placement {
 public:
  // All must outlive this object.
  Placement(const Settings& settings, const Catalog& catalog, JobTable& jobs,
            MachineTable& machines, const TeamUsage& team_usage, TaskLifecycle& lifecycle,
            const Eligibility& eligibility, WorkCounters& work);

  // Runs one round. `backlog` is the number of waiting tasks and unsent transactions; the round's
  // budget grows with it.
  void place(double now, size_t backlog);

 private:
  PlacementRound start_round(double now, size_t backlog);
  const Job* place_by_image_locality(PlacementRound& round);
  void place_in_order(PlacementRound& round, const Job* first_array);
  void place_job(Job& job, PlacementRound& round);
  PlacementOutcome start_tasks(Job& job, PlacementRound& round, ImageLocality locality);
  size_t count_ready_machines() const;
  // Also schedules the next preemption if one is due.
  bool is_preemption_due(double now);

  JobTable& jobs_;
  const MachineTable& machines_;
  WorkCounters& work_;
  JobQueue queue_;
  PlacementSearch search_;
  ArrayPlacement arrays_;
  GangPlacement gangs_;
  ServicePlacement services_;
  MachineReservations reservations_;
  Preemption preemption_;
  double next_preemption_at_ = 0;
};

}  // namespace rookdyke
