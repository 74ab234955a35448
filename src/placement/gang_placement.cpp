#include "placement/gang_placement.h"

#include <algorithm>
#include <map>
#include <utility>

#include "placement/job_queue.h"

namespace rookdyke {

namespace {

// A gang has free capacity reserved once it has waited this long; one that is promised a prompt
// start much sooner.
constexpr double kReserveAfterS = 20;
constexpr double kReserveAfterPromisedS = 0.5;
// A gang larger than this share of the machines has none reserved, unless it is starved.
constexpr double kMaxReservingShare = 0.15;

bool may_reserve_capacity(const Job& job, const PlacementRound& round) {
  if (JobQueue::is_starved(job, round.now)) return true;
  const double waited = round.now - JobQueue::waiting_since(job);
  if (waited < (job.has_start_promise ? kReserveAfterPromisedS : kReserveAfterS)) return false;
  return job.tasks() * job.share <= kMaxReservingShare * static_cast<double>(round.ready_machines);
}

// Whether the gang has one attempt that gathers. Otherwise an old attempt has not left entirely, or
// nothing is to be replaced.
bool may_replace_tasks(const Job& job) {
  const uint64_t number = job.attempts.begin()->second.number;
  for (const auto& [task, attempt] : job.attempts)
    if (attempt.state == AttemptState::ended || attempt.number != number) return false;
  return TaskLifecycle::is_gang_starting(job);
}

}  // namespace

PlacementOutcome GangPlacement::place(Job& job, PlacementRound& round, ImageLocality locality) {
  if (!job.attempts.empty()) return replace_missing_tasks(job, round);
  const uint32_t tasks = job.tasks();
  if (!team_usage_.within_limit(job.team, job.spec.per_task, tasks))
    return PlacementOutcome::held_back;
  if (search_.is_known_full(job, tasks)) return PlacementOutcome::lacks_machines;
  const PlacementCandidates found = search_.find(job, round.now, locality);
  const Selection selection = select_machines(job, found.machines);
  if (selection.machines.empty()) {
    reserve_capacity(job, found.machines, round);
    if (!found.job_specific && locality != ImageLocality::required) search_.record_full(job, tasks);
    return PlacementOutcome::lacks_machines;
  }
  start(job, selection.machines, round);
  return PlacementOutcome::placed;
}

// Replacements join the attempt under its number (invariant 4's exception).
PlacementOutcome GangPlacement::replace_missing_tasks(Job& job, PlacementRound& round) {
  if (!may_replace_tasks(job)) return PlacementOutcome::held_back;
  const auto has_quota = [&] { return team_usage_.within_limit(job.team, job.spec.per_task, 1); };
  const bool starved = JobQueue::is_starved(job, round.now);
  const uint64_t number = job.attempts.begin()->second.number;
  const PlacementCandidates found = search_.find(job, round.now, ImageLocality::preferred);
  for (const PlacementCandidate& candidate : found.machines) {
    Machine& machine = machines_[candidate.machine];
    for (uint32_t k = 0; k < candidate.slots && !job.waiting.empty() && has_quota(); ++k) {
      if (!eligibility_.zone_allows(job, machine.zone, 1)) break;
      lifecycle_.propose(job, *job.waiting.begin(), number, machine, starved, round.now);
      --round.budget;
    }
  }
  if (job.waiting.empty()) return PlacementOutcome::placed;
  return has_quota() ? PlacementOutcome::lacks_machines : PlacementOutcome::held_back;
}

// The best machines, in the zone whose worst one is best if it has to be a single zone.
GangPlacement::Selection GangPlacement::select_machines(const Job& job,
                                                        const Candidates& candidates) const {
  if (!job.spec.single_zone) return select_in_zone(job, candidates, kNone);
  Selection best;
  for (Index zone = 0; zone < catalog_.zones.size(); ++zone) {
    Selection selection = select_in_zone(job, candidates, zone);
    if (selection.machines.empty()) continue;
    if (best.machines.empty() || selection.worst_score < best.worst_score)
      best = std::move(selection);
  }
  return best;
}

// `zone` kNone: in all zones.
GangPlacement::Selection GangPlacement::select_in_zone(const Job& job, const Candidates& candidates,
                                                       Index zone) const {
  const uint32_t tasks = job.tasks();
  Selection selection;
  std::map<Index, uint32_t> selected_by_zone;
  for (const PlacementCandidate& candidate : candidates) {
    const Index machine_zone = machines_[candidate.machine].zone;
    if (zone != kNone && machine_zone != zone) continue;
    for (uint32_t k = 0; k < candidate.slots && selection.machines.size() < tasks; ++k) {
      if (job.spec.spread_zones && selected_by_zone[machine_zone] >= (tasks + 1) / 2) break;
      ++selected_by_zone[machine_zone];
      selection.machines.push_back(candidate.machine);
      selection.worst_score = candidate.score;
    }
    if (selection.machines.size() == tasks) return selection;
  }
  return {};
}

void GangPlacement::start(Job& job, const std::vector<Index>& machines, PlacementRound& round) {
  const uint64_t number = job.highest_attempt + 1;
  const bool starved = JobQueue::is_starved(job, round.now);
  const std::vector<uint32_t> tasks(job.waiting.begin(), job.waiting.end());
  for (size_t i = 0; i < tasks.size(); ++i)
    lifecycle_.propose(job, tasks[i], number, machines_[machines[i]], starved, round.now);
  round.budget -= static_cast<int>(tasks.size());
  job.placement.last_start = round.now;
}

// Free capacity that does not suffice for a gang yet is kept for it in this round, in the zone that
// has most of it: of the little that comes free at a time, it would never see enough at once. The
// most urgent gang comes first in every round, so it always makes progress.
void GangPlacement::reserve_capacity(const Job& job, const Candidates& candidates,
                                     const PlacementRound& round) {
  if (!may_reserve_capacity(job, round)) return;
  std::map<Index, uint32_t> slots_by_zone;  // all under 0 unless it has to be a single zone
  for (const PlacementCandidate& candidate : candidates)
    slots_by_zone[job.spec.single_zone ? machines_[candidate.machine].zone : 0] += candidate.slots;
  const auto largest =
      std::max_element(slots_by_zone.begin(), slots_by_zone.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  if (largest == slots_by_zone.end()) return;
  uint32_t left = job.tasks();
  for (const PlacementCandidate& candidate : candidates) {
    Machine& machine = machines_[candidate.machine];
    if (job.spec.single_zone && machine.zone != largest->first) continue;
    for (uint32_t k = 0; k < candidate.slots && left > 0; ++k, --left) {
      machine.used += job.spec.per_task;
      reserved_.push_back({machine.index, job.spec.per_task});
    }
  }
}

void GangPlacement::release_reserved_capacity() {
  for (const ReservedSlot& slot : reserved_) machines_[slot.machine].used -= slot.per_task;
  reserved_.clear();
}

}  // namespace rookdyke
