#pragma once
// Which machines a job's tasks may be placed on. Pure questions about the tables; nothing is
// changed. Used by placement, preemption, and the replacement of replicas.

#include <cstdint>

#include "model/job.h"
#include "model/machine.h"
#include "model/settings.h"
#include "scheduler/catalog.h"
#include "scheduler/machine_table.h"

namespace rookdyke {

class Eligibility {
 public:
  // All must outlive this object.
  Eligibility(const Settings& settings, const Catalog& catalog, const MachineTable& machines)
      : settings_(settings), catalog_(catalog), machines_(machines) {}

  // Whether anything new may be placed on the machine at all: what does not depend on the job.
  bool takes_work(const Machine& machine, double now) const;
  // Whether the job may run on a machine that takes work: type, kind, zone, reservations, faults.
  bool may_run(const Job& job, const Machine& machine, double now) const;
  // Whether so many more of the job's tasks may be in the zone. Attempts count until they are
  // proven gone.
  bool zone_allows(const Job& job, Index zone, uint32_t more) const;
  // What is left of a machine whose type is known.
  Resources free_resources(const Machine& machine) const;

 private:
  const Settings& settings_;
  const Catalog& catalog_;
  const MachineTable& machines_;
};

}  // namespace rookdyke
