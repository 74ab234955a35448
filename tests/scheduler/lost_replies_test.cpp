// Machines whose workers seem not to receive the replies to their heartbeats: the signs that they
// do, and the end of those that do not. The comment above each test describes the failure that the
// guard prevents.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "scheduler/scheduler.h"
#include "scheduler/scheduler_fixtures.h"
#include "scheduler/scheduler_guards_fixture.h"

namespace rookdyke {
namespace {

using namespace test;

constexpr int kMachines = 30;
constexpr double kRegisteredAt = 1;
constexpr double kHeldBackUntil = 35;  // longer than a lease after the last reply
constexpr double kReturnOfOneS = 8;
// The longest of 1.5 leases and 1.25 boots of the fixtures' deployment.
constexpr double kReturnOfManyS = 62.5;

// The parameter is the number of machines that come back from a network partition in which their
// leases ended: m-0 and following, of 30.
class LostReplies : public testing::TestWithParam<int> {
 protected:
  struct Worker {
    uint64_t epoch = 1, seq = 0, token = kLeaderToken;
  };

  LostReplies() : scheduler(settings(), {bare_type()}, kLeaderToken, 0), workers(kMachines) {
    for (int machine = 0; machine < kMachines; ++machine) report(machine, kRegisteredAt);
  }

  static Settings settings() {
    Settings settings = bare_settings();
    settings.tuning.scale_in_delay_s = 1000;
    return settings;
  }
  // The worker's next heartbeat. The test decides whether the reply arrives.
  HeartbeatReply report(int machine, double now) {
    Worker& worker = workers.at(static_cast<size_t>(machine));
    Heartbeat heartbeat = bare_heartbeat(machine, ++worker.seq, worker.token);
    heartbeat.epoch = worker.epoch;
    return scheduler.on_heartbeat(heartbeat, now);
  }
  void report_and_hear(int machine, double now) {
    const HeartbeatReply reply = report(machine, now);
    uint64_t& token = workers.at(static_cast<size_t>(machine)).token;
    token = std::max(token, reply.fencing_token);
  }
  void begin_epoch(int machine) {
    Worker& worker = workers.at(static_cast<size_t>(machine));
    ++worker.epoch;
    worker.seq = 0;
  }
  // A heartbeat of each of the machines was held back and arrives just before the first of the new
  // epoch.
  void come_back_from_a_partition(int count) {
    for (int machine = count; machine < kMachines; ++machine) report(machine, kHeldBackUntil);
    for (int machine = 0; machine < count; ++machine) {
      report(machine, kHeldBackUntil);
      begin_epoch(machine);
      report(machine, kHeldBackUntil);
    }
  }
  void apply_writes(double now) {
    while (const auto write = scheduler.next_transaction(now))
      scheduler.on_result(write->id, {ledger::Outcome::applied, ++revision, {}}, now);
  }
  // The other machines go on sending heartbeats and receive the replies; the first `count` machines
  // send them and receive none.
  void stay_deaf(int count, double from, double until) {
    for (double now = from; now <= until; now += 2.5) {
      for (int machine = 0; machine < kMachines; ++machine)
        machine < count ? (void)report(machine, now) : report_and_hear(machine, now);
      scheduler.round(now);
      apply_writes(now);
    }
  }
  bool is_unreachable(int machine) const {
    return scheduler.machines().at(static_cast<size_t>(machine))->is_unreachable();
  }
  int count_unreachable() const {
    int count = 0;
    for (int machine = 0; machine < kMachines; ++machine) count += is_unreachable(machine);
    return count;
  }
  int count_in_state(MachineState state) const {
    int count = 0;
    for (int machine = 0; machine < kMachines; ++machine)
      count += state_of(scheduler, machine) == state;
    return count;
  }
  size_t count_tasks(int machine) const {
    return scheduler.machines().at(static_cast<size_t>(machine))->tasks.size();
  }
  // Submits as many tasks as the whole deployment holds, and places those for which there is room.
  void fill_all_machines(double now) {
    scheduler.on_job_row(bare_job(4 * kMachines, {4, 1, 4}, ++revision), "wk-000001", now);
    for (int round = 0; round < 10; ++round) {
      scheduler.round(now);
      apply_writes(now);
    }
  }

