#pragma once
// Places the tasks of array jobs independently of each other, each on the best machine that is
// left. Stateless; sets JobPlacement::last_start and JobPlacement::starvation_allowance of the job
// and proposes attempts through TaskLifecycle. Called by Placement.

#include <cstdint>

#include "model/job.h"
#include "placement/eligibility.h"
#include "placement/placement_round.h"
#include "placement/placement_search.h"
#include "quota/team_usage.h"
#include "scheduler/machine_table.h"
#include "scheduler/task_lifecycle.h"

namespace rookdyke {

class ArrayPlacement {
 public:
  // All must outlive this object.
  ArrayPlacement(MachineTable& machines, const TeamUsage& team_usage, TaskLifecycle& lifecycle,
                 const Eligibility& eligibility, PlacementSearch& search)
      : machines_(machines),
        team_usage_(team_usage),
        lifecycle_(lifecycle),
        eligibility_(eligibility),
        search_(search) {}

  // Starts as many waiting tasks as fit, within the round's budget and the team's limit. A starved
  // array starts only its starvation allowance, over as many rounds as necessary.
  PlacementOutcome place(Job& job, PlacementRound& round, ImageLocality locality);

 private:
  uint32_t start_limit(Job& job, const PlacementRound& round, bool starved) const;
  uint32_t start_tasks(Job& job, PlacementRound& round, ImageLocality locality, uint32_t limit);
  bool has_quota(const Job& job) const;

  MachineTable& machines_;
  const TeamUsage& team_usage_;
  TaskLifecycle& lifecycle_;
  const Eligibility& eligibility_;
  PlacementSearch& search_;
};

}  // namespace rookdyke
