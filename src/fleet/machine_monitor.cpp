#include "fleet/machine_monitor.h"

#include <algorithm>

namespace rookdyke {

namespace {

// Time in addition to the heartbeat timeout within which machines must register with a new leader.
// A worker waits up to 4 s for a response, then tries the other controllers 1 s apart, and sends
// its next heartbeat after up to one heartbeat interval. Also the time for which the mass outage
// state is kept after its condition has ended.
constexpr double kTakeoverGraceS = 8;
// As a share of cancel_s: a machine that may still run tasks of a job this long after the job's
// cancellation is returned, since the cloud's response to the return proves that they have stopped.
constexpr double kCancellationTimeoutShare = 0.5;
// As a multiple of cancel_s: machines that are not registered are not returned because of a
// cancellation older than this, since the ledger's record of their tasks is probably outdated.
constexpr double kCancellationExpiryFactor = 2;
// A machine is returned once its worker has acknowledged no reply for this long. Also the time for
// which a machine may go on sending the token of an earlier leader.
constexpr double kUnreachableTimeoutS = 8;
// Minimum number of heartbeats with an older fencing token before a machine is returned because it
// does not adopt the token of this leader.
constexpr int kMinHeartbeatsWithOlderToken = 3;

// A mass outage: at least this many machines, and this share of all machines that should send
// heartbeats, miss them. Independent failures are rarer, a few machines per hour.
constexpr size_t kMassOutageMinMachines = 3;
constexpr double kMassOutageMinShare = 0.05;
// As a multiple of the heartbeat interval: a machine counts towards a mass outage if its last
// heartbeat is older.
constexpr double kMassOutageIntervals = 1.6;
// If at least this many machines, and this share of the registered ones, are unreachable, the cause
// is probably that this leader is slow, and they are returned only after the mass outage timeout.
constexpr size_t kManyUnreachableMinMachines = 5;
constexpr double kManyUnreachableMinShare = 0.15;
// If at least this many machines, and this many tenths of the registered ones, miss heartbeats,
// receives_no_heartbeats() holds.
constexpr size_t kNoHeartbeatsMinMachines = 2;
constexpr size_t kNoHeartbeatsMinTenths = 7;
// A machine misses heartbeats in this sense if its last heartbeat is older than both this multiple
// of the heartbeat interval and this age.
constexpr double kNoHeartbeatsIntervals = 2.2;
constexpr double kNoHeartbeatsMinAgeS = 5;

// The default heartbeat timeout is the larger of this many heartbeat intervals and half the lease,
// the latter limited to kMaxLeaseTimeoutS.
constexpr double kHeartbeatTimeoutIntervals = 3;
constexpr double kMaxLeaseTimeoutS = 12;
// As a multiple of the boot time: how long it takes until a replacement is up and has fetched its
// first image.
constexpr double kReplacementBoots = 1.25;
// As a multiple of lease_s: a partitioned machine sends heartbeats again within one lease, or
// within another half lease if its own lease has expired and it has stopped its tasks.
constexpr double kMassOutageLeases = 1.5;

// As multiples of the heartbeat interval: heartbeat timeouts of machines past their reclaim time,
// and of machines that are no longer in the cloud's list.
constexpr double kReclaimedTimeoutIntervals = 1.5;
constexpr double kUnlistedTimeoutIntervals = 2;
// Added to the reclaim time that the notice announced.
constexpr double kReclaimMarginS = 1;
// Added to twice the list lag: a booting machine of that age that is not in the cloud's list does
// not exist.
constexpr double kUnlistedMarginS = 5;

constexpr const char* kGoneReason = "missed heartbeats and not in the cloud's machine list";

}  // namespace

// ---------------------------------------------------------------- timeouts

double MachineMonitor::heartbeat_timeout() const {
  if (settings_.tuning.heartbeat_timeout_s > 0) return settings_.tuning.heartbeat_timeout_s;
  return std::max(kHeartbeatTimeoutIntervals * settings_.heartbeat_interval_s,
                  std::min(settings_.lease_s / 2, kMaxLeaseTimeoutS));
}

// Heartbeat timeout during a mass outage: the longest of the regular timeout, the time that
// replacing the machines would take, and 1.5 leases. If the machines do not come back, the wait has
// cost no more time than a needless replacement would have. Machines whose lease has expired still
// come back within 1.5 leases, without tasks. Machines that are dead have disappeared from the
// cloud's list by then.
double MachineMonitor::mass_outage_timeout() const {
  double boot = 0;
  for (const MachineType& type : catalog_.types) boot = std::max(boot, type.boot_s);
  return std::max(
      {heartbeat_timeout(), kMassOutageLeases * settings_.lease_s, kReplacementBoots * boot});
}

// The mass outage timeout does not apply to machines that hold tasks of cancelled jobs, since those
// tasks must have stopped within cancel_s.
double MachineMonitor::heartbeat_timeout_of(const Machine& machine) const {
  return mass_outage_ && !holds_cancelled_tasks(machine) ? mass_outage_timeout()
                                                         : heartbeat_timeout();
}

// Time within which a machine that has been up (Machine::was_up) must send its first heartbeat to
// this leader.
double MachineMonitor::registration_timeout(const Machine& machine) const {
  return std::max(heartbeat_timeout_of(machine), heartbeat_timeout() + kTakeoverGraceS);
}

// ---------------------------------------------------------------- machine status

bool MachineMonitor::holds_cancelled_tasks(const Machine& machine) const {
  return std::any_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& task) {
    return jobs_[task.first].state == JobState::cancelled;
  });
}

