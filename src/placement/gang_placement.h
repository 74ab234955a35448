#pragma once
// Places gangs: all tasks of a gang at once or none, and replacements for lost tasks of a gang that
// still waits for all its tasks to start. Owns the capacity reserved for gangs that do not fit yet,
// which counts as used on the machines until the end of the round. Sets JobPlacement::last_start of
// gangs and proposes attempts through TaskLifecycle. Called by Placement.

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

  // Starts all tasks of the gang, even if they exceed the round's budget. If they do not fit and
  // the gang has waited long enough, reserves the free capacity for it. For a gang that still
  // waits for all its tasks to start, starts replacements of lost tasks.
  PlacementOutcome place(Job& job, PlacementRound& round, ImageLocality locality);
  // Releases all reserved capacity. Called at the end of every round.
  void release_reserved_capacity();

 private:
  using Candidates = std::vector<PlacementCandidate>;
  // One machine per task, in task order; empty if the tasks do not all fit.
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
  std::vector<ReservedSlot> reserved_slots_;
};

}  // namespace rookdyke
