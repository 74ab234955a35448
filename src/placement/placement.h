#pragma once
// Coordinates one round of placement: ranks the jobs, starts what there is room for, and makes or
// reserves room for what there is none for. Owns the parts of placement and when preemption is next
// due. Called by Scheduler once a round, after machines and jobs are up to date.
//
// JobQueue              the order of the jobs
// PlacementSearch       machines with room for a job, scored
// ArrayPlacement, GangPlacement, ServicePlacement
//                       start the tasks of a job of that shape
// Preemption            stops tasks to make room
// MachineReservations   machines kept for a single job

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

  // One round. `backlog`: waiting tasks and unsent transactions, which widen the round's budget.
  void place(double now, size_t backlog);

 private:
  PlacementRound start_round(double now, size_t backlog);
  const Job* place_by_image(PlacementRound& round);
  void place_in_order(PlacementRound& round, const Job* first);
  void place_job(Job& job, PlacementRound& round);
  PlacementOutcome start_tasks(Job& job, PlacementRound& round, ImageLocality locality);
  size_t count_ready_machines() const;
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