// Whether the machine may still run tasks of a job whose cancellation timeout has passed. A machine
// that has not registered with this leader yet gets time to do so, since the ledger's record of its
// tasks may be outdated.
bool MachineMonitor::holds_overdue_cancelled_tasks(const Machine& machine, double now) const {
  const bool takeover_is_over = now - started_ > kTakeoverGraceS;
  return std::any_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& task) {
    const Job& job = jobs_[task.first];
    if (job.state != JobState::cancelled) return false;
    const double age = now - job.cancelled_at;
    return age > kCancellationTimeoutShare * settings_.cancel_s &&
           (machine.registered ||
            (takeover_is_over && age < kCancellationExpiryFactor * settings_.cancel_s));
  });
}

bool MachineMonitor::counts_as_capacity(const Machine& machine, double now) const {
  if (machine.cordoned || machine.reclaim_at >= 0 || machine.returning || machine.is_unreachable())
    return false;
  if (machine.state == MachineState::booting) {
    // A machine that has been up but has not registered with this leader is not late, however long
    // ago it was rented. Treating such machines as late boots made a new leader rent a second
    // fleet (docs/incidents/inc-6144.md).
    if (machine.was_up) return now - machine.last_heartbeat <= registration_timeout(machine);
    // Late machines are replaced, except while most are overdue: replacements would boot just as
    // slowly, and every machine would be rented twice.
    const BootStatistics& boots = boot_tracker_.statistics_of(machine);
    return now - machine.rented_at <=
           (boots.most_are_overdue() ? boots.boot_timeout_s() : boots.late_threshold_s());
  }
  if (machine.state != MachineState::ready) return false;
  return now - machine.last_heartbeat <=
         (mass_outage_ ? mass_outage_timeout() : heartbeat_timeout());
}

bool MachineMonitor::receives_no_heartbeats(double now) const {
  size_t registered = 0;
  size_t missing = 0;
  const double limit =
      std::max(kNoHeartbeatsIntervals * settings_.heartbeat_interval_s, kNoHeartbeatsMinAgeS);
  for (const auto& machine : machines_) {
    if (machine->state == MachineState::terminated || !machine->registered) continue;
    if (machine->reclaim_at >= 0 && now > machine->reclaim_at) continue;
    ++registered;
    if (now - machine->last_heartbeat > limit) ++missing;
  }
  return missing >= kNoHeartbeatsMinMachines && missing * 10 >= registered * kNoHeartbeatsMinTenths;
}

bool MachineMonitor::has_timed_out(const Machine& machine, double now) const {
  return machine.registered && now - machine.last_heartbeat > heartbeat_timeout();
}

