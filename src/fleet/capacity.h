#pragma once
// The machines of one type that serve demand, counted by zone and kind: what scaling out and in
// compare with the target and the floors. A value, counted anew for each decision.

#include <map>

#include "fleet/machine_monitor.h"
#include "model/machine.h"
#include "model/types.h"
#include "scheduler/machine_table.h"

namespace rookdyke {

struct Capacity {
  double total = 0;
  double on_demand = 0;             // of these, machines that are not spot
  std::map<Index, double> by_zone;  // all of them
  std::map<Index, double> on_demand_by_zone;

  void add(const Machine& machine);
  void remove(const Machine& machine);
};

// Counts the machines of the type that count as capacity now.
Capacity count_capacity(const MachineTable& machines, const MachineMonitor& monitor, Index type,
                        double now);

}  // namespace rookdyke
