#pragma once
// Decides how many machines of a type are added, in which zone, and of which kind. Stateless: it
// compares capacity with demand, takes draining machines back into use, and queues rentals in
// CloudRequests. Called by FleetPlanner for each type once per round. At most one rental request of
// a type is pending at any time.

#include <cstdint>

#include "fleet/capacity.h"
#include "fleet/cloud_requests.h"
#include "fleet/demand_model.h"
#include "fleet/machine_monitor.h"
#include "model/types.h"
#include "scheduler/catalog.h"
#include "scheduler/machine_table.h"

namespace rookdyke {

// How a type's capacity compares with its zone floors and its target.
enum class FleetBalance : uint8_t {
  below_zone_floor,  // a zone lacks machines; the target was not evaluated
  below_target,
  balanced,
  above_target
};

class ScaleOutPlanner {
 public:
  // All references must outlive this object.
  ScaleOutPlanner(const Catalog& catalog, const DemandModel& demand, const MachineMonitor& monitor,
                  MachineTable& machines, CloudRequests& requests)
      : catalog_(catalog),
        demand_(demand),
        monitor_(monitor),
        machines_(machines),
        requests_(requests) {}

  // Adds the machines that the type lacks, as far as the rental limits allow now.
  FleetBalance plan(Index type, double now);

 private:
  struct Shortage {
    double total = 0;            // machines that the type lacks
    double on_demand_floor = 0;  // on-demand machines that the type must have
  };
  Capacity capacity_by_zone(Index type, double now) const;
  double add_pending_rentals(Index type, Capacity& capacity) const;
  bool raise_to_zone_floors(Index type, Capacity& capacity, double now);
  bool reuse_draining_in_zone(Index type, Index zone, bool on_demand_only);
  double reuse_draining(Index type, const Capacity& capacity, Shortage shortage);
  void request_for(Index type, const Capacity& capacity, const Shortage& shortage, double now);
  Index choose_zone(Index type, MachineKind kind, const Capacity& capacity, double now) const;

  const Catalog& catalog_;
  const DemandModel& demand_;
  const MachineMonitor& monitor_;
  MachineTable& machines_;
  CloudRequests& requests_;
};

}  // namespace rookdyke
