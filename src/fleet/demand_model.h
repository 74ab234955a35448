#pragma once
// The number of machines that the open jobs need: demand for each machine type and zone, its
// forecast one boot time ahead, and the results for fleet planning, which are a target for each
// type and floors for needs that the target alone does not cover (zones, on-demand machines). The
// scheduler calls it once per round. It changes neither jobs nor machines, and its results change
// only when a sample is taken.

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

// The minimum number of machines of a type that one zone needs.
struct ZoneFloor {
  double all = 0;        // machines of both kinds
  double on_demand = 0;  // machines for jobs that may not use spot machines
};

class DemandModel {
 public:
  // All references must outlive this object. The first sample is due at `now`.
  DemandModel(const Settings& settings, const Catalog& catalog, const JobTable& jobs,
              const MachineTable& machines, double now);

  // Takes a sample if one is due.
  void sample_if_due(double now);

  // The number of machines of the type to have, in all zones together; 0 before the first sample.
  double target(Index type) const { return by_type_[type].target; }
  // The sum of the targets of all types.
  double total_target() const;
  // The number of machines needed by jobs that may not use spot machines.
  double on_demand_floor(Index type) const;
  // The floors by zone; zones without a floor are omitted.
  std::map<Index, ZoneFloor> zone_floors(Index type) const;
  // Whether spot machines may serve some of the demand for the type.
  bool has_spot_demand(Index type) const;

 private:
  struct TypeAndZone {
    Index type = kNone;
    Index zone = kNone;
    bool operator<(const TypeAndZone& other) const {
      return std::tie(type, zone) < std::tie(other.type, other.zone);
    }
  };
  // The number of machines by type and zone, without terminated machines.
  using MachineCounts = std::map<TypeAndZone, size_t>;

  // Demand for machines in one zone: from jobs that are bound to it, single-zone jobs that are
  // expected to run there, and jobs that are spread over this zone and another one.
  struct ZoneDemand {
    Resources all, on_demand;  // demand of jobs bound to the zone
    // In machines: the largest demand of a job that is not bound to the zone.
    double largest_job = 0, largest_on_demand_job = 0;
  };
  struct TypeDemand {
    Forecast forecast;
    double target = 0;
    Resources all;
    Resources on_demand;  // demand of jobs that may not use spot machines
    std::map<Index, ZoneDemand> by_zone;
  };

  void sample(double now);
  void update_target(Index type, double now);
  Index cheapest_type(const Job& job) const;
  bool could_run_on(const Job& job, Index type) const;
  Resources limit_to_team_quota(const Job& job, Resources demand,
                                std::vector<Resources>& team_sums) const;
  MachineCounts count_machines() const;
  void add_zone_demand(const Job& job, Index type, const Resources& demand,
                       const MachineCounts& machines);
  void add_single_zone_demand(const Job& job, Index type, const Resources& demand,
                              const MachineCounts& machines);
  void record_largest_in_zone(const Job& job, Index type, Index zone, const Resources& demand);
  Index largest_zone(Index type, const MachineCounts& machines) const;
  double machines_needed(Index type, const Resources& demand) const;

  const Settings& settings_;
  const Catalog& catalog_;
  const JobTable& jobs_;
  const MachineTable& machines_;
  std::vector<TypeDemand> by_type_;
  double next_sample_at_;
};

}  // namespace rookdyke
