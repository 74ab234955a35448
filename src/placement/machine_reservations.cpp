#include "placement/machine_reservations.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <tuple>

#include "placement/job_queue.h"

namespace rookdyke {

namespace {

// A gang, or a task that takes this share of a machine, has machines reserved once it has waited
// this long: freed bit by bit, room for it would always go to smaller work first.
constexpr double kReserveAfterS = 20;
constexpr double kMinReservingShare = 0.3;
constexpr double kReservationS = 3;  // renewed from round to round while the job waits
// Of all machines, for all jobs together; this many in any case.
constexpr double kMaxReservedShare = 0.1;
constexpr size_t kMinReservedLimit = 2;
// How long after a search for machines the next one is made for the same job.
constexpr double kReserveRetryS = 1;
// A task that outlives its estimate is expected to end this long from now.
constexpr double kOverdueEndS = 3;
constexpr double kNever = 1e18;

struct ExpectedEnd {
  double at = 0;
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
  reserved_ = 0;
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
  return job.share >= kMinReservingShare;
}

// Renews the job's reservations; returns how many it has.
size_t MachineReservations::extend(const Job& job, double now) {
  size_t count = 0;
  for (const auto& machine : machines_) {
    if (machine->reserved_for != job.id || !eligibility_.takes_work(*machine, now)) continue;
    machine->reserved_until = std::max(machine->reserved_until, now + kReservationS);
    ++count;
  }
  return count;
}

bool MachineReservations::exceeds_limit(size_t more, size_t ready_machines) const {
  if (reserved_ == 0) return false;  // the first job gets all it needs
  const auto share = static_cast<size_t>(kMaxReservedShare * static_cast<double>(ready_machines));
  return reserved_ + more > std::max(kMinReservedLimit, share);
}

// When room for one task of the job will come of itself, by the owners' estimates.
double MachineReservations::frees_at(const Job& job, const Machine& machine, double now) const {
  Resources room = eligibility_.free_resources(machine);
  if (job.spec.per_task.fits_in(room)) return now;
  std::vector<ExpectedEnd> ends;
  for (const auto& [j, task] : machine.tasks) {
    const Job& other = jobs_[j];
    const Attempt& attempt = other.attempts.at(task);
    if (other.is_service() && !attempt.stop) continue;  // it does not end of itself
    const double since = attempt.state == AttemptState::running ? attempt.running_since : now;
    const double estimate = std::max(since + other.spec.expected_runtime_s, now + kOverdueEndS);
    ends.push_back({attempt.stop ? now : estimate, &other});
  }
  std::sort(ends.begin(), ends.end(), [](const ExpectedEnd& a, const ExpectedEnd& b) {
    return std::tie(a.at, a.job) < std::tie(b.at, b.job);
  });
  for (const ExpectedEnd& end : ends) {
    room += end.job->spec.per_task;
    if (job.spec.per_task.fits_in(room)) return end.at;
  }
  return kNever;
}

// Machines that are or come free for a task of the job, soonest first.
std::vector<MachineReservations::FreeingMachine> MachineReservations::find_freeing_machines(
    const Job& job, double now) {
  std::vector<FreeingMachine> found;
  for (const auto& machine : machines_) {
    if (machine->state != MachineState::ready || !eligibility_.takes_work(*machine, now) ||
        !eligibility_.may_run(job, *machine, now))
      continue;
    if (machine->reserved_for != kNone || !eligibility_.zone_allows(job, machine->zone, 1))
      continue;
    ++work_.machines_looked_at;
    if (const double at = frees_at(job, *machine, now); at < kNever)
      found.push_back({at, machine->index});
  }
  std::sort(found.begin(), found.end(), [](const FreeingMachine& a, const FreeingMachine& b) {
    return std::tie(a.at, a.machine) < std::tie(b.at, b.machine);
  });
  return found;
}

// The zone for a gang that needs a single one: where it has reservations, or the first one that has
// as many machines as are wanted; kNone if there is none.
Index MachineReservations::zone_for(const Job& job, const std::vector<FreeingMachine>& machines,
                                    size_t wanted) const {
  std::map<Index, size_t> count_by_zone;
  for (const auto& machine : machines_)
    if (machine->reserved_for == job.id) ++count_by_zone[machine->zone];
  if (!count_by_zone.empty()) return count_by_zone.begin()->first;
  for (const FreeingMachine& freeing : machines) {
    const Index zone = machines_[freeing.machine].zone;
    if (++count_by_zone[zone] == wanted) return zone;
  }
  return kNone;
}

void MachineReservations::reserve_for_waiting(Job& job, const PlacementRound& round) {
  const double now = round.now;
  if (!may_reserve(job, now)) return;
  const size_t wanted = job.is_gang() ? job.waiting.size() : 1;
  const size_t have = extend(job, now);
  reserved_ += have;
  if (have >= wanted || now < job.placement.reserve_retry_at) return;
  const size_t more = wanted - have;
  if (exceeds_limit(more, round.ready_machines)) return;
  job.placement.reserve_retry_at = now + kReserveRetryS;
  std::vector<FreeingMachine> machines = find_freeing_machines(job, now);
  if (job.spec.single_zone && job.is_gang()) {
    const Index zone = zone_for(job, machines, wanted);
    std::erase_if(machines, [&](const FreeingMachine& freeing) {
      return machines_[freeing.machine].zone != zone;
    });
  }
  if (machines.size() < more) return;
  for (size_t k = 0; k < more; ++k) {
    Machine& machine = machines_[machines[k].machine];
    reserve(machine, job, now + kReservationS);
    ++reserved_;
    spdlog::debug("machine {} is reserved for job {}", machine.name, job.spec.id);
  }
}

}  // namespace rookdyke
