#include "placement/eligibility.h"

namespace rookdyke {

namespace {
// As a multiple of the heartbeat interval. A machine whose last heartbeat is older may no longer
// exist.
constexpr double kMaxHeartbeatAgeIntervals = 1.7;
// A job that failed on this many machines may be retried on any of them.
constexpr size_t kMaxAvoidedMachines = 3;
}  // namespace

bool Eligibility::accepts_tasks(const Machine& machine, double now) const {
  if (!machine.is_usable() || machine.type == kNone || now < machine.suspect_until) return false;
  return now - machine.last_heartbeat <= kMaxHeartbeatAgeIntervals * settings_.heartbeat_interval_s;
}

bool Eligibility::may_run(const Job& job, const Machine& machine, double now) const {
  if (!job.types.empty() && !job.types[machine.type]) return false;
  if (machine.spot && !job.spec.spot) return false;
  if (job.zone != kNone && machine.zone != job.zone) return false;
  if (machine.reserved_for != kNone && machine.reserved_for != job.id &&
      now < machine.reserved_until)
    return false;
  const auto failures = job.failed_machines.find(machine.index);
  return failures == job.failed_machines.end() || now >= failures->second.avoided_until ||
         job.failed_machines.size() >= kMaxAvoidedMachines;
}

bool Eligibility::zone_allows(const Job& job, Index zone, uint32_t more) const {
  if (job.zone != kNone && zone != job.zone) return false;
  if (!job.spec.single_zone && !job.spec.spread_zones) return true;
  if (zone == kNone) return false;
  if (job.unreadable_tasks > 0 && (job.spec.single_zone || job.is_gang())) return false;
  uint32_t here = job.unreadable_tasks;
  for (const auto& [task, attempt] : job.attempts) {
    if (attempt.state == AttemptState::ended) continue;
    const Index other_zone = machines_[attempt.machine].zone;
    if (other_zone == zone || other_zone == kNone) ++here;
    if (other_zone != zone && job.spec.single_zone) return false;
  }
  return !job.spec.spread_zones || here + more <= (job.tasks() + 1) / 2;
}

Resources Eligibility::free_resources(const Machine& machine) const {
  Resources available = catalog_.types[machine.type].size;
  available -= machine.used;
  return available;
}

}  // namespace rookdyke