// ---------------------------------------------------------------- mass outage

// Machines that miss heartbeats at the same time are probably partitioned rather than dead. They
// come back sooner than replacements could boot, with their images and, within their lease, their
// tasks.
bool MachineMonitor::detects_mass_outage(double now) const {
  size_t expected = 0;
  size_t missing = 0;
  for (const auto& machine : machines_) {
    // Includes machines that have been up but have not registered with this leader.
    const bool is_expected =
        machine->registered || (machine->was_up && machine->state == MachineState::booting);
    if (!is_expected || machine->state == MachineState::terminated ||
        machine->state == MachineState::terminating || machine->reclaim_at >= 0)
      continue;
    ++expected;
    if (now - machine->last_heartbeat > kMassOutageIntervals * settings_.heartbeat_interval_s &&
        machine->unlisted_at < 0)
      ++missing;
  }
  return missing >= kMassOutageMinMachines &&
         static_cast<double>(missing) >= kMassOutageMinShare * static_cast<double>(expected);
}

// Machines come back one by one, so the state is kept for kTakeoverGraceS after the condition ends:
// the last machines get the same timeout as the first.
void MachineMonitor::update_mass_outage(double now) {
  if (detects_mass_outage(now)) mass_outage_until_ = now + kTakeoverGraceS;
  mass_outage_ = now < mass_outage_until_;
}

// Heartbeats sent during the stall are still unread or went to another controller. Moves the times
// from which missed heartbeats and replies count forward by the length of the stall.
void MachineMonitor::on_process_stall(double stall_s, double now) {
  const auto move_forward = [&](double& time) {
    if (time >= 0) time = std::min(now, time + stall_s);
  };
  for (const auto& machine : machines_) {
    move_forward(machine->last_heartbeat);
    move_forward(machine->older_token_since);
    machine->replies.on_process_stall(stall_s, now);
  }
  mass_outage_until_ = -1;
}

// ---------------------------------------------------------------- checks, once per round

void MachineMonitor::terminate_machines_with_cancelled_tasks(double now) {
  for (const auto& machine : machines_) {
    if (machine->state == MachineState::terminating || machine->state == MachineState::terminated)
      continue;
    if (holds_overdue_cancelled_tasks(*machine, now))
      MachineTable::terminate(*machine, "holds tasks of a cancelled job");
    else if (machine->is_unreachable() && holds_cancelled_tasks(*machine))
      MachineTable::terminate(*machine,
                              "holds tasks of a cancelled job and does not receive replies");
  }
}

// Whether so many machines are unreachable that the cause is probably that this leader is slow.
bool MachineMonitor::are_many_unreachable() const {
  size_t registered = 0;
  size_t unreachable = 0;
  for (const auto& machine : machines_) {
    if (!machine->registered || machine->state == MachineState::terminated) continue;
    ++registered;
    unreachable += machine->is_unreachable();
  }
  return unreachable >= kManyUnreachableMinMachines &&
         static_cast<double>(unreachable) >=
             kManyUnreachableMinShare * static_cast<double>(registered);
}

void MachineMonitor::check_machines(double now) {
  update_mass_outage(now);
  boot_tracker_.update(now);
  const bool many_unreachable = are_many_unreachable();
  for (const auto& machine : machines_) {
    if (terminate_if_uncontrollable(*machine, many_unreachable, now)) continue;
    switch (machine->state) {
      case MachineState::booting:
        check_booting(*machine, now);
        break;
      case MachineState::ready:
      case MachineState::draining:
        check_registered(*machine, now);
        break;
      case MachineState::terminating:
      case MachineState::terminated:
        break;
    }
  }
}

// Whether the machine has been unreachable for so long that it is to be returned. The mass outage
// timeout holds however many there are, and whether or not they could be sent a higher token.
bool MachineMonitor::unreachable_timeout_has_passed(const Machine& machine, bool many_unreachable,
                                                    double now) const {
  if (!machine.is_unreachable()) return false;
  if (now - machine.replies.unreachable_since() > mass_outage_timeout()) return true;
  if (many_unreachable) return false;
  const auto since = machine.replies.unacknowledged_since();
  return holds_cancelled_tasks(machine) || (since && now - *since > kUnreachableTimeoutS);
}

