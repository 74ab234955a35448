#pragma once
// Decides which machines count as alive, and terminates the others as well as machines that are
// drained or reclaimed or that may still run tasks of cancelled jobs. A machine that is terminated
// is returned to the cloud. Called by the scheduler once per round; fleet planning asks it
// which machines count as capacity. Terminates machines through MachineTable and stops attempts
// through TaskLifecycle, but never ends an attempt: missed heartbeats do not prove that its task
// has stopped (invariant 3).
//
// Also owns the mass outage state: machines that miss heartbeats at the same time are probably
// partitioned from the leader rather than dead, so they get a longer heartbeat timeout. All times
// are seconds on the leader's steady clock.

#include <cstddef>

#include "fleet/boot_tracker.h"
#include "model/job.h"
#include "model/machine.h"
#include "model/settings.h"
#include "placement/replica_mover.h"
#include "scheduler/catalog.h"
#include "scheduler/job_table.h"
#include "scheduler/machine_table.h"
#include "scheduler/task_lifecycle.h"

namespace rookdyke {

class MachineMonitor {
 public:
  // All references must outlive this object. `started`: when this leader took over.
  MachineMonitor(const Settings& settings, const Catalog& catalog, JobTable& jobs,
                 MachineTable& machines, BootTracker& boot_tracker, ReplicaMover& replicas,
                 TaskLifecycle& lifecycle, double started)
      : settings_(settings),
        catalog_(catalog),
        jobs_(jobs),
        machines_(machines),
        boot_tracker_(boot_tracker),
        replicas_(replicas),
        lifecycle_(lifecycle),
        started_(started) {}

  // Updates the mass outage state and the boot statistics, then terminates machines that timed out,
  // are unreachable, did not boot, are drained or reclaimed, or hold tasks of jobs whose
  // cancellation timeout has passed. Called once per round.
  void check_machines(double now);
  // Terminates only machines that may still run tasks of cancelled jobs: after the cancellation
  // timeout, or at once if the machine is unreachable. Unlike check_machines(), an unconfirmed
  // leader may call it.
  void terminate_machines_with_cancelled_tasks(double now);
  // Called after this process did not run for `stall_s` seconds. Heartbeats missed during the stall
  // do not count towards any timeout.
  void on_process_stall(double stall_s, double now);

  // Whether the machine serves demand, now or after it has booted.
  bool counts_as_capacity(const Machine& machine, double now) const;
  // Whether tasks of a cancelled job may be on the machine.
  bool holds_cancelled_tasks(const Machine& machine) const;
  // Whether most registered machines miss heartbeats, so that the fault is probably on the side of
  // this controller.
  bool receives_no_heartbeats(double now) const;
  // Whether the last heartbeat of a registered machine is older than the regular heartbeat timeout,
  // regardless of a mass outage.
  bool has_timed_out(const Machine& machine, double now) const;

 private:
  double heartbeat_timeout() const;
  double mass_outage_timeout() const;
  double heartbeat_timeout_of(const Machine& machine) const;
  double registration_timeout(const Machine& machine) const;
  bool holds_overdue_cancelled_tasks(const Machine& machine, double now) const;

  void update_mass_outage(double now);
  bool detects_mass_outage(double now) const;
  bool are_many_unreachable() const;
  bool unreachable_timeout_has_passed(const Machine& machine, bool many_unreachable,
                                      double now) const;
  bool terminate_if_uncontrollable(Machine& machine, bool many_unreachable, double now);
  bool is_gone(const Machine& machine, double now) const;
  void check_booting(Machine& machine, double now);
  void check_registered(Machine& machine, double now);
  void check_draining(Machine& machine, double now);
  void stop_all_attempts(Machine& machine);

  const Settings& settings_;
  const Catalog& catalog_;
  JobTable& jobs_;
  MachineTable& machines_;
  BootTracker& boot_tracker_;
  ReplicaMover& replicas_;
  TaskLifecycle& lifecycle_;
  const double started_;

  bool mass_outage_ = false;
  double mass_outage_until_ = -1;
};

}  // namespace rookdyke
