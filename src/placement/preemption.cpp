#include "placement/preemption.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace rookdyke {

namespace {

// How long room made by preemption is reserved for the job it was made for.
constexpr double kReservationS = 12;
// What a second of image fetch weighs against what is lost by stopping others: a checkpoint and a
// fetch one after the other break most promises of a prompt start.
constexpr double kFetchCost = 4;
// In seconds of lost work: a replica is preempted only where nothing else would do.
constexpr double kReplicaCostS = 1e4;
// In seconds of lost work, besides the checkpoint, or besides all that ran if there is none.
constexpr double kCheckpointedCostS = 1;
constexpr double kUncheckpointedCostS = 5;
// Of an array or a service, for so many tasks at once.
constexpr size_t kMaxTasksAtOnce = 8;
// Absorbs rounding.
constexpr double kSlack = 1e-9;

// Whether there is too little room for a task of the job of something that the victim holds.
bool lacks_what_victim_holds(const Job& job, const Resources& room, const Job& victim) {
  const Resources& wanted = job.spec.per_task;
  const Resources& held = victim.spec.per_task;
  return (held.cpus > 0 && wanted.cpus > room.cpus) || (held.gpus > 0 && wanted.gpus > room.gpus) ||
         (held.memory_gb > 0 && wanted.memory_gb > room.memory_gb);
}

// In seconds of work that is lost if the attempt is stopped now.
double preemption_cost(const Job& job, const Attempt& attempt, double now) {
  if (job.is_service()) return kReplicaCostS;
  if (attempt.state != AttemptState::running) return 0;
  if (job.spec.checkpoint_interval_s > 0)
    return kCheckpointedCostS + job.spec.checkpoint_duration_s;
  return kUncheckpointedCostS + now - attempt.running_since;
}

double grace_s(const Job& job) {
  return job.spec.checkpoint_interval_s > 0
             ? job.spec.checkpoint_duration_s + kCheckpointGraceMarginS
             : 0;
}

// How many tasks room is to be made for at once.
uint32_t tasks_wanted(const Job& job) {
  const size_t waiting = job.waiting.size();
  return static_cast<uint32_t>(job.is_gang() ? waiting : std::min(waiting, kMaxTasksAtOnce));
}

}  // namespace

bool Preemption::may_preempt(const Job& job, const Job& victim) const {
  if (victim.spec.priority < job.spec.priority) return true;
  if (victim.team == job.team || !job.placement.guaranteed) return false;
  return team_usage_.exceeds_guarantee(victim.team);
}

// The tasks on the machine that may be preempted, cheapest first. What is leaving anyway is added
// to the room.
void Preemption::collect_victims(const Job& job, const Machine& machine, double now,
                                 Resources& room, std::vector<Victim>& victims) const {
  victims.clear();
  for (const auto& [j, task] : machine.tasks) {
    const Job& other = jobs_[j];
    const Attempt& attempt = other.attempts.at(task);
    if (attempt.stop) {
      room += other.spec.per_task;
      continue;
    }
    if (attempt.state == AttemptState::proposed || attempt.shielded || other.is_gang() ||
        !may_preempt(job, other))
      continue;
    if (other.is_service() && !lacks_what_victim_holds(job, room, other)) continue;
    victims.push_back({preemption_cost(other, attempt, now), j, task});
  }
  std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
    return std::tie(a.cost, a.job, a.task) < std::tie(b.cost, b.job, b.task);
  });
}

// Empty: room for one task cannot be made there. `scratch` is reused from machine to machine.
std::optional<Preemption::Candidate> Preemption::candidate_on(const Job& job,
                                                              const Machine& machine, double now,
                                                              std::vector<Victim>& scratch) const {
  Resources room = eligibility_.free_resources(machine);
  collect_victims(job, machine, now, room, scratch);
  Candidate candidate{0, machine.index, {}};
  for (const Victim& victim : scratch) {
    if (job.spec.per_task.fits_in(room)) break;
    room += jobs_[victim.job].spec.per_task;
    candidate.cost += victim.cost;
    candidate.victims.push_back(victim);
  }
  if (!job.spec.per_task.fits_in(room)) return std::nullopt;
  if (!machine.images.count(job.image))
    candidate.cost += kFetchCost * catalog_.types[machine.type].fetch_time_s(job.spec.image_gb);
  return candidate;
}

