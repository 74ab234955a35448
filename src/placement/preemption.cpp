#include "placement/preemption.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace rookdyke {

namespace {

// How long a machine stays reserved for the job that needs the capacity freed on it.
constexpr double kReservationS = 12;
// Cost of one second of image fetch, in seconds of lost work. It is high because a victim's
// checkpoint followed by an image fetch misses most prompt start-time objectives.
constexpr double kFetchCost = 4;
// Cost of preempting a replica, in seconds of lost work: so high that it is done only as a last
// resort.
constexpr double kReplicaCostS = 1e4;
// Fixed costs of preempting a running task, in seconds of lost work: in addition to the duration of
// its checkpoint, or, for a task without checkpoints, to the time that it has run.
constexpr double kCheckpointedCostS = 1;
constexpr double kUncheckpointedCostS = 5;
// Number of tasks of an array or a service for which capacity is freed at a time.
constexpr size_t kMaxTasksPerPreemption = 8;
// Absorbs the rounding of sums of decimal amounts.
constexpr double kRoundingSlack = 1e-9;

// Whether the victim holds a resource of which too little is available for a task of the job.
bool holds_scarce_resource(const Job& job, const Resources& available, const Job& victim) {
  const Resources& wanted = job.spec.per_task;
  const Resources& held = victim.spec.per_task;
  return (held.cpus > 0 && wanted.cpus > available.cpus) ||
         (held.gpus > 0 && wanted.gpus > available.gpus) ||
         (held.memory_gb > 0 && wanted.memory_gb > available.memory_gb);
}

// Cost of stopping the attempt now, in seconds of lost work; 0 unless it is running.
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

// Number of tasks for which capacity is freed at a time.
uint32_t target_task_count(const Job& job) {
  const size_t waiting = job.waiting.size();
  return static_cast<uint32_t>(job.is_gang() ? waiting : std::min(waiting, kMaxTasksPerPreemption));
}

}  // namespace

bool Preemption::may_preempt(const Job& job, const Job& victim) const {
  if (victim.spec.priority < job.spec.priority) return true;
  if (victim.team == job.team || !job.placement.guaranteed) return false;
  return team_usage_.exceeds_guarantee(victim.team);
}

// Collects the tasks on the machine that may be preempted, cheapest first. Adds the resources of
// attempts that are already being stopped to `available`.
void Preemption::collect_victims(const Job& job, const Machine& machine, double now,
                                 Resources& available, std::vector<Victim>& victims) const {
  victims.clear();
  for (const auto& [j, task] : machine.tasks) {
    const Job& other = jobs_[j];
    const Attempt& attempt = other.attempts.at(task);
    if (attempt.stop_requested) {
      available += other.spec.per_task;
      continue;
    }
    if (attempt.state == AttemptState::proposed || attempt.preemption_exempt || other.is_gang() ||
        !may_preempt(job, other))
      continue;
    if (other.is_service() && !holds_scarce_resource(job, available, other)) continue;
    victims.push_back({preemption_cost(other, attempt, now), j, task});
  }
  std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
    return std::tie(a.cost, a.job, a.task) < std::tie(b.cost, b.job, b.task);
  });
}

// Returns nullopt if capacity for one task cannot be freed on the machine. `scratch` is a buffer
// that is reused between machines to avoid allocations.
std::optional<Preemption::Candidate> Preemption::candidate_on(const Job& job,
                                                              const Machine& machine, double now,
                                                              std::vector<Victim>& scratch) const {
  Resources available = eligibility_.free_resources(machine);
  collect_victims(job, machine, now, available, scratch);
  Candidate candidate{0, machine.index, {}};
  for (const Victim& victim : scratch) {
    if (job.spec.per_task.fits_in(available)) break;
    available += jobs_[victim.job].spec.per_task;
    candidate.cost += victim.cost;
    candidate.victims.push_back(victim);
  }
  if (!job.spec.per_task.fits_in(available)) return std::nullopt;
  if (!machine.images.count(job.image))
    candidate.cost += kFetchCost * catalog_.types[machine.type].fetch_time_s(job.spec.image_gb);
  return candidate;
}

// Machines on which capacity for one task of the job can be freed, by the cost of doing so.
std::vector<Preemption::Candidate> Preemption::find_candidates(const Job& job, double now) {
  std::vector<Candidate> found;
  std::vector<Victim> scratch;
  for (const auto& machine : machines_) {
    if (machine->state != MachineState::ready || !eligibility_.accepts_tasks(*machine, now) ||
        !eligibility_.may_run(job, *machine, now))
      continue;
    if (machine->reserved_for != kNone || !eligibility_.zone_allows(job, machine->zone, 1))
      continue;
    ++work_.machines_examined;
    if (auto candidate = candidate_on(job, *machine, now, scratch))
      found.push_back(std::move(*candidate));
  }
  std::sort(found.begin(), found.end(), [](const Candidate& a, const Candidate& b) {
    return std::tie(a.cost, a.machine) < std::tie(b.cost, b.machine);
  });
  return found;
}

bool Preemption::is_known_unpreemptable(const Job& job, uint32_t count) const {
  return std::any_of(unpreemptable_.begin(), unpreemptable_.end(),
                     [&](const UnpreemptableRequest& r) {
                       return r.priority == job.spec.priority && !job.placement.guaranteed &&
                              r.zone == job.zone && r.spot == job.spec.spot &&
                              r.single_zone == job.spec.single_zone && r.types == job.types &&
                              count >= r.count && r.share <= job.min_machine_share + kRoundingSlack;
                     });
}

// Keeps only the candidates of the first zone that reaches `count` candidates in order of cost;
// none if no zone does.
void Preemption::restrict_to_single_zone(std::vector<Candidate>& candidates, uint32_t count) const {
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
    spdlog::info("job {}: preempting {} tasks on machine {} to free capacity", job.spec.id,
                 candidate.victims.size(), machine.name);
}

void Preemption::free_capacity_for(const Job& job, double now, ImageLocality locality) {
  const bool requires_image = locality == ImageLocality::required;
  const uint32_t reserved = reservations_.count_active(job, now);
  const uint32_t wanted = target_task_count(job);
  if (reserved >= wanted || !team_usage_.within_limit(job.team, job.spec.per_task, 1)) return;
  const uint32_t count = wanted - reserved;
  if (is_known_unpreemptable(job, count)) return;
  std::vector<Candidate> candidates = find_candidates(job, now);
  if (requires_image)
    std::erase_if(candidates, [&](const Candidate& candidate) {
      return !search_.has_image(job, machines_[candidate.machine]);
    });
  if (job.spec.single_zone && job.is_gang() && job.attempts.empty())
    restrict_to_single_zone(candidates, count);
  if (candidates.empty() || (job.is_gang() && candidates.size() < count)) {
    if (!requires_image)
      unpreemptable_.push_back({job.spec.priority, job.zone, job.types, job.spec.spot,
                                job.spec.single_zone, job.is_gang() ? count : 1,
                                job.min_machine_share});
    return;
  }
  for (size_t k = 0; k < std::min<size_t>(count, candidates.size()); ++k)
    preempt(job, candidates[k], now);
}

}  // namespace rookdyke
