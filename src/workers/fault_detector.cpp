#include "workers/fault_detector.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace rookdyke {

namespace {

// A machine is cordoned after errors of this many distinct jobs without a success between them.
constexpr size_t kFaultyMachineAfterJobs = 2;
// After an error a machine takes no new work for this long, unless a task succeeds on it.
constexpr double kSuspectDurationS = 20;
// A job avoids a machine for this long after it failed there, doubled with each retry that fails.
// The longest is shorter than the 90 s for which a job may wait beside a machine with room.
constexpr double kAvoidanceS = 30;
constexpr double kMaxAvoidanceS = 60;
// A job is considered faulty once it has failed on this many machines, or more than twice as many
// times.
constexpr size_t kFaultyJobAfterMachines = 3;
constexpr double kErrorBackOffS = 0.5;
// Initial back-off of a faulty job, doubled with each error.
constexpr double kFaultyJobBackOffS = 2;
constexpr double kMaxBackOffS = 60;
constexpr uint32_t kMaxBackOffDoublings = 6;

}  // namespace

bool FaultDetector::is_faulty(const Job& job) {
  return job.failed_machines.size() >= kFaultyJobAfterMachines ||
         job.errors > 2 * kFaultyJobAfterMachines;
}

// Extends the job's back-off, and no longer counts its failures against the machines on which it
// failed.
void FaultDetector::record_faulty_job(Job& job, double now) {
  const double wait = std::min(
      kMaxBackOffS, kFaultyJobBackOffS * std::exp2(std::min(job.errors, kMaxBackOffDoublings)));
  job.back_off_until = std::max(job.back_off_until, now + wait);
  for (const auto& [index, failures] : job.failed_machines) {
    Machine& machine = machines_[index];
    if (machine.failed_jobs.erase(job.id) > 0 && machine.failed_jobs.empty())
      machine.suspect_until = 0;
  }
}

// Tasks that fail together count as one failure.
void FaultDetector::avoid(const Machine& machine, Job& job, double now) {
  MachineFailures& failures = job.failed_machines[machine.index];
  if (now < failures.avoided_until) return;
  const double wait = std::min(kMaxAvoidanceS, kAvoidanceS * std::exp2(failures.count));
  ++failures.count;
  failures.avoided_until = now + wait;
}

void FaultDetector::record_error(Machine& machine, Job& job, double now) {
  avoid(machine, job, now);
  ++job.errors;
  if (is_faulty(job)) return record_faulty_job(job, now);
  job.back_off_until = std::max(job.back_off_until, now + kErrorBackOffS);
  machine.failed_jobs.insert(job.id);
  machine.suspect_until = now + kSuspectDurationS;
  if (machine.failed_jobs.size() >= kFaultyMachineAfterJobs && !machine.cordoned) {
    spdlog::warn("machine {} failed tasks of {} jobs in a row: cordoned", machine.name,
                 machine.failed_jobs.size());
    machine.cordoned = true;
    MachineTable::drain(machine, now, "faulty");
  }
}

void FaultDetector::record_success(Machine& machine) {
  machine.failed_jobs.clear();
  machine.suspect_until = 0;
}

void FaultDetector::record_success(Machine& machine, Job& job) {
  job.failed_machines.clear();
  job.errors = 0;
  record_success(machine);
}

}  // namespace rookdyke
