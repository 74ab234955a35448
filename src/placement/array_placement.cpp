#include "placement/array_placement.h"

#include <algorithm>

#include "placement/job_queue.h"
#include "workers/fault_detector.h"

namespace rookdyke {

namespace {

// What a starved array may start at its turn: at least so many tasks, or this part of them.
constexpr uint32_t kMinStarvedStarts = 4;
constexpr uint32_t kStarvedDivisor = 16;

// A share of the array's own tasks, and no more than that share of what the whole fleet holds of
// them. Of an array larger than the fleet, a share of its own would take every slot before promised
// work.
uint32_t full_starvation_allowance(const Job& job, size_t ready_machines) {
  const double fleet_holds = job.share > 0 ? static_cast<double>(ready_machines) / job.share : 0;
  const double counted = std::min<double>(job.tasks(), fleet_holds);
  return std::max(kMinStarvedStarts, static_cast<uint32_t>(counted) / kStarvedDivisor);
}

}  // namespace

bool ArrayPlacement::has_quota(const Job& job) const {
  return team_usage_.within_limit(job.team, job.spec.per_task, 1);
}

// How many tasks may be started in this round, the budget aside.
uint32_t ArrayPlacement::start_limit(Job& job, const PlacementRound& round, bool starved) const {
  uint32_t& allowance = job.placement.starvation_allowance;
  if (starved && allowance == 0) allowance = full_starvation_allowance(job, round.ready_machines);
  // One task shows whether it still fails. The next one waits for that and for the back-off: the
  // error of the first is reported only after rounds in which more would have been started.
  if (FaultDetector::is_faulty(job)) return job.attempts.empty() ? 1 : 0;
  return starved ? allowance : UINT32_MAX;
}

PlacementOutcome ArrayPlacement::place(Job& job, PlacementRound& round, ImageLocality locality) {
  // Its own limit, not the machines, holds it back.
  if (!has_quota(job)) return PlacementOutcome::held_back;
  if (search_.is_known_full(job, 1)) return PlacementOutcome::lacks_machines;
  const bool starved = JobQueue::is_starved(job, round.now);
  const uint32_t limit = start_limit(job, round, starved);
  const uint32_t started = start_tasks(job, round, locality, limit);
  // In a full fleet slots come free a few at a time: its turn lasts until its share has begun.
  JobPlacement& placement = job.placement;
  if (started > 0 && (!starved || placement.starvation_allowance == 0 || job.waiting.empty())) {
    placement.last_start = round.now;
    placement.starvation_allowance = 0;
  }
  if (job.waiting.empty()) return PlacementOutcome::placed;
  if (round.budget <= 0 || started == limit || !has_quota(job)) return PlacementOutcome::held_back;
  return PlacementOutcome::lacks_machines;
}

// Returns how many tasks were started; their attempts share one number.
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
