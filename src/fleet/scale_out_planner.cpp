#include "fleet/scale_out_planner.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace rookdyke {

FleetBalance ScaleOutPlanner::plan(Index type, double now) {
  Capacity capacity = capacity_by_zone(type, now);
  const double pending = add_pending_rentals(type, capacity);
  const bool may_request = pending <= 0 && requests_.may_request(now);
  if (may_request && raise_to_zone_floors(type, capacity, now))
    return FleetBalance::below_zone_floor;
  // The target alone does not tell spot from on-demand machines. The demand of jobs that may not
  // use spot machines is therefore a floor for the number of on-demand machines.
  const double target = demand_.target(type);
  Shortage shortage;
  shortage.on_demand_floor = demand_.on_demand_floor(type);
  shortage.total = std::max(target - capacity.total, shortage.on_demand_floor - capacity.on_demand);
  if (shortage.total <= 0)
    return capacity.total > target ? FleetBalance::above_target : FleetBalance::balanced;
  shortage.total = reuse_draining(type, capacity, shortage);
  if (shortage.total > 0 && may_request) request_for(type, capacity, shortage, now);
  return FleetBalance::below_target;
}

// The type's capacity, with an entry for each of its zones, including those without machines.
Capacity ScaleOutPlanner::capacity_by_zone(Index type, double now) const {
  Capacity capacity = count_capacity(machines_, monitor_, type, now);
  for (const std::string& zone : catalog_.types[type].zones)
    capacity.by_zone.try_emplace(catalog_.zones.find(zone), 0);
  return capacity;
}

// Adds the machines of pending rentals to the capacity and returns their number.
double ScaleOutPlanner::add_pending_rentals(Index type, Capacity& capacity) const {
  double pending = 0;
  for (const CloudRequests::PendingRental& rental : requests_.pending_rentals(type)) {
    pending += rental.count;
    if (rental.zone_and_kind.kind == MachineKind::on_demand) capacity.on_demand += rental.count;
    capacity.by_zone[rental.zone_and_kind.zone] += rental.count;
  }
  capacity.total += pending;
  return pending;
}

// The target does not tell zones apart either: jobs that need machines in a certain zone set a
// floor for the number of machines there. Returns true if a draining machine was reused or a rental
// was queued for one of the zones.
bool ScaleOutPlanner::raise_to_zone_floors(Index type, Capacity& capacity, double now) {
  for (const auto& [zone, floor] : demand_.zone_floors(type)) {
    // operator[] adds the zone to by_zone, so that choose_zone() may select it for the type's other
    // demand.
    const double on_demand_shortage = floor.on_demand - capacity.on_demand_by_zone[zone];
    const double shortage = std::max(on_demand_shortage, floor.all - capacity.by_zone[zone]);
    if (shortage <= 0) continue;
    const bool on_demand_only = on_demand_shortage > 0;
    if (reuse_draining_in_zone(type, zone, on_demand_only)) return true;
    if (!on_demand_only &&
        requests_.request_machines(type, {zone, MachineKind::spot}, shortage, now))
      return true;
    if (requests_.request_machines(type, {zone, MachineKind::on_demand}, shortage, now))
      return true;
  }
  return false;
}

// Takes one draining machine of the zone back into use, since that is faster than renting. Returns
// whether there was one.
bool ScaleOutPlanner::reuse_draining_in_zone(Index type, Index zone, bool on_demand_only) {
  for (const auto& machine : machines_)
    if (machine->type == type && machine->zone == zone &&
        machine->state == MachineState::draining && !machine->cordoned && machine->reclaim_at < 0 &&
        !(on_demand_only && machine->spot))
      return MachineTable::set_state(*machine, MachineState::ready, "needed again in its zone");
  return false;
}

// Takes draining machines of any zone back into use. Returns the shortage that remains.
double ScaleOutPlanner::reuse_draining(Index type, const Capacity& capacity, Shortage shortage) {
  const bool on_demand_only =
      capacity.on_demand < shortage.on_demand_floor && capacity.total >= demand_.target(type);
  for (const auto& machine : machines_) {
    if (shortage.total <= 0) break;
    if (machine->type != type || machine->state != MachineState::draining || machine->cordoned ||
        machine->reclaim_at >= 0)
      continue;
    if (on_demand_only && machine->spot) continue;
    if (MachineTable::set_state(*machine, MachineState::ready, "needed again")) --shortage.total;
  }
  return shortage.total;
}

// Queues one request. Spot machines are cheaper, so on-demand machines are requested only if jobs
// need them or if no zone has capacity for spot machines.
void ScaleOutPlanner::request_for(Index type, const Capacity& capacity, const Shortage& shortage,
                                  double now) {
  const bool has_spot_demand = demand_.has_spot_demand(type);
  const bool meets_floor = capacity.on_demand >= shortage.on_demand_floor;
  MachineKind kind = has_spot_demand && meets_floor ? MachineKind::spot : MachineKind::on_demand;
  double count = shortage.total;
  if (has_spot_demand && !meets_floor)
    count = std::min(shortage.total, std::max(1.0, shortage.on_demand_floor - capacity.on_demand));
  Index zone = choose_zone(type, kind, capacity, now);
  const bool other_kind_serves =
      kind == MachineKind::spot || (has_spot_demand && capacity.total < demand_.target(type));
  if (zone == kNone && other_kind_serves) {
    kind = kind == MachineKind::spot ? MachineKind::on_demand : MachineKind::spot;
    count = shortage.total;
    zone = choose_zone(type, kind, capacity, now);
  }
  if (zone == kNone) return;
  // Spreads the machines over the zones, so that a zone failure or a wave of reclaims affects
  // fewer.
  const auto zones = static_cast<double>(std::max<size_t>(1, capacity.by_zone.size()));
  count = std::min(count, std::max(1.0, std::ceil(shortage.total / zones)));
  requests_.request_machines(type, {zone, kind}, count, now);
}

// The zone with the fewest machines among those for which the cloud has not reported a lack of
// capacity recently; kNone if there is none.
Index ScaleOutPlanner::choose_zone(Index type, MachineKind kind, const Capacity& capacity,
                                   double now) const {
  Index best = kNone;
  for (const auto& [zone, machines] : capacity.by_zone) {
    if (requests_.lacks_capacity(type, {zone, kind}, now)) continue;
    if (best == kNone || machines < capacity.by_zone.at(best)) best = zone;
  }
  return best;
}

}  // namespace rookdyke
