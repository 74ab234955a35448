#pragma once
// Which machines are alive, and which are to be returned because they are not, or because work of
// cancelled jobs is still on them. Owns what is known of mass silence: machines that fall silent
// together are likely cut off rather than dead, and are waited for longer. Called by the scheduler
// once a round; asked by fleet planning what counts as capacity. Terminates machines through
// MachineTable and stops attempts through TaskLifecycle; it never ends an attempt, for silence is
// no proof (invariant 3). All times are seconds on the leader's clock.

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
  // All must outlive this object. `started`: when this leader began.
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

  // Updates mass silence and the boot statistics, then terminates machines that are silent,
  // unreachable, lost, drained, reclaimed, or that keep cancelled work. Once a round.
  void check_machines(double now);
  // Terminates only machines that keep work of cancelled jobs, as a leader in doubt may.
  void release_cancelled_work(double now);
  // This process did not run for `stall_s` seconds: the machines' silence meanwhile was its own.
  void on_process_stall(double stall_s, double now);

  // Whether the machine serves demand, now or once it has booted.
  bool counts_as_capacity(const Machine& machine, double now) const;
  // Whether tasks of a cancelled job may be on the machine.
  bool holds_cancelled(const Machine& machine) const;
  // Whether most registered machines have fallen silent: the fault is likely on this side.
  bool receives_no_heartbeats(double now) const;
  // Whether a registered machine has been silent for longer than a single one is waited for.
  bool is_silent(const Machine& machine, double now) const;

 private:
  double silence_limit() const;
  double mass_silence_limit() const;
  double silence_limit_of(const Machine& machine) const;
  double registration_limit(const Machine& machine) const;
  bool holds_overdue(const Machine& machine, double now) const;

  void update_mass_silence(double now);
  bool sees_mass_silence(double now) const;
  bool are_many_unreachable() const;
  bool terminate_if_out_of_control(Machine& machine, bool many_unreachable, double now);
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

  bool mass_silence_ = false;
  double mass_silence_until_ = -1;
};

}  // namespace rookdyke
