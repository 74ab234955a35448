#pragma once
// Decides on which machines a job's tasks may be placed. Reads the tables and modifies nothing.
// Used by placement, preemption, and the migration of replicas.

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

  // Whether new tasks of any job may be placed on the machine.
  bool accepts_tasks(const Machine& machine, double now) const;
  // Whether the job may run on a machine that accepts tasks. Checks the type, spot or on-demand,
  // the zone, reservations and earlier failures.
  bool may_run(const Job& job, const Machine& machine, double now) const;
  // Whether `more` further tasks of the job may be placed in the zone. An attempt counts until it
  // is known to have ended. Whatever is in an unknown zone counts against the placement: a machine
  // whose zone is kNone is allowed for jobs without zone constraints only, and an attempt in an
  // unknown zone counts as if it were in the most unfavorable one.
  bool zone_allows(const Job& job, Index zone, uint32_t more) const;
  // Free capacity of a machine. Its type must be known.
  Resources free_resources(const Machine& machine) const;

 private:
  const Settings& settings_;
  const Catalog& catalog_;
  const MachineTable& machines_;
};

}  // namespace rookdyke
