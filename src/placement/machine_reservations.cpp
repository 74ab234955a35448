#include "placement/machine_reservations.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <tuple>

#include "placement/job_queue.h"

namespace rookdyke {

namespace {

// Machines are reserved for a gang, or for a task that needs at least this share of a machine, once
// it has waited this long. Otherwise smaller tasks would take the capacity as it becomes free.
constexpr double kReserveAfterS = 20;
constexpr double kMinReservingShare = 0.3;
constexpr double kReservationS = 3;  // renewed in every round that may preempt, while the job waits
// Limit of the reservations for all jobs together: a share of the ready machines, but at least
// kMinReservedLimit.
constexpr double kMaxReservedShare = 0.1;
constexpr size_t kMinReservedLimit = 2;
// Shortest interval between two searches for machines to reserve for the same job.
constexpr double kReserveRetryS = 1;
// Minimum of the remaining time that a task is expected to run, also beyond its expected run time.
constexpr double kMinRemainingRunS = 3;
constexpr double kNever = 1e18;

struct ExpectedEnd {
  double time = 0;
  const Job* job = nullptr;
};

}  // namespace

void MachineReservations::reserve(Machine& machine, const Job& job, double until) {
  machine.reserved_for = job.id;
  machine.reserved_until = until;
}

uint32_t MachineReservations::count_active(const Job& job, double now) const {
  uint32_t count = 0;
  for (const auto& machine : machines_)
    if (machine->reserved_for == job.id && now < machine->reserved_until) ++count;
  return count;
}

void MachineReservations::start_round(double now) {
  reserved_in_round_ = 0;
  for (const auto& machine : machines_) {
    if (machine->reserved_for == kNone) continue;
    const Job* job = jobs_.find(machine->reserved_for);
    if (now >= machine->reserved_until || !job || job->waiting.empty())
      machine->reserved_for = kNone;
  }
}

bool MachineReservations::may_reserve(const Job& job, double now) {
  if (now - JobQueue::waiting_since(job) < kReserveAfterS) return false;
  if (job.is_gang()) return job.attempts.empty();
  return job.min_machine_share >= kMinReservingShare;
}

// Renews the job's reservations and returns their number.
size_t MachineReservations::renew(const Job& job, double now) {
  size_t count = 0;
  for (const auto& machine : machines_) {
    if (machine->reserved_for != job.id || !eligibility_.accepts_tasks(*machine, now)) continue;
    machine->reserved_until = std::max(machine->reserved_until, now + kReservationS);
    ++count;
  }
  return count;
}

bool MachineReservations::exceeds_limit(size_t more, size_t ready_machines) const {
  if (reserved_in_round_ == 0) return false;  // the first job gets all it needs
  const auto share = static_cast<size_t>(kMaxReservedShare * static_cast<double>(ready_machines));
  return reserved_in_round_ + more > std::max(kMinReservedLimit, share);
}

// Estimates from the expected run times when one task of the job will fit without preemption.
double MachineReservations::estimate_available_at(const Job& job, const Machine& machine,
                                                  double now) const {
  Resources available = eligibility_.free_resources(machine);
  if (job.spec.per_task.fits_in(available)) return now;
  std::vector<ExpectedEnd> ends;
  for (const auto& [j, task] : machine.tasks) {
    const Job& other = jobs_[j];
    const Attempt& attempt = other.attempts.at(task);
    if (other.is_service() && !attempt.stop_requested)
      continue;  // replicas do not end by themselves
    const double since = attempt.state == AttemptState::running ? attempt.running_since : now;
    const double estimate =
        std::max(since + other.spec.expected_runtime_s, now + kMinRemainingRunS);
    ends.push_back({attempt.stop_requested ? now : estimate, &other});
  }
  std::sort(ends.begin(), ends.end(), [](const ExpectedEnd& a, const ExpectedEnd& b) {
    return std::tie(a.time, a.job) < std::tie(b.time, b.job);
  });
  for (const ExpectedEnd& end : ends) {
    available += end.job->spec.per_task;
    if (job.spec.per_task.fits_in(available)) return end.time;
  }
  return kNever;
}

// Machines on which a task of the job fits now or later, by the time at which it fits.
std::vector<MachineReservations::MachineAvailability> MachineReservations::find_available_machines(
    const Job& job, double now) {
  std::vector<MachineAvailability> found;
  for (const auto& machine : machines_) {
    if (machine->state != MachineState::ready || !eligibility_.accepts_tasks(*machine, now) ||
        !eligibility_.may_run(job, *machine, now))
      continue;
    if (machine->reserved_for != kNone || !eligibility_.zone_allows(job, machine->zone, 1))
      continue;
    ++work_.machines_examined;
    if (const double time = estimate_available_at(job, *machine, now); time < kNever)
      found.push_back({time, machine->index});
  }
  std::sort(found.begin(), found.end(),
            [](const MachineAvailability& a, const MachineAvailability& b) {
              return std::tie(a.available_at, a.machine) < std::tie(b.available_at, b.machine);
            });
  return found;
}

// Selects the zone for a single-zone gang: the zone where it already has reservations, or else the
// first zone that reaches `wanted` machines. Returns kNone if no zone does.
Index MachineReservations::select_zone(const Job& job,
                                       const std::vector<MachineAvailability>& machines,
                                       size_t wanted) const {
  std::map<Index, size_t> count_by_zone;
  for (const auto& machine : machines_)
    if (machine->reserved_for == job.id) ++count_by_zone[machine->zone];
  if (!count_by_zone.empty()) return count_by_zone.begin()->first;
  for (const MachineAvailability& availability : machines) {
    const Index zone = machines_[availability.machine].zone;
    if (++count_by_zone[zone] == wanted) return zone;
  }
  return kNone;
}

void MachineReservations::reserve_for_waiting(Job& job, const PlacementRound& round) {
  const double now = round.now;
  if (!may_reserve(job, now)) return;
  const size_t wanted = job.is_gang() ? job.waiting.size() : 1;
  const size_t have = renew(job, now);
  reserved_in_round_ += have;
  if (have >= wanted || now < job.placement.next_reservation_search_at) return;
  const size_t more = wanted - have;
  if (exceeds_limit(more, round.ready_machines)) return;
  job.placement.next_reservation_search_at = now + kReserveRetryS;
  std::vector<MachineAvailability> machines = find_available_machines(job, now);
  if (job.spec.single_zone && job.is_gang()) {
    const Index zone = select_zone(job, machines, wanted);
    std::erase_if(machines, [&](const MachineAvailability& availability) {
      return machines_[availability.machine].zone != zone;
    });
  }
  if (machines.size() < more) return;
  for (size_t k = 0; k < more; ++k) {
    Machine& machine = machines_[machines[k].machine];
    reserve(machine, job, now + kReservationS);
    ++reserved_in_round_;
    spdlog::debug("machine {} is reserved for job {}", machine.name, job.spec.id);
  }
}

}  // namespace rookdyke
