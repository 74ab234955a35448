#pragma once
// Decides how many machines of a type are to be added, where, and of which kind. Owns no state of
// its own: it compares capacity with demand, takes draining machines back into use, and queues
// rentals at CloudRequests. Called by FleetPlanner for each type once a round. At most one request
// of a type is unanswered at any time.

#include <cstdint>

#include "fleet/capacity.h"
#include "fleet/cloud_requests.h"
#include "fleet/demand_model.h"
#include "fleet/machine_monitor.h"
#include "model/types.h"
#include "scheduler/catalog.h"
#include "scheduler/machine_table.h"

namespace rookdyke {

// How a type's capacity compares with what is wanted of it.
enum class FleetBalance : uint8_t {
  below_zone_floor,  // a zone lacks machines; the target has not been looked at
  below_target,
  balanced,
  above_target
};

class ScaleOutPlanner {
 public:
  // All must outlive this object.
  ScaleOutPlanner(const Catalog& catalog, const DemandModel& demand, const MachineMonitor& monitor,
                  MachineTable& machines, CloudRequests& requests)
      : catalog_(catalog),
        demand_(demand),
        monitor_(monitor),
        machines_(machines),
        requests_(requests) {}

  // Adds what the type lacks, as far as may be asked for now.
  FleetBalance plan(Index type, double now);

 private:
  // What the type lacks, in machines.
  struct Shortage {
    double total = 0;
    double on_demand_floor = 0;
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
