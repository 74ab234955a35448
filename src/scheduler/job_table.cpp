#include "scheduler/job_table.h"

#include <spdlog/spdlog.h>

namespace rookdyke {

Job& JobTable::add(const std::string& name) {
  const Index index = names_.intern(name);
  if (index >= jobs_.size()) {
    jobs_.resize(index + 1);
    erased_.resize(index + 1);
  }
  if (!jobs_[index]) ++count_;
  jobs_[index] = std::make_unique<Job>();
  jobs_[index]->id = index;
  return *jobs_[index];
}

void JobTable::erase(Index job) {
  completed_.erase(job);
  erased_[job] = true;
  --count_;
  jobs_[job].reset();
}

bool JobTable::set_state(Job& job, JobState to) {
  if (job.state == to) return true;
  if (!is_transition_allowed(job.state, to)) {
    spdlog::error("job {}: invalid state transition from {} to {}", job.spec.id,
                  to_string(job.state), to_string(to));
    return false;
  }
  spdlog::debug("job {}: {} -> {}", job.spec.id, to_string(job.state), to_string(to));
  job.state = to;
  return true;
}

}  // namespace rookdyke
