#pragma once
// Decides which machines of a type are drained once the type has been above its target for the
// scale-in delay. Records since when each type has been above its target. Called by FleetPlanner
// once per round; MachineMonitor returns the drained machines.

#include <map>
#include <tuple>
#include <vector>

#include "fleet/capacity.h"
#include "fleet/demand_model.h"
#include "fleet/machine_monitor.h"
#include "fleet/scale_out_planner.h"
#include "model/machine.h"
#include "model/settings.h"
#include "model/types.h"
#include "placement/replica_mover.h"
#include "scheduler/catalog.h"
#include "scheduler/machine_table.h"

namespace rookdyke {

class ScaleInPlanner {
 public:
  // All references must outlive this object.
  ScaleInPlanner(const Settings& settings, const Catalog& catalog, const DemandModel& demand,
                 const MachineMonitor& monitor, MachineTable& machines,
                 const ReplicaMover& replicas)
      : settings_(settings),
        catalog_(catalog),
        demand_(demand),
        monitor_(monitor),
        machines_(machines),
        replicas_(replicas),
        above_since_(catalog.types.size(), kNotAbove) {}

  // Records how the type's capacity compares with its target in this round.
  void record_balance(Index type, FleetBalance balance, double now);
  // Drains some of the type's machines if the type has been above its target for the scale-in delay
  // and the drain interval has passed since the last time.
  void drain_if_due(Index type, double now);

 private:
  static constexpr double kNotAbove = -1;

  // A machine that may be drained, ordered by cost, then by index.
  struct Candidate {
    double cost = 0;  // of draining it, as a fraction of a fully used machine
    Index machine = kNone;
    bool operator<(const Candidate& other) const {
      return std::tie(cost, machine) < std::tie(other.cost, other.machine);
    }
  };
  void drain_surplus(Index type, double now);
  std::vector<Candidate> candidates(Index type, double now) const;
  struct Floors {
    double on_demand = 0;  // all zones together
    std::map<Index, ZoneFloor> by_zone;
  };
  static bool is_above_floors(const Machine& machine, Capacity& capacity, const Floors& floors);
  bool is_draining_replicas() const;

  const Settings& settings_;
  const Catalog& catalog_;
  const DemandModel& demand_;
  const MachineMonitor& monitor_;
  MachineTable& machines_;
  const ReplicaMover& replicas_;
  // By type: since when the type has been above its target, advanced by the drain interval each
  // time machines are drained; kNotAbove: not above the target.
  std::vector<double> above_since_;
};

}  // namespace rookdyke
