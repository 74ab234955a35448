#include "fleet/machine_monitor.h"

#include <algorithm>

namespace rookdyke {

namespace {

// A new leader's machines get this many seconds to find it before their silence means anything: a
// worker needs up to 4 s without an answer, 1 s for each controller and one heartbeat interval.
constexpr double kTakeoverGrace = 8;
// A cancelled job's tasks that are still not proven off their machine after this share of cancel_s:
// the machine is returned, for the cloud's answer is proof.
constexpr double kCancelPatience = 0.5;
// For an older cancellation than this, in times cancel_s, a machine that has not registered is not
// returned: what the ledger says of it is long past.
constexpr double kCancelForgotten = 2;
// Heartbeats show for so many seconds that none of our answers arrives: the machine is returned.
constexpr double kUnreachableFor = 8;
// The least heartbeats with an older token for that conclusion.
constexpr int kMinHeartbeatsWithOlderToken = 3;

// So many machines, and this share of all, have to be silent for a common cause to be likely:
// single ones fail by a few in an hour.
constexpr size_t kMassSilenceMinMachines = 3;
constexpr double kMassSilenceShare = 0.05;
// In heartbeat intervals: from then on a machine counts towards mass silence.
constexpr double kMassSilenceMissed = 1.6;
// So many machines, and this share of all, that acknowledge no command: the leader itself is slow.
constexpr size_t kManyUnreachableMinMachines = 5;
constexpr double kManyUnreachableShare = 0.15;
// So many machines, and this share of all, that are silent: this process receives no heartbeats.
constexpr size_t kNoHeartbeatsMinMachines = 2;
constexpr size_t kNoHeartbeatsTenths = 7;
// Their silence, in heartbeat intervals, and in seconds at least.
constexpr double kNoHeartbeatsMissed = 2.2;
constexpr double kNoHeartbeatsMinSilence = 5;

// How long a single machine may be silent: heartbeat intervals, or half the lease up to so many
// seconds.
constexpr double kSilenceHeartbeats = 3;
constexpr double kMaxLeaseShareOfSilence = 12;
// What replacing a machine takes, in boot times: until it is up and has fetched its first image.
constexpr double kReplace = 1.25;
// Machines that were cut off come back within their lease, or empty but up in half of it again.
constexpr double kLeasesOfMassSilence = 1.5;

// In heartbeat intervals: when a reclaimed machine, or one that is not listed, is silent.
constexpr double kReclaimedMissed = 1.5;
constexpr double kUnlistedMissed = 2;
// In seconds past the announced moment.
constexpr double kReclaimMargin = 1;
// In seconds beyond two list lags: a machine that is not listed by then was never rented.
constexpr double kUnlistedMargin = 5;

}  // namespace

// ---------------------------------------------------------------- limits

double MachineMonitor::silence_limit() const {
  if (settings_.tuning.heartbeat_timeout_s > 0) return settings_.tuning.heartbeat_timeout_s;
  return std::max(kSilenceHeartbeats * settings_.heartbeat_interval_s,
                  std::min(settings_.lease_s / 2, kMaxLeaseShareOfSilence));
}

// How long machines that fell silent together are waited for: at most for as long as replacing them
// would take, so that a wait in vain costs no more than it could have saved; and for their lease
// and half of it again, since after it they come back empty but up. Those that are dead are not
// listed any more by then.
double MachineMonitor::mass_silence_limit() const {
  double boot = 0;
  for (const MachineType& type : catalog_.types) boot = std::max(boot, type.boot_s);
  return std::max({silence_limit(), kLeasesOfMassSilence * settings_.lease_s, kReplace * boot});
}

// A cancelled job's tasks must be off their machine in cancel_s: it is not waited for longer.
double MachineMonitor::silence_limit_of(const Machine& machine) const {
  return mass_silence_ && !holds_cancelled(machine) ? mass_silence_limit() : silence_limit();
}

// How long a machine that was up under a predecessor may take until a new leader hears it.
double MachineMonitor::registration_limit(const Machine& machine) const {
  return std::max(silence_limit_of(machine), silence_limit() + kTakeoverGrace);
}

// ---------------------------------------------------------------- questions about machines

bool MachineMonitor::holds_cancelled(const Machine& machine) const {
  return std::any_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& task) {
    return jobs_[task.first].state == JobState::cancelled;
  });
}

