#pragma once
// The number of machines of one type that serve demand, by zone and kind (spot or on-demand).
// Scale-out and scale-in compare it with the type's target and floors. A plain value, recomputed
// for each decision.

#include <map>

#include "fleet/machine_monitor.h"
#include "model/machine.h"
#include "model/types.h"
#include "scheduler/machine_table.h"

namespace rookdyke {

struct Capacity {
  double total = 0;
  double on_demand = 0;             // machines that are not spot, included in `total`
  std::map<Index, double> by_zone;  // machines of both kinds
  std::map<Index, double> on_demand_by_zone;

  void add(const Machine& machine);
  void remove(const Machine& machine);
};

// Counts the machines of the type for which MachineMonitor::counts_as_capacity() holds.
Capacity count_capacity(const MachineTable& machines, const MachineMonitor& monitor, Index type,
                        double now);

}  // namespace rookdyke