  Scheduler scheduler;
  std::vector<Worker> workers;
  uint64_t revision = kFirstRevision;
};

INSTANTIATE_TEST_SUITE_P(OneManyAll, LostReplies, testing::Values(1, 6, kMachines));

// Without tasks a machine gets no command, so nothing else would show that it receives replies:
// many such machines would stay idle until the leader changed, and a single one would be returned.
TEST_P(LostReplies, AMachineThatReportsAHigherTokenGetsTasksAgain) {
  apply_writes(kHeldBackUntil - 1);
  come_back_from_a_partition(GetParam());
  for (int machine = 0; machine < kMachines; ++machine)
    for (const double after : {0.5, 3.0}) report_and_hear(machine, kHeldBackUntil + after);
  EXPECT_EQ(count_unreachable(), 0);
  fill_all_machines(kHeldBackUntil + 3.5);
  for (int machine = 0; machine < kMachines; ++machine) EXPECT_EQ(count_tasks(machine), 4u);
  scheduler.round(kHeldBackUntil + 4);
  EXPECT_EQ(count_in_state(MachineState::ready), kMachines);
}

// A leader that has written nothing since it sent its last tokens has none that would show
// anything.
TEST_P(LostReplies, TheLedgerIsWrittenIfAHigherTokenIsNeeded) {
  come_back_from_a_partition(GetParam());
  apply_writes(kHeldBackUntil + 1);
  for (int machine = 0; machine < kMachines; ++machine)
    for (const double after : {3.0, 6.0}) report_and_hear(machine, kHeldBackUntil + after);
  EXPECT_EQ(count_unreachable(), 0);
}

// In an outage of the state service there is no higher token, and commands may be forbidden.
TEST_P(LostReplies, AnEpochThatOutlastsALeaseShowsThatRepliesArrive) {
  come_back_from_a_partition(GetParam());
  const auto report_all_at = [this](double after) {
    for (int machine = 0; machine < kMachines; ++machine) report(machine, kHeldBackUntil + after);
  };
  for (double after = 2.5; after < settings().lease_s; after += 2.5) report_all_at(after);
  EXPECT_EQ(count_unreachable(), GetParam());
  for (const double after : {32.5, 35.0}) report_all_at(after);
  EXPECT_EQ(count_unreachable(), 0);
}

// While this process does not run, time passes on its clock and not in the heartbeats that wait.
TEST_P(LostReplies, AStallOfThisProcessDoesNotCountAsTimeWithinAnEpoch) {
  come_back_from_a_partition(GetParam());
  scheduler.on_process_stall(40, kHeldBackUntil + 40);
  for (int machine = 0; machine < kMachines; ++machine) report(machine, kHeldBackUntil + 41);
  EXPECT_EQ(count_unreachable(), GetParam());
}

// What a machine without replies is given waits there for nothing.
TEST_P(LostReplies, AMachineThatReceivesNoRepliesGetsNoTasks) {
  apply_writes(kHeldBackUntil - 1);
  come_back_from_a_partition(GetParam());
  for (int machine = 0; machine < kMachines; ++machine) report(machine, kHeldBackUntil + 3);
  fill_all_machines(kHeldBackUntil + 4);
  for (int machine = 0; machine < GetParam(); ++machine) EXPECT_EQ(count_tasks(machine), 0u);
}

// A machine that receives no replies is paid for and serves nobody. Many at once are waited for
// longer, as the cause may be this leader, but not for ever.
TEST_P(LostReplies, AMachineThatReceivesNoRepliesIsReturned) {
  apply_writes(kHeldBackUntil - 1);
  come_back_from_a_partition(GetParam());
  const double timeout = GetParam() == 1 ? kReturnOfOneS : kReturnOfManyS;
  double now = kHeldBackUntil;
  for (int lease = 0; now < kHeldBackUntil + timeout - 2.5; ++lease) {
    EXPECT_EQ(count_in_state(MachineState::ready), kMachines);
    const double until = std::min(now + 25, kHeldBackUntil + timeout - 2.5);
    stay_deaf(GetParam(), now + 2.5, until);
    now = until;
    for (int machine = 0; machine < GetParam(); ++machine) begin_epoch(machine);
  }
  stay_deaf(GetParam(), now + 2.5, now + 7.5);
  EXPECT_EQ(count_in_state(MachineState::ready), kMachines - GetParam());
}

// Replies were sent long ago when the leases ended: the leader stood still, and the machines would
// all be taken for unreachable.
TEST_P(LostReplies, LeasesThatEndInAStallOfTheLeaderAreNotTakenForLostReplies) {
  const double woke_at = kRegisteredAt + 2 * settings().lease_s;
  scheduler.on_process_stall(2 * settings().lease_s, woke_at);
  for (int machine = 0; machine < GetParam(); ++machine) {
    begin_epoch(machine);
    report(machine, woke_at + 0.5);
  }
  EXPECT_EQ(count_unreachable(), 0);
}

// The response to an announcement gets no reply, so commands for it are not sent. If they counted
// as sent, a single lost reply would make the machine unreachable.
TEST_F(SchedulerGuards, CommandsForTheResponseToAnAnnouncementCountAsNotSent) {
  scheduler.on_machine_list(
      {{"m-1", "10.0.0.1:1", "box", "a", false, ListedMachine::State::running, 100}}, 0, 0);
  const auto call = scheduler.next_direct_command(1.5);
  ASSERT_TRUE(call && call->commands.empty());
  const std::vector<TaskStatus> unknown = {task("wk-000009", TaskPhase::running)};
  scheduler.on_direct_command_result(*call, true, heartbeat(1, 1, unknown), 1.5);
  ASSERT_TRUE(m1().registered);
  scheduler.on_heartbeat(heartbeat(1, 2, unknown), 2);
  scheduler.on_heartbeat(heartbeat(1, 3, unknown), 3);  // the reply before was lost
  EXPECT_FALSE(m1().is_unreachable());
  scheduler.on_heartbeat(heartbeat(1, 4, unknown), 4);
  EXPECT_TRUE(m1().is_unreachable());
}

}  // namespace
}  // namespace rookdyke
