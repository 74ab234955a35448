#include "placement/array_placement.h"

#include <algorithm>

#include "placement/job_queue.h"
#include "workers/fault_detector.h"

namespace rookdyke {

namespace {

// The starvation allowance of an array is 1/kStarvationDivisor of its tasks, but at least
// kMinStarvationAllowance.
constexpr uint32_t kMinStarvationAllowance = 4;
constexpr uint32_t kStarvationDivisor = 16;

// The allowance is a fraction of the array's tasks, or of the tasks that fit on the whole fleet if
// that is less: a fraction of an array much larger than the fleet would take every free slot before
// jobs with start-time objectives.
uint32_t initial_starvation_allowance(const Job& job, size_t ready_machines) {
  const double fleet_slots =
      job.min_machine_share > 0 ? static_cast<double>(ready_machines) / job.min_machine_share : 0;
  const double considered_tasks = std::min<double>(job.tasks(), fleet_slots);
  return std::max(kMinStarvationAllowance,
                  static_cast<uint32_t>(considered_tasks) / kStarvationDivisor);
}

}  // namespace

bool ArrayPlacement::has_quota(const Job& job) const {
  return team_usage_.within_limit(job.team, job.spec.per_task, 1);
}

// Number of tasks that may be started in this round, not counting the round's budget. Also sets the
// starvation allowance of an array that has become starved.
uint32_t ArrayPlacement::start_limit(Job& job, const PlacementRound& round, bool starved) const {
  uint32_t& allowance = job.placement.starvation_allowance;
  if (starved && allowance == 0)
    allowance = initial_starvation_allowance(job, round.ready_machines);
  // A faulty job runs one task at a time, to test whether it still fails. The next task is started
  // only after this one has ended and the back-off is over. Without this limit, the rounds until an
  // error is reported would start more tasks.
  if (FaultDetector::is_faulty(job)) return job.attempts.empty() ? 1 : 0;
  return starved ? allowance : UINT32_MAX;
}

PlacementOutcome ArrayPlacement::place(Job& job, PlacementRound& round, ImageLocality locality) {
  // The team's limit, not a lack of machines, prevents a start, so nothing is preempted.
  if (!has_quota(job)) return PlacementOutcome::limited;
  if (search_.is_known_unplaceable(job, 1)) return PlacementOutcome::insufficient_capacity;
  const bool starved = JobQueue::is_starved(job, round.now);
  const uint32_t limit = start_limit(job, round, starved);
  const uint32_t started = start_tasks(job, round, locality, limit);
  // On a full fleet slots become free a few at a time, so a starved array stays starved until it
  // has used its whole allowance.
  JobPlacement& placement = job.placement;
  if (started > 0 && (!starved || placement.starvation_allowance == 0 || job.waiting.empty())) {
    placement.last_start = round.now;
    placement.starvation_allowance = 0;
  }
  if (job.waiting.empty()) return PlacementOutcome::placed;
  if (round.budget <= 0 || started == limit || !has_quota(job)) return PlacementOutcome::limited;
  return PlacementOutcome::insufficient_capacity;
}

// Returns the number of tasks started. Their attempts have the same attempt number.
uint32_t ArrayPlacement::start_tasks(Job& job, PlacementRound& round, ImageLocality locality,
                                     uint32_t limit) {
  const uint64_t attempt = job.highest_attempt + 1;
  const bool starved = JobQueue::is_starved(job, round.now);
  const PlacementCandidates found = search_.find(job, round.now, locality);
  uint32_t started = 0;
  for (const PlacementCandidate& candidate : found.machines) {
    Machine& machine = machines_[candidate.machine];
    for (uint32_t k = 0; k < candidate.slots && round.budget > 0 && started < limit; ++k) {
      if (job.waiting.empty() || !has_quota(job)) break;
      if (!eligibility_.zone_allows(job, machine.zone, 1)) break;
      lifecycle_.propose(job, *job.waiting.begin(), attempt, machine, starved, round.now);
      --round.budget;
      ++started;
      if (starved) --job.placement.starvation_allowance;
    }
    if (job.waiting.empty() || round.budget <= 0 || started == limit || !has_quota(job)) break;
  }
  return started;
}

}  // namespace rookdyke
