#pragma once
// How much work the scheduler's rounds did, for checks that it follows what changed and not the
// size of everything. Owned by Scheduler; the parts of placement count into it.

#include <cstdint>

namespace rookdyke {

struct WorkCounters {
  uint64_t rounds = 0, jobs_looked_at = 0, machines_looked_at = 0;
};

}  // namespace rookdyke
