#include "fleet/capacity.h"

namespace rookdyke {

void Capacity::add(const Machine& machine) {
  ++total;
  if (!machine.spot) ++on_demand;
  if (machine.zone == kNone) return;
  ++by_zone[machine.zone];
  if (!machine.spot) ++on_demand_by_zone[machine.zone];
}

void Capacity::remove(const Machine& machine) {
  --total;
  if (!machine.spot) --on_demand;
  if (machine.zone == kNone) return;
  --by_zone[machine.zone];
  if (!machine.spot) --on_demand_by_zone[machine.zone];
}

Capacity count_capacity(const MachineTable& machines, const MachineMonitor& monitor, Index type,
                        double now) {
  Capacity capacity;
  for (const auto& machine : machines)
    if (machine->type == type && monitor.counts_as_capacity(*machine, now)) capacity.add(*machine);
  return capacity;
}

}  // namespace rookdyke