// Where room for one task of the job could be made, where the least work is lost by it first.
std::vector<Preemption::Candidate> Preemption::find_candidates(const Job& job, double now) {
  std::vector<Candidate> found;
  std::vector<Victim> scratch;
  for (const auto& machine : machines_) {
    if (machine->state != MachineState::ready || !eligibility_.takes_work(*machine, now) ||
        !eligibility_.may_run(job, *machine, now))
      continue;
    if (machine->reserved_for != kNone || !eligibility_.zone_allows(job, machine->zone, 1))
      continue;
    ++work_.machines_looked_at;
    if (auto candidate = candidate_on(job, *machine, now, scratch))
      found.push_back(std::move(*candidate));
  }
  std::sort(found.begin(), found.end(), [](const Candidate& a, const Candidate& b) {
    return std::tie(a.cost, a.machine) < std::tie(b.cost, b.machine);
  });
  return found;
}

bool Preemption::is_known_unpreemptable(const Job& job, uint32_t count) const {
  return std::any_of(
      unpreemptable_.begin(), unpreemptable_.end(), [&](const UnpreemptableRequest& r) {
        return r.priority == job.spec.priority && !job.placement.guaranteed && r.zone == job.zone &&
               r.spot == job.spec.spot && r.single_zone == job.spec.single_zone &&
               r.types == job.types && count >= r.count && r.share <= job.share + kSlack;
      });
}

// Keeps the candidates of the first zone that has enough, by cost; none if no zone has.
void Preemption::keep_single_zone(std::vector<Candidate>& candidates, uint32_t count) const {
  std::map<Index, uint32_t> count_by_zone;
  Index zone = kNone;
  for (const Candidate& candidate : candidates) {
    const Index candidate_zone = machines_[candidate.machine].zone;
    if (++count_by_zone[candidate_zone] < count) continue;
    zone = candidate_zone;
    break;
  }
  std::erase_if(candidates, [&](const Candidate& candidate) {
    return machines_[candidate.machine].zone != zone;
  });
}

void Preemption::preempt(const Job& job, const Candidate& candidate, double now) {
  Machine& machine = machines_[candidate.machine];
  MachineReservations::reserve(machine, job, now + kReservationS);
  for (const Victim& victim : candidate.victims) {
    Job& victim_job = jobs_[victim.job];
    lifecycle_.stop(victim_job, victim_job.attempts.at(victim.task), grace_s(victim_job));
  }
  if (!candidate.victims.empty())
    spdlog::info("job {}: {} tasks on {} stopped to make room", job.spec.id,
                 candidate.victims.size(), machine.name);
}

void Preemption::make_room(const Job& job, double now, ImageLocality locality) {
  const bool must_be_local = locality == ImageLocality::required;
  const uint32_t pending = reservations_.count_active(job, now);
  const uint32_t wanted = tasks_wanted(job);
  if (pending >= wanted || !team_usage_.within_limit(job.team, job.spec.per_task, 1)) return;
  const uint32_t count = wanted - pending;
  if (is_known_unpreemptable(job, count)) return;
  std::vector<Candidate> candidates = find_candidates(job, now);
  if (must_be_local)
    std::erase_if(candidates, [&](const Candidate& candidate) {
      return !search_.has_image(job, machines_[candidate.machine]);
    });
  if (job.spec.single_zone && job.is_gang() && job.attempts.empty())
    keep_single_zone(candidates, count);
  if (candidates.empty() || (job.is_gang() && candidates.size() < count)) {
    if (!must_be_local)
      unpreemptable_.push_back({job.spec.priority, job.zone, job.types, job.spec.spot,
                                job.spec.single_zone, job.is_gang() ? count : 1, job.share});
    return;
  }
  for (size_t k = 0; k < std::min<size_t>(count, candidates.size()); ++k)
    preempt(job, candidates[k], now);
}

}  // namespace rookdyke
