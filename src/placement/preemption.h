#pragma once
// Frees capacity for a job by stopping tasks of lower priority, or of teams that use more than
// their guarantee. Keeps, for one round, the requests for which nothing can be preempted. Stops
// attempts through TaskLifecycle and reserves their machines through MachineReservations; the job's
// tasks are placed in a later round, once the capacity is free. Called by Placement.

#include <cstdint>
#include <optional>
#include <vector>

#include "model/job.h"
#include "model/machine.h"
#include "model/types.h"
#include "placement/eligibility.h"
#include "placement/machine_reservations.h"
#include "placement/placement_round.h"
#include "placement/placement_search.h"
#include "placement/work_counters.h"
#include "quota/team_usage.h"
#include "scheduler/catalog.h"
#include "scheduler/job_table.h"
#include "scheduler/machine_table.h"
#include "scheduler/task_lifecycle.h"

namespace rookdyke {

class Preemption {
 public:
  // All must outlive this object.
  Preemption(const Catalog& catalog, JobTable& jobs, MachineTable& machines,
             const TeamUsage& team_usage, TaskLifecycle& lifecycle, const Eligibility& eligibility,
             const PlacementSearch& search, const MachineReservations& reservations,
             WorkCounters& work)
      : catalog_(catalog),
        jobs_(jobs),
        machines_(machines),
        team_usage_(team_usage),
        lifecycle_(lifecycle),
        eligibility_(eligibility),
        search_(search),
        reservations_(reservations),
        work_(work) {}

  // Clears the results of the last round.
  void start_round() { unpreemptable_.clear(); }

  // Preempts tasks to free capacity for the job's waiting tasks: for all tasks of a gang or none,
  // for up to kMaxTasksPerPreemption tasks of other jobs. Machines already reserved for the job
  // count towards this number.
  void free_capacity_for(const Job& job, double now, ImageLocality locality);

 private:
  struct Victim {
    double cost = 0;  // in seconds of lost work
    Index job = kNone;
    uint32_t task = 0;
  };
  // A machine on which capacity for one task can be freed. Without victims, the capacity is free or
  // is being freed already.
  struct Candidate {
    double cost = 0;  // in seconds of lost work and weighted image fetch
    Index machine = kNone;
    std::vector<Victim> victims;
  };
  // A request for which nothing can be preempted. The same holds for other jobs of this priority
  // that need at least as much and are not within their team's guarantee.
  struct UnpreemptableRequest {
    Priority priority;
    Index zone;
    std::vector<bool> types;
    bool spot, single_zone;
    uint32_t count;
    double share;
  };

  bool is_known_unpreemptable(const Job& job, uint32_t count) const;
  bool may_preempt(const Job& job, const Job& victim) const;
  void collect_victims(const Job& job, const Machine& machine, double now, Resources& available,
                       std::vector<Victim>& victims) const;
  std::optional<Candidate> candidate_on(const Job& job, const Machine& machine, double now,
                                        std::vector<Victim>& scratch) const;
  std::vector<Candidate> find_candidates(const Job& job, double now);
  void restrict_to_single_zone(std::vector<Candidate>& candidates, uint32_t count) const;
  void preempt(const Job& job, const Candidate& candidate, double now);

  const Catalog& catalog_;
  JobTable& jobs_;
  MachineTable& machines_;
  const TeamUsage& team_usage_;
  TaskLifecycle& lifecycle_;
  const Eligibility& eligibility_;
  const PlacementSearch& search_;
  const MachineReservations& reservations_;
  WorkCounters& work_;
  std::vector<UnpreemptableRequest> unpreemptable_;
};

}  // namespace rookdyke
