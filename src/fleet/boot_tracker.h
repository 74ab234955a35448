#pragma once
// How long machines of each type take to boot, as the leader sees it: fed by heartbeats of machines
// that come up, asked by whoever decides whether a booting machine still counts.

#include <vector>

#include "fleet/boot_statistics.h"
#include "model/machine.h"
#include "model/settings.h"
#include "scheduler/catalog.h"
#include "scheduler/machine_table.h"

namespace rookdyke {

class BootTracker {
 public:
  // `machines` must outlive this object. `started`: when this leader began; machines rented before
  // tell nothing, for when they came up is not known.
  BootTracker(const Settings& settings, const Catalog& catalog, const MachineTable& machines,
              double started);

  // The machine's worker has sent its first heartbeat.
  void record_boot(const Machine& machine, double now);
  // Works the statistics out anew; called once a round.
  void update(double now);
  // Of the machine's type; of a usual boot where the type is not known yet.
  const BootStatistics& statistics_of(const Machine& machine) const;

 private:
  bool is_overdue(const Machine& machine, double now) const;

  const MachineTable& machines_;
  const double started_;
  std::vector<BootStatistics> by_type_;
  BootStatistics unknown_type_;
};

}  // namespace rookdyke
