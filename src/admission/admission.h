#pragma once
// Admission check for submitted jobs. A job that can never run, whatever the cloud and other jobs
// do, is rejected (422) and not retried. A job that might run at some later time is admitted.

#include <optional>
#include <string>
#include <vector>

#include "model/types.h"

namespace rookdyke {

// Returns why the job can never run, or nullopt if it is admitted. A machine type without zones is
// offered in all of `zones`.
std::optional<std::string> rejection_reason(const JobSpec& job,
                                            const std::vector<MachineType>& types,
                                            const std::vector<TeamQuota>& teams,
                                            const std::vector<std::string>& zones);

}  // namespace rookdyke
