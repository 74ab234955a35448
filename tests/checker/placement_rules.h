#pragma once
// The rules about what runs where: `ran_twice`, `ran_cancelled`, `started_cancelled`, `wrong_place`
// and `quota`. The Checker calls them for each start of a task, and as time goes on.

#include <string>

#include "checker/observations.h"

namespace rookdyke::test {

// A task that starts.
struct Start {
  double now = 0;
  uint32_t task = 0;
  Place at;
  double ordered_at = -1;  // when a controller gave out the command; negative: not known
};

// Records where the task runs.
void check_start(const Start& start, const std::string& id, JobObservations& jobs,
                 const Deployment& deployment, Violations& violations);
// Cancelled jobs that are on machines for too long; the first that is found.
void check_cancelled_jobs(double now, const JobObservations& jobs, const Deployment& deployment,
                          Violations& violations);

}  // namespace rookdyke::test
