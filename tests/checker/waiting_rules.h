#pragma once
// The rules about jobs that wait: `left_waiting`, and the users' shares. The Checker calls the
// first every few seconds after all troubles, the second at the end.

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "checker/observations.h"

namespace rookdyke::test {

// No job may wait for long while there is room for it. `held`: how many tasks of each job the
// machines hold.
void check_waiting(double now, const std::vector<Room>& rooms,
                   const std::map<std::string, size_t>& held, JobObservations& jobs,
                   const Deployment& deployment, Violations& violations);

// What of each class, of each team and of each class's largest jobs was not cancelled and is not
// done by now (less than half done), and which largest jobs did not begin within so many seconds.
// Empty: all is well.
std::vector<std::string> unfair_shares(const JobObservations& jobs, double begin_within_s);

}  // namespace rookdyke::test
