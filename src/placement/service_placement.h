#pragma once
// Places the replicas of services where they start soonest, spread over machines and zones.
// Stateless; sets JobPlacement::last_start of services and proposes attempts through TaskLifecycle.
// Called by Placement.

#include <cstdint>
#include <map>
#include <vector>

#include "model/job.h"
#include "model/types.h"
#include "placement/eligibility.h"
#include "placement/placement_round.h"
#include "placement/placement_search.h"
#include "quota/team_usage.h"
#include "scheduler/machine_table.h"
#include "scheduler/task_lifecycle.h"

namespace rookdyke {

class ServicePlacement {
 public:
  // All must outlive this object.
  ServicePlacement(MachineTable& machines, const TeamUsage& team_usage, TaskLifecycle& lifecycle,
                   const Eligibility& eligibility, PlacementSearch& search)
      : machines_(machines),
        team_usage_(team_usage),
        lifecycle_(lifecycle),
        eligibility_(eligibility),
        search_(search) {}

  // Starts as many missing replicas as fit, within the round's budget and the team's limit.
  PlacementOutcome place(Job& job, PlacementRound& round);

 private:
  using Candidates = std::vector<PlacementCandidate>;
  // The number of replicas of one service per machine and per zone, and whether any replica is not
  // running yet.
  struct ReplicaSpread {
    std::map<Index, uint32_t> by_machine, by_zone;
    bool any_starting = false;
  };

  ReplicaSpread spread_of(const Job& job) const;
  double score(const Job& job, const PlacementCandidate& candidate,
               const ReplicaSpread& spread) const;
  PlacementCandidate* best_candidate(const Job& job, Candidates& candidates,
                                     const ReplicaSpread& spread) const;
  bool has_quota(const Job& job) const;

  MachineTable& machines_;
  const TeamUsage& team_usage_;
  TaskLifecycle& lifecycle_;
  const Eligibility& eligibility_;
  PlacementSearch& search_;
};

}  // namespace rookdyke
