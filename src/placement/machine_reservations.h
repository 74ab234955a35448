#pragma once
// Reserves machines for single jobs: until a reservation expires, no other job starts or preempts
// tasks on the machine. The only class that writes Machine::reserved_for and
// Machine::reserved_until; counts the machines reserved in the current round. Called by Placement
// for jobs that have waited, and by Preemption for the job for which it frees capacity.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "model/job.h"
#include "model/machine.h"
#include "model/types.h"
#include "placement/eligibility.h"
#include "placement/placement_round.h"
#include "placement/work_counters.h"
#include "scheduler/job_table.h"
#include "scheduler/machine_table.h"

namespace rookdyke {

class MachineReservations {
 public:
  // All must outlive this object.
  MachineReservations(const JobTable& jobs, MachineTable& machines, const Eligibility& eligibility,
                      WorkCounters& work)
      : jobs_(jobs), machines_(machines), eligibility_(eligibility), work_(work) {}

  // Removes reservations that have expired or whose job has no waiting tasks.
  void start_round(double now);
  // Reserves the machines that become free first for a gang or a large task that has waited. Must
  // be called in queue order: all jobs together may reserve a limited share of the machines, but
  // the first job always gets all it needs.
  void reserve_for_waiting(Job& job, const PlacementRound& round);

  // Reserves the machine for the job until the given time.
  static void reserve(Machine& machine, const Job& job, double until);
  // Number of machines that are reserved for the job.
  uint32_t count_active(const Job& job, double now) const;

 private:
  struct MachineAvailability {
    double available_at = 0;  // time at which a task of the job is expected to fit
    Index machine = kNone;
  };

  static bool may_reserve(const Job& job, double now);
  size_t renew(const Job& job, double now);
  bool exceeds_limit(size_t more, size_t ready_machines) const;
  double estimate_available_at(const Job& job, const Machine& machine, double now) const;
  std::vector<MachineAvailability> find_available_machines(const Job& job, double now);
  Index select_zone(const Job& job, const std::vector<MachineAvailability>& machines,
                    size_t wanted) const;

  const JobTable& jobs_;
  MachineTable& machines_;
  const Eligibility& eligibility_;
  WorkCounters& work_;
  // Machines for which reserve_for_waiting() made or renewed a reservation in this round.
  size_t reserved_in_round_ = 0;
};

}  // namespace rookdyke