// Terminates the machine if it does not receive replies, or if it holds tasks of a job whose
// cancellation timeout has passed. Returns whether it did.
bool MachineMonitor::terminate_if_uncontrollable(Machine& machine, bool many_unreachable,
                                                 double now) {
  if (machine.state == MachineState::terminating || machine.state == MachineState::terminated)
    return false;
  if (unreachable_timeout_has_passed(machine, many_unreachable, now)) {
    MachineTable::terminate(machine, "does not receive the replies to its heartbeats");
    return true;
  }
  if (holds_overdue_cancelled_tasks(machine, now)) {
    MachineTable::terminate(machine, "holds tasks of a cancelled job");
    return true;
  }
  return false;
}

// Whether a machine that has been up no longer exists: the cloud's list lacks it, and it is silent.
bool MachineMonitor::is_gone(const Machine& machine, double now) const {
  return machine.unlisted_at >= 0 &&
         now - machine.last_heartbeat > kUnlistedTimeoutIntervals * settings_.heartbeat_interval_s;
}

void MachineMonitor::check_booting(Machine& machine, double now) {
  const double age = now - machine.rented_at;
  // Machines that have been up may have tasks. Unless tasks of cancelled jobs are among them, only
  // the registration timeout applies to these machines.
  if (machine.heartbeats_with_older_token >= kMinHeartbeatsWithOlderToken &&
      now - machine.older_token_since > kUnreachableTimeoutS &&
      (!machine.was_up || holds_cancelled_tasks(machine))) {
    MachineTable::terminate(machine, "does not adopt the fencing token of this leader");
  } else if (machine.was_up) {
    if (now - machine.last_heartbeat > registration_timeout(machine))
      MachineTable::terminate(machine, "no heartbeat within the registration timeout");
    else if (is_gone(machine, now))
      MachineTable::terminate(machine, kGoneReason);
  } else if (machine.unlisted_at >= 0 && age > 2 * settings_.list_lag_s + kUnlistedMarginS) {
    MachineTable::terminate(machine, "no heartbeat yet and not in the cloud's machine list");
  } else if (age > boot_tracker_.statistics_of(machine).boot_timeout_s()) {
    MachineTable::terminate(machine, "no heartbeat within the boot timeout");
  }
}

// Checks a machine that is ready or draining.
void MachineMonitor::check_registered(Machine& machine, double now) {
  const double heartbeat_age = now - machine.last_heartbeat;
  const double interval = settings_.heartbeat_interval_s;
  if (machine.reclaim_at >= 0 && now > machine.reclaim_at + kReclaimMarginS &&
      heartbeat_age > kReclaimedTimeoutIntervals * interval) {
    MachineTable::terminate(machine, "reclaimed by the cloud");
  } else if (heartbeat_age > heartbeat_timeout_of(machine)) {
    // Missed heartbeats do not prove that tasks have stopped; the cloud's response to the return
    // does (invariant 3).
    MachineTable::terminate(machine, "heartbeat timeout");
  } else if (is_gone(machine, now)) {
    MachineTable::terminate(machine, kGoneReason);
  } else if (machine.state == MachineState::draining) {
    check_draining(machine, now);
  }
}

void MachineMonitor::check_draining(Machine& machine, double now) {
  if (machine.tasks.empty() && !machine.has_unknown_tasks) {
    MachineTable::terminate(machine, "drained");
  } else if (replicas_.holds_only_replicas(machine)) {
    replicas_.move_replicas(machine, now);
  } else if (now - machine.draining_since > settings_.tuning.drain_deadline_s) {
    stop_all_attempts(machine);
  }
}

void MachineMonitor::stop_all_attempts(Machine& machine) {
  for (const auto& [job_index, task] : machine.tasks) {
    Job& job = jobs_[job_index];
    lifecycle_.stop_with_gang(job, job.attempts.at(task),
                              job.spec.checkpoint_duration_s + kCheckpointGraceMarginS);
  }
}

}  // namespace rookdyke
