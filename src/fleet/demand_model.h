#pragma once
// How many machines the open jobs ask for: demand per machine type and zone, its forecast one boot
// ahead, and what follows from both, the target of each type and the floors that the target alone
// does not ensure. Owns the samples; sampled by the scheduler once a round, asked by fleet
// planning. It changes neither jobs nor machines. Between two samples its answers stay the same.

#include <cstddef>
#include <map>
#include <tuple>
#include <vector>

#include "fleet/forecast.h"
#include "model/job.h"
#include "model/settings.h"
#include "model/types.h"
#include "scheduler/catalog.h"
#include "scheduler/job_table.h"
#include "scheduler/machine_table.h"

namespace rookdyke {

// The least machines of a type that one zone needs.
struct ZoneFloor {
  double all = 0;        // of either kind
  double on_demand = 0;  // for jobs that may not use spot machines
};

class DemandModel {
 public:
  // All must outlive this object. The first sample is due at `now`, in seconds.
  DemandModel(const Settings& settings, const Catalog& catalog, const JobTable& jobs,
              const MachineTable& machines, double now);

  // Takes a sample if one is due.
  void sample_if_due(double now);

  // Machines of the type that are wanted, wherever they are; 0 before the first sample.
  double target(Index type) const { return by_type_[type].target; }
  // Of all types.
  double total_target() const;
  // Machines that jobs need which may not use spot machines.
  double on_demand_floor(Index type) const;
  // By zone; zones without a floor are left out.
  std::map<Index, ZoneFloor> zone_floors(Index type) const;
  // Whether some of the type's demand may be met by spot machines.
  bool has_spot_demand(Index type) const;

 private:
  struct TypeAndZone {
    Index type = kNone;
    Index zone = kNone;
    bool operator<(const TypeAndZone& other) const {
      return std::tie(type, zone) < std::tie(other.type, other.zone);
    }
  };
  // How many machines of a type a zone has; terminated ones are left out.
  using MachineCounts = std::map<TypeAndZone, size_t>;

  // Of jobs that can run in one zone alone: bound to it, begun there, or spread over two.
  struct ZoneDemand {
    Resources all, on_demand;  // of jobs bound to the zone
    // In machines: the largest job's that could go elsewhere too.
    double largest = 0, largest_on_demand = 0;
  };
  struct TypeDemand {
    Forecast forecast;
    double target = 0;
    Resources all;
    Resources on_demand;  // of jobs that may not use spot machines
    std::map<Index, ZoneDemand> by_zone;
  };

  void sample(double now);
  void update_target(Index type, double now);
  Index cheapest_type(const Job& job) const;
  bool could_run_on(const Job& job, Index type) const;
  Resources within_team_limits(const Job& job, Resources demand,
                               std::vector<Resources>& team_sums) const;
  MachineCounts count_machines() const;
  void add_zone_demand(const Job& job, Index type, const Resources& demand,
                       const MachineCounts& machines);
  void add_single_zone_demand(const Job& job, Index type, const Resources& demand,
                              const MachineCounts& machines);
  void reserve_in_zone(const Job& job, Index type, Index zone, const Resources& demand);
  Index largest_zone(Index type, const MachineCounts& machines) const;
  double machines_for(Index type, const Resources& demand) const;

  const Settings& settings_;
  const Catalog& catalog_;
  const JobTable& jobs_;
  const MachineTable& machines_;
  std::vector<TypeDemand> by_type_;
  double next_sample_;
};

}  // namespace rookdyke
