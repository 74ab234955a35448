#include "placement/service_placement.h"

#include "placement/job_queue.h"
#include "workers/fault_detector.h"

namespace rookdyke {

namespace {

// In seconds of image fetch: how much rather a replica takes a machine, or a zone, that holds one
// fewer of its service. More than half a usual fetch, so that few share a machine without need;
// less than a whole one, so that two of them rather share one that has the image.
constexpr double kMachineSpreadPenaltyS = 1.2;
constexpr double kZoneSpreadPenaltyS = 0.2;
// In seconds of image fetch: how much rather a replica takes a machine that the cloud does not
// reclaim.
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

// Null: no candidate has room left in a zone where a replica may go.
PlacementCandidate* ServicePlacement::best_candidate(const Job& job, Candidates& candidates,
                                                     const ReplicaSpread& spread) const {
  PlacementCandidate* best = nullptr;
  double best_score = 0;
  for (PlacementCandidate& candidate : candidates) {
    if (best && candidate.score >= best_score) break;  // ordered by score, and nothing lowers it
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
  // Its own limit, not the machines, holds it back.
  if (!has_quota(job)) return PlacementOutcome::held_back;
  if (search_.is_known_full(job, 1)) return PlacementOutcome::lacks_machines;
  ReplicaSpread spread = spread_of(job);
  // One that fails wherever it is started is tried with one replica at a time.
  uint32_t limit = UINT32_MAX;
  if (FaultDetector::is_faulty(job)) limit = spread.any_starting ? 0 : 1;
  PlacementCandidates found = search_.find(job, round.now, ImageLocality::preferred);
  while (!job.waiting.empty() && round.budget > 0 && limit > 0 && has_quota(job)) {
    PlacementCandidate* best = best_candidate(job, found.machines, spread);
    if (!best) return PlacementOutcome::lacks_machines;
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
  return job.waiting.empty() ? PlacementOutcome::placed : PlacementOutcome::held_back;
}

}  // namespace rookdyke
