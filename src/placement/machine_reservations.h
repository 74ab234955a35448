#pragma once
// Machines reserved for a single job: nothing else is begun on them, and no room is made there for
// others, until the reservation expires. The only place that writes Machine::reserved_for and
// Machine::reserved_until; owns the count of machines reserved in this round. Called by Placement,
// for jobs that have waited, and by Preemption, for the job that it makes room for.

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

  // Drops reservations that have expired, or whose job has nothing waiting.
  void start_round(double now);
  // Reserves machines for a gang or a large task that has waited, those that come free first. Jobs
  // have to come in the queue's order: together they get a limited share of the machines, but the
  // first one always gets all it needs.
  void reserve_for_waiting(Job& job, const PlacementRound& round);

  // Reserves the machine for the job, until that moment.
  static void reserve(Machine& machine, const Job& job, double until);
  // How many machines are reserved for the job.
  uint32_t count_active(const Job& job, double now) const;

 private:
  struct FreeingMachine {
    double at = 0;  // when it has room for a task of the job
    Index machine = kNone;
  };

  static bool may_reserve(const Job& job, double now);
  size_t extend(const Job& job, double now);
  bool exceeds_limit(size_t more, size_t ready_machines) const;
  double frees_at(const Job& job, const Machine& machine, double now) const;
  std::vector<FreeingMachine> find_freeing_machines(const Job& job, double now);
  Index zone_for(const Job& job, const std::vector<FreeingMachine>& machines, size_t wanted) const;

  const JobTable& jobs_;
  MachineTable& machines_;
  const Eligibility& eligibility_;
  WorkCounters& work_;
  size_t reserved_ = 0;  // in this round, for jobs that have waited
};

}  // namespace rookdyke
