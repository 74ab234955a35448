#pragma once
// Boot statistics of each machine type, as observed by the leader. A sample is recorded at the
// first heartbeat of each machine that the leader has rented. The statistics decide whether a
// booting machine still counts as capacity and when it is returned.

#include <vector>

#include "fleet/boot_statistics.h"
#include "model/machine.h"
#include "model/settings.h"
#include "scheduler/catalog.h"
#include "scheduler/machine_table.h"

namespace rookdyke {

class BootTracker {
 public:
  // `machines` must outlive this object. `started`: when this leader took over; machines rented
  // earlier are not sampled, since the time at which they came up is unknown.
  BootTracker(const Settings& settings, const Catalog& catalog, const MachineTable& machines,
              double started);

  // Records the first heartbeat of the machine's worker.
  void record_boot(const Machine& machine, double now);
  // Recomputes the statistics; called once per scheduling round.
  void update(double now);
  // The statistics of the machine's type; a default while its type is not known.
  const BootStatistics& statistics_of(const Machine& machine) const;

 private:
  bool is_overdue(const Machine& machine, double now) const;

  const MachineTable& machines_;
  const double started_;
  std::vector<BootStatistics> by_type_;
  BootStatistics unknown_type_;
};

}  // namespace rookdyke
