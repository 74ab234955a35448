#include "placement/gang_placement.h"

#include <algorithm>
#include <map>
#include <utility>

#include "placement/job_queue.h"

namespace rookdyke {

namespace {

// Free capacity is reserved for a gang once it has waited this long; much earlier for a gang with a
// prompt start-time objective.
constexpr double kReserveAfterS = 20;
constexpr double kPromptStartReserveAfterS = 0.5;
// No capacity is reserved for a gang that needs more than this share of the ready machines, unless
// it is starved.
constexpr double kMaxReservingShare = 0.15;

bool may_reserve_capacity(const Job& job, const PlacementRound& round) {
  if (JobQueue::is_starved(job, round.now)) return true;
  const double waited = round.now - JobQueue::waiting_since(job);
  if (waited < (job.needs_prompt_start ? kPromptStartReserveAfterS : kReserveAfterS)) return false;
  return job.tasks() * job.min_machine_share <=
         kMaxReservingShare * static_cast<double>(round.ready_machines);
}

// Whether all attempts of the gang have the same number and none has gone beyond waiting for the
// others to start. Otherwise an earlier attempt has ended but is not released yet, or the gang
// already runs or is being stopped.
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
    return PlacementOutcome::limited;
  if (search_.is_known_unplaceable(job, tasks)) return PlacementOutcome::insufficient_capacity;
  const PlacementCandidates found = search_.find(job, round.now, locality);
  const Selection selection = select_machines(job, found.machines);
  if (selection.machines.empty()) {
    reserve_capacity(job, found.machines, round);
    if (!found.job_specific && locality != ImageLocality::required)
      search_.record_unplaceable(job, tasks);
    return PlacementOutcome::insufficient_capacity;
  }
  start(job, selection.machines, round);
  return PlacementOutcome::placed;
}

// Replacements get the number of the gang's other attempts, not the next unused number as all other
// starts do (the exception to invariant 4).
PlacementOutcome GangPlacement::replace_missing_tasks(Job& job, PlacementRound& round) {
  if (!may_replace_tasks(job)) return PlacementOutcome::limited;
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
  return has_quota() ? PlacementOutcome::insufficient_capacity : PlacementOutcome::limited;
}

// Selects the best machines. For a single-zone gang, selects the zone whose worst selected machine
// has the best score.
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

// Selects in all zones if `zone` is kNone.
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

// Reserves the free capacity for a gang that does not fit yet, for the rest of the round; for a
// single-zone gang, in the zone with the most free slots. Without this, smaller jobs would take
// capacity as it becomes free, and a gang would never find enough at once. The most urgent gang
// comes first in every round, so it always makes progress.
void GangPlacement::reserve_capacity(const Job& job, const Candidates& candidates,
                                     const PlacementRound& round) {
  if (!may_reserve_capacity(job, round)) return;
  std::map<Index, uint32_t> slots_by_zone;  // one entry, key 0, unless the gang is single-zone
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
      reserved_slots_.push_back({machine.index, job.spec.per_task});
    }
  }
}

void GangPlacement::release_reserved_capacity() {
  for (const ReservedSlot& slot : reserved_slots_) machines_[slot.machine].used -= slot.per_task;
  reserved_slots_.clear();
}

}  // namespace rookdyke
