#include "placement/service_placement.h"

#include "placement/job_queue.h"
#include "workers/fault_detector.h"

namespace rookdyke {

namespace {

// Scores are expected seconds of image fetch, plus penalties that are weighed against them.

// Penalty per replica of the same service on the machine, and in the zone. The machine penalty is
// more than half of a usual fetch, so that replicas seldom share a machine needlessly, and less
// than a whole fetch, so that two replicas share a machine that has the image rather than fetch it
// again.
constexpr double kMachineSpreadPenaltyS = 1.2;
constexpr double kZoneSpreadPenaltyS = 0.2;
// Penalty of spot machines, which the cloud may reclaim.
constexpr double kSpotPenaltyS = 20;

}  // namespace

bool ServicePlacement::has_quota(const Job& job) const {
  return team_usage_.within_limit(job.team, job.spec.per_task, 1);
}

ServicePlacement::ReplicaSpread ServicePlacement::spread_of(const Job& job) const {
  ReplicaSpread spread;
  for (const auto& [task, attempt] : job.attempts) {
    if (attempt.state == AttemptState::ended) continue;
    ++spread.by_machine[attempt.machine];
    ++spread.by_zone[machines_[attempt.machine].zone];
    spread.any_starting = spread.any_starting || attempt.state < AttemptState::running;
  }
  return spread;
}

double ServicePlacement::score(const Job& job, const PlacementCandidate& candidate,
                               const ReplicaSpread& spread) const {
  const Machine& machine = machines_[candidate.machine];
  double score = candidate.score;
  if (machine.spot) score += kSpotPenaltyS;
  if (auto n = spread.by_machine.find(machine.index); n != spread.by_machine.end())
    score += kMachineSpreadPenaltyS * n->second;
  if (auto n = spread.by_zone.find(machine.zone);
      n != spread.by_zone.end() && !job.spec.single_zone)
    score += kZoneSpreadPenaltyS * n->second;
  return score;
}

// Returns null if no candidate has a free slot in a zone where a replica may be placed.
PlacementCandidate* ServicePlacement::best_candidate(const Job& job, Candidates& candidates,
                                                     const ReplicaSpread& spread) const {
  PlacementCandidate* best = nullptr;
  double best_score = 0;
  for (PlacementCandidate& candidate : candidates) {
    if (best && candidate.score >= best_score) break;  // sorted, and penalties only raise scores
    if (candidate.slots == 0 ||
        !eligibility_.zone_allows(job, machines_[candidate.machine].zone, 1))
      continue;
    const double candidate_score = score(job, candidate, spread);
    if (best && candidate_score >= best_score) continue;
    best = &candidate;
    best_score = candidate_score;
  }
  return best;
}

PlacementOutcome ServicePlacement::place(Job& job, PlacementRound& round) {
  // The team's limit, not a lack of machines, prevents a start, so nothing is preempted.
  if (!has_quota(job)) return PlacementOutcome::limited;
  if (search_.is_known_unplaceable(job, 1)) return PlacementOutcome::insufficient_capacity;
  ReplicaSpread spread = spread_of(job);
  // A faulty service (see FaultDetector) is retried with one replica at a time.
  uint32_t limit = UINT32_MAX;
  if (FaultDetector::is_faulty(job)) limit = spread.any_starting ? 0 : 1;
  PlacementCandidates found = search_.find(job, round.now, ImageLocality::preferred);
  while (!job.waiting.empty() && round.budget > 0 && limit > 0 && has_quota(job)) {
    PlacementCandidate* best = best_candidate(job, found.machines, spread);
    if (!best) return PlacementOutcome::insufficient_capacity;
    Machine& machine = machines_[best->machine];
    lifecycle_.propose(job, *job.waiting.begin(), job.highest_attempt + 1, machine,
                       JobQueue::is_starved(job, round.now), round.now);
    --best->slots;
    --round.budget;
    --limit;
    ++spread.by_machine[machine.index];
    ++spread.by_zone[machine.zone];
    job.placement.last_start = round.now;
  }
  return job.waiting.empty() ? PlacementOutcome::placed : PlacementOutcome::limited;
}

}  // namespace rookdyke