// Whether tasks that were cancelled a good while ago may still be there. A machine that has not
// registered with a new leader yet is given time to: what the ledger says of it may be long past.
bool MachineMonitor::holds_overdue(const Machine& machine, double now) const {
  const bool takeover_is_over = now - started_ > kTakeoverGrace;
  return std::any_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& task) {
    const Job& job = jobs_[task.first];
    if (job.state != JobState::cancelled) return false;
    const double age = now - job.cancelled_at;
    return age > kCancelPatience * settings_.cancel_s &&
           (machine.registered ||
            (takeover_is_over && age < kCancelForgotten * settings_.cancel_s));
  });
}

bool MachineMonitor::counts_as_capacity(const Machine& machine, double now) const {
  if (machine.cordoned || machine.reclaim_at >= 0 || machine.returning || machine.unreachable())
    return false;
  if (machine.state == MachineState::booting) {
    // Up under a predecessor and not registered yet: no late boot, however long ago it was rented.
    // Taken for one, it had a new leader rent a second fleet (docs/incidents/inc-6144.md).
    if (machine.was_up) return now - machine.last_heartbeat <= registration_limit(machine);
    // Late ones are replaced, but not while nearly all are late: the cloud would be as slow with
    // those that took their place, and each would be rented twice.
    const BootStatistics& boots = boot_tracker_.statistics_of(machine);
    return now - machine.rented_at <=
           (boots.most_are_late() ? boots.lost_after() : boots.late_after());
  }
  if (machine.state != MachineState::ready) return false;
  return now - machine.last_heartbeat <= (mass_silence_ ? mass_silence_limit() : silence_limit());
}

bool MachineMonitor::receives_no_heartbeats(double now) const {
  size_t registered = 0;
  size_t silent = 0;
  const double limit =
      std::max(kNoHeartbeatsMissed * settings_.heartbeat_interval_s, kNoHeartbeatsMinSilence);
  for (const auto& machine : machines_) {
    if (machine->state == MachineState::terminated || !machine->registered) continue;
    if (machine->reclaim_at >= 0 && now > machine->reclaim_at) continue;
    ++registered;
    if (now - machine->last_heartbeat > limit) ++silent;
  }
  return silent >= kNoHeartbeatsMinMachines && silent * 10 >= registered * kNoHeartbeatsTenths;
}

bool MachineMonitor::is_silent(const Machine& machine, double now) const {
  return machine.registered && now - machine.last_heartbeat > silence_limit();
}

// ---------------------------------------------------------------- mass silence

// Many machines that fall silent together are cut off rather than dead: they come back, with
// images and, within their lease, with their work, sooner than others could be booted.
bool MachineMonitor::sees_mass_silence(double now) const {
  size_t expected = 0;
  size_t missing = 0;
  for (const auto& machine : machines_) {
    // Those of a predecessor that have not registered yet count too.
    const bool is_expected =
        machine->registered || (machine->was_up && machine->state == MachineState::booting);
    if (!is_expected || machine->state == MachineState::terminated ||
        machine->state == MachineState::terminating || machine->reclaim_at >= 0)
      continue;
    ++expected;
    if (now - machine->last_heartbeat > kMassSilenceMissed * settings_.heartbeat_interval_s &&
        machine->unlisted_at < 0)
      ++missing;
  }
  return missing >= kMassSilenceMinMachines &&
         static_cast<double>(missing) >= kMassSilenceShare * static_cast<double>(expected);
}

// Machines come back one by one: the last of a cut are waited for as the first were.
void MachineMonitor::update_mass_silence(double now) {
  if (sees_mass_silence(now)) mass_silence_until_ = now + kTakeoverGrace;
  mass_silence_ = now < mass_silence_until_;
}

// Heartbeats wait to be read, or went to another controller: who has fallen silent shows only from
// now on.
void MachineMonitor::on_process_stall(double stall_s, double now) {
  const auto postpone = [&](double& moment) {
    if (moment >= 0) moment = std::min(now, moment + stall_s);
  };
  for (const auto& machine : machines_) {
    postpone(machine->last_heartbeat);
    postpone(machine->unacknowledged_since);
    postpone(machine->older_token_since);
  }
  mass_silence_until_ = -1;
}

