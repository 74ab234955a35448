#pragma once
// Which jobs can never run, whatever the cloud and the other jobs do: they are refused (422) and
// not retried. Strict: what might run some day is none of them.

#include <optional>
#include <string>
#include <vector>

#include "model/types.h"

namespace rookdyke {

// Why the job can never run; empty: it may. A type without zones may be in any of `zones`.
std::optional<std::string> never_runs(const JobSpec& job, const std::vector<MachineType>& types,
                                      const std::vector<TeamQuota>& teams,
                                      const std::vector<std::string>& zones);

}  // namespace rookdyke
