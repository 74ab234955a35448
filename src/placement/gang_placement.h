#pragma once
// Places gangs: all tasks of a gang at once or none, and replacements for a gang that still
// gathers. Owns the capacity reserved for gangs that lack some of it, which counts as used on the
// machines until the end of the round. Writes JobPlacement::last_start of gangs and proposes
// attempts through TaskLifecycle. Called by Placement.

#include <cstdint>
#include <vector>

#include "model/job.h"
#include "model/types.h"
#include "placement/eligibility.h"
#include "placement/placement_round.h"
#include "placement/placement_search.h"
#include "quota/team_usage.h"
#include "scheduler/catalog.h"
#include "scheduler/machine_table.h"
#include "scheduler/task_lifecycle.h"

namespace rookdyke {

class GangPlacement {
 public:
  // All must outlive this object.
  GangPlacement(const Catalog& catalog, MachineTable& machines, const TeamUsage& team_usage,
                TaskLifecycle& lifecycle, const Eligibility& eligibility, PlacementSearch& search)
      : catalog_(catalog),
        machines_(machines),
        team_usage_(team_usage),
        lifecycle_(lifecycle),
        eligibility_(eligibility),
        search_(search) {}

  // Starts all tasks of the gang, whatever is left of the round's budget; or reserves what capacity
  // there is for it, if it has waited. Of a gang that gathers, starts the tasks that it lacks.
  PlacementOutcome place(Job& job, PlacementRound& round, ImageLocality locality);
  // Takes back all reserved capacity: at the end of every round.
  void release_reserved_capacity();

 private:
  using Candidates = std::vector<PlacementCandidate>;
  // One machine per task, in the order of the tasks; empty if there are too few.
  struct Selection {
    std::vector<Index> machines;
    double worst_score = 0;
  };
  struct ReservedSlot {
    Index machine = kNone;
    Resources per_task;
  };

  PlacementOutcome replace_missing_tasks(Job& job, PlacementRound& round);
  Selection select_machines(const Job& job, const Candidates& candidates) const;
  Selection select_in_zone(const Job& job, const Candidates& candidates, Index zone) const;
  void start(Job& job, const std::vector<Index>& machines, PlacementRound& round);
  void reserve_capacity(const Job& job, const Candidates& candidates, const PlacementRound& round);

  const Catalog& catalog_;
  MachineTable& machines_;
  const TeamUsage& team_usage_;
  TaskLifecycle& lifecycle_;
  const Eligibility& eligibility_;
  PlacementSearch& search_;
  std::vector<ReservedSlot> reserved_;
};

}  // namespace rookdyke
