#pragma once
// Adjusts the fleet to demand: first scales out the types that lack machines, then scales in those
// whose surplus has lasted for the scale-in delay. Owns both planners; called by the scheduler at
// the end of each round, after placement.

#include "fleet/cloud_requests.h"
#include "fleet/demand_model.h"
#include "fleet/machine_monitor.h"
#include "fleet/scale_in_planner.h"
#include "fleet/scale_out_planner.h"
#include "model/settings.h"
#include "placement/replica_mover.h"
#include "scheduler/catalog.h"
#include "scheduler/machine_table.h"

namespace rookdyke {

class FleetPlanner {
 public:
  // All references must outlive this object.
  FleetPlanner(const Settings& settings, const Catalog& catalog, const DemandModel& demand,
               const MachineMonitor& monitor, MachineTable& machines, const ReplicaMover& replicas,
               CloudRequests& requests)
      : catalog_(catalog),
        scale_out_(catalog, demand, monitor, machines, requests),
        scale_in_(settings, catalog, demand, monitor, machines, replicas) {}

  void plan(double now) {
    for (Index type = 0; type < catalog_.types.size(); ++type)
      scale_in_.record_balance(type, scale_out_.plan(type, now), now);
    for (Index type = 0; type < catalog_.types.size(); ++type) scale_in_.drain_if_due(type, now);
  }

 private:
  const Catalog& catalog_;
  ScaleOutPlanner scale_out_;
  ScaleInPlanner scale_in_;
};

}  // namespace rookdyke
