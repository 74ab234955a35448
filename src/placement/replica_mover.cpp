#include "placement/replica_mover.h"

#include <algorithm>
#include <cstdint>

namespace rookdyke {

namespace {

// Share of a service's replicas that may be missing while replicas are moved; one may always be
// missing.
constexpr double kMaxMissingShare = 0.25;
// As a multiple of the heartbeat interval: a shorter notice leaves no time to move replicas one
// after the other.
constexpr double kShortNoticeIntervals = 1.5;

}  // namespace

bool ReplicaMover::holds_replicas(const Machine& machine) const {
  return std::any_of(machine.tasks.begin(), machine.tasks.end(),
                     [this](const auto& task) { return jobs_[task.first].is_service(); });
}

bool ReplicaMover::holds_only_replicas(const Machine& machine) const {
  return !machine.tasks.empty() &&
         std::all_of(machine.tasks.begin(), machine.tasks.end(),
                     [this](const auto& task) { return jobs_[task.first].is_service(); });
}

uint32_t ReplicaMover::missing_replicas(const Job& job) const {
  auto missing = static_cast<uint32_t>(job.waiting.size());
  for (const auto& [task, attempt] : job.attempts)
    missing += attempt.stop_requested || attempt.state == AttemptState::ended ||
               attempt.state < AttemptState::running;
  return missing;
}

bool ReplicaMover::may_move_replica(const Job& job) const {
  const double max_missing = std::max(1.0, kMaxMissingShare * job.tasks());
  return missing_replicas(job) + 1 <= static_cast<uint32_t>(max_missing);
}

// Whether a replica of the service could start at once on another machine.
bool ReplicaMover::has_alternative_machine(const Job& job, const Machine& from, double now) const {
  return std::any_of(machines_.begin(), machines_.end(), [&](const auto& machine) {
    if (machine->index == from.index || machine->state != MachineState::ready ||
        !eligibility_.accepts_tasks(*machine, now))
      return false;
    return eligibility_.may_run(job, *machine, now) &&
           job.spec.per_task.fits_in(eligibility_.free_resources(*machine)) &&
           eligibility_.zone_allows(job, machine->zone, machine->zone == from.zone ? 0 : 1);
  });
}

void ReplicaMover::move_replicas(const Machine& machine, double now) {
  for (const auto& [j, task] : machine.tasks) {
    Job& job = jobs_[j];
    Attempt& attempt = job.attempts.at(task);
    if (!job.is_service() || attempt.stop_requested || attempt.state == AttemptState::proposed)
      continue;
    if (!may_move_replica(job) || !has_alternative_machine(job, machine, now)) continue;
    lifecycle_.stop(job, attempt, 0);
  }
}

void ReplicaMover::on_reclaim_notice(Job& job, Attempt& attempt, double notice_s) {
  const bool short_notice = notice_s < kShortNoticeIntervals * settings_.heartbeat_interval_s;
  if (short_notice || may_move_replica(job)) lifecycle_.stop(job, attempt, 0);
}

}  // namespace rookdyke
