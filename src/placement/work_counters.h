#pragma once
// Counters of the work done in scheduling rounds. Tests use them to check that the work of a round
// grows with the number of changes and not with the size of the deployment. Owned by Scheduler;
// incremented by the classes of placement.

#include <cstdint>

namespace rookdyke {

struct WorkCounters {
  uint64_t rounds = 0, jobs_examined = 0, machines_examined = 0;
};

}  // namespace rookdyke
