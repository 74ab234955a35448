#pragma once
// Distinguishes faulty machines from faulty jobs by the tasks that fail: a machine on which tasks
// of several jobs fail in a row is cordoned; a job that fails on several machines gets an
// exponential back-off. A job avoids a machine on which it failed, for a while.

#include "model/job.h"
#include "model/machine.h"
#include "scheduler/machine_table.h"

namespace rookdyke {

class FaultDetector {
 public:
  // `machines` must outlive this object.
  explicit FaultDetector(MachineTable& machines) : machines_(machines) {}

  // A task of the job has failed on the machine.
  void record_error(Machine& machine, Job& job, double now);
  // A task has succeeded on the machine.
  static void record_success(Machine& machine);
  // A replica of the job has run on the machine for long enough to show that neither is faulty.
  static void record_success(Machine& machine, Job& job);

  // Whether the job has failed on so many machines, or so often, since its last success that the
  // job itself is considered faulty.
  static bool is_faulty(const Job& job);

 private:
  static void avoid(const Machine& machine, Job& job, double now);
  void record_faulty_job(Job& job, double now);

  MachineTable& machines_;
};

}  // namespace rookdyke
