#include "fleet/scale_in_planner.h"

#include <algorithm>
#include <cmath>

namespace rookdyke {

namespace {

// After the scale-in delay, while the surplus lasts, one machine or this share of the surplus,
// whichever is more, is drained per interval. One machine per sample (5 s) left 30 of 40 machines
// idle for two minutes after the last burst; one per second would need ten minutes for a surplus of
// 600.
constexpr double kDrainIntervalS = 1;
constexpr double kDrainShare = 0.1;
// Cost added for a machine with service replicas, so that others are drained first; 1 is the cost
// of a fully used machine.
constexpr double kReplicaCost = 10;
// Cost added for a spot machine, so that on-demand machines, which are more expensive, are drained
// first among equally loaded ones.
constexpr double kSpotCost = 1e-3;

}  // namespace

void ScaleInPlanner::record_balance(Index type, FleetBalance balance, double now) {
  switch (balance) {
    case FleetBalance::below_zone_floor:
      break;
    case FleetBalance::below_target:
    case FleetBalance::balanced:
      above_since_[type] = kNotAbove;
      break;
    case FleetBalance::above_target:
      if (above_since_[type] < 0) above_since_[type] = now;
      break;
  }
}

void ScaleInPlanner::drain_if_due(Index type, double now) {
  double& since = above_since_[type];
  if (since < 0 || now - since < settings_.tuning.scale_in_delay_s) return;
  drain_surplus(type, now);
  since += kDrainIntervalS;
}

// The machines that may be drained, emptiest first, those with replicas last.
std::vector<ScaleInPlanner::Candidate> ScaleInPlanner::candidates(Index type, double now) const {
  std::vector<Candidate> found;
  for (const auto& machine : machines_) {
    if (machine->type != type || machine->state != MachineState::ready ||
        !monitor_.counts_as_capacity(*machine, now))
      continue;
    const double replica_cost = replicas_.holds_replicas(*machine) ? kReplicaCost : 0;
    const double cost = machine->used.dominant_share(catalog_.types[type].size) +
                        (machine->spot ? kSpotCost : 0) + replica_cost;
    found.push_back({cost, machine->index});
  }
  std::sort(found.begin(), found.end());
  return found;
}

bool ScaleInPlanner::is_draining_replicas() const {
  return std::any_of(machines_.begin(), machines_.end(), [this](const auto& machine) {
    return machine->state == MachineState::draining && replicas_.holds_replicas(*machine);
  });
}

// Whether the floors of the type and of the machine's zone are still met without the machine.
bool ScaleInPlanner::is_above_floors(const Machine& machine, Capacity& capacity,
                                     const Floors& floors) {
  if (!machine.spot && capacity.on_demand <= floors.on_demand) return false;
  const auto floor = floors.by_zone.find(machine.zone);
  if (floor == floors.by_zone.end()) return true;
  if (capacity.by_zone[machine.zone] <= floor->second.all) return false;
  return machine.spot || capacity.on_demand_by_zone[machine.zone] > floor->second.on_demand;
}

void ScaleInPlanner::drain_surplus(Index type, double now) {
  Capacity capacity = count_capacity(machines_, monitor_, type, now);
  const Floors floors{demand_.on_demand_floor(type), demand_.zone_floors(type)};
  const double surplus = capacity.total - demand_.target(type);
  double remaining = std::max(1.0, std::ceil(kDrainShare * surplus));
  // A service lacks a replica while it moves, so machines with replicas are drained one at a time.
  bool replicas_move = is_draining_replicas();
  for (const Candidate& candidate : candidates(type, now)) {
    if (remaining <= 0) break;
    Machine& machine = machines_[candidate.machine];
    const bool with_replicas = replicas_.holds_replicas(machine);
    if (with_replicas && (replicas_move || !replicas_.holds_only_replicas(machine))) continue;
    if (!is_above_floors(machine, capacity, floors)) continue;
    replicas_move = replicas_move || with_replicas;
    capacity.remove(machine);
    --remaining;
    MachineTable::drain(machine, now, "scale in");
  }
}

}  // namespace rookdyke