// ---------------------------------------------------------------- checks, once a round

void MachineMonitor::release_cancelled_work(double now) {
  for (const auto& machine : machines_) {
    if (machine->state == MachineState::terminating || machine->state == MachineState::terminated)
      continue;
    if (holds_overdue(*machine, now))
      MachineTable::terminate(*machine, "holds tasks of a cancelled job");
    else if (machine->unreachable() && holds_cancelled(*machine))
      MachineTable::terminate(*machine, "holds tasks of a cancelled job and takes up nothing");
  }
}

// Whether so many machines acknowledge no command that the cause is the leader's own slowness.
bool MachineMonitor::are_many_unreachable() const {
  size_t registered = 0;
  size_t unreachable = 0;
  for (const auto& machine : machines_) {
    if (!machine->registered || machine->state == MachineState::terminated) continue;
    ++registered;
    unreachable += machine->unreachable();
  }
  return unreachable >= kManyUnreachableMinMachines &&
         static_cast<double>(unreachable) >=
             kManyUnreachableShare * static_cast<double>(registered);
}

void MachineMonitor::check_machines(double now) {
  update_mass_silence(now);
  boot_tracker_.update(now);
  const bool many_unreachable = are_many_unreachable();
  for (const auto& machine : machines_) {
    if (!machine->unreachable())
      machine->unacknowledged_since = -1;
    else if (machine->unacknowledged_since < 0)
      machine->unacknowledged_since = now;
    if (terminate_if_out_of_control(*machine, many_unreachable, now)) continue;
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

// True: the machine executes nothing that it is told, or still holds cancelled work, and is to be
// returned for it.
bool MachineMonitor::terminate_if_out_of_control(Machine& machine, bool many_unreachable,
                                                 double now) {
  if (machine.state == MachineState::terminating || machine.state == MachineState::terminated)
    return false;
  if (machine.unacknowledged_since >= 0 && !many_unreachable &&
      (now - machine.unacknowledged_since > kUnreachableFor || holds_cancelled(machine))) {
    MachineTable::terminate(machine, "takes up nothing of what it is answered");
    return true;
  }
  if (holds_overdue(machine, now)) {
    MachineTable::terminate(machine, "holds tasks of a cancelled job");
    return true;
  }
  return false;
}

void MachineMonitor::check_booting(Machine& machine, double now) {
  const double age = now - machine.rented_at;
  // One that was up under a predecessor has work on it, and is waited for as such.
  if (machine.heartbeats_with_older_token >= kMinHeartbeatsWithOlderToken &&
      now - machine.older_token_since > kUnreachableFor &&
      (!machine.was_up || holds_cancelled(machine))) {
    MachineTable::terminate(machine, "takes up none of our answers");
  } else if (machine.was_up) {
    // The ledger has tasks on it, so it was up under a predecessor.
    if (now - machine.last_heartbeat > registration_limit(machine))
      MachineTable::terminate(machine, "not heard since the takeover");
  } else if (machine.unlisted_at >= 0 && age > 2 * settings_.list_lag_s + kUnlistedMargin) {
    MachineTable::terminate(machine, "rented under a predecessor and not listed");
  } else if (age > boot_tracker_.statistics_of(machine).lost_after()) {
    MachineTable::terminate(machine, "never came up");
  }
}

// Of a machine that is ready or draining.
void MachineMonitor::check_registered(Machine& machine, double now) {
  const double silence = now - machine.last_heartbeat;
  const double interval = settings_.heartbeat_interval_s;
  if (machine.reclaim_at >= 0 && now > machine.reclaim_at + kReclaimMargin &&
      silence > kReclaimedMissed * interval) {
    MachineTable::terminate(machine, "taken back");
  } else if (silence > silence_limit_of(machine)) {
    // Silence proves nothing; the cloud's answer to returning it does (invariant 3).
    MachineTable::terminate(machine, "silent");
  } else if (machine.unlisted_at >= 0 && silence > kUnlistedMissed * interval) {
    MachineTable::terminate(machine, "silent and not listed any more");
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
