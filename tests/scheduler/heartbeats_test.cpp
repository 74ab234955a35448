// Heartbeats: which are accepted, and which machines are treated as timed out or unreachable.

#include <gtest/gtest.h>

#include <string>

#include "scheduler/scheduler.h"
#include "scheduler/scheduler_fixtures.h"

namespace rookdyke {
namespace {

using namespace test;

// A heartbeat that its worker sent before it knew the leader's fencing token does not register the
// machine. Its reclaim notice is ignored, and the reply has no commands.
TEST(Scheduler, AHeartbeatWithAnOlderTokenDoesNotRegisterItsMachine) {
  Scheduler scheduler = one_zone_scheduler();
  Heartbeat heartbeat = heartbeat_of_m1();
  heartbeat.epoch = 1;
  heartbeat.seq = 4;
  heartbeat.fencing_token = 6;
  heartbeat.notice_s = 3;
  heartbeat.tasks = {{"wk-000009", 0, 1, TaskPhase::running, ExitCause::none, false}};
  EXPECT_TRUE(scheduler.on_heartbeat(heartbeat, 1).commands.empty());
  EXPECT_EQ(scheduler.machines().at(0)->state, MachineState::booting);
  EXPECT_FALSE(scheduler.machines().at(0)->registered);
  EXPECT_LT(scheduler.machines().at(0)->reclaim_at, 0);
  heartbeat.fencing_token = 7;
  heartbeat.seq = 5;
  heartbeat.notice_s = -1;
  EXPECT_EQ(scheduler.on_heartbeat(heartbeat, 2).commands.size(),
            1u);  // a stop for the attempt that is not in the ledger
  EXPECT_TRUE(scheduler.machines().at(0)->registered);
  heartbeat.seq = 4;
  EXPECT_EQ(scheduler.on_heartbeat(heartbeat, 9).verdict, HeartbeatReply::Verdict::outdated);
  EXPECT_DOUBLE_EQ(scheduler.machines().at(0)->last_heartbeat, 2);
}

// A heartbeat with an unknown machine type or zone neither ends the leadership nor replaces the
// type of a known machine.
TEST(Scheduler, AHeartbeatOfAnUnknownTypeIsTolerated) {
  Scheduler scheduler = one_zone_scheduler();
  scheduler.on_machine_list({{"m-2", "h:1", "box", "a", false, ListedMachine::State::running, 10}},
                            0, 0);
  scheduler.on_job_row(one_task_job(3), "wk-000001", 1);
  for (const char* machine : {"m-1", "m-2"}) {
    Heartbeat heartbeat = heartbeat_of_m1();
    heartbeat.machine = machine;
    heartbeat.type = "round";
    heartbeat.zone = "nowhere";
    heartbeat.epoch = heartbeat.seq = 1;
    heartbeat.fencing_token = 7;
    heartbeat.tasks = {
        {"wk-000001", 4000000000u, UINT64_MAX, TaskPhase::running, ExitCause::none, false}};
    EXPECT_EQ(scheduler.on_heartbeat(heartbeat, 1).commands.size(), 1u);
    heartbeat.tasks.clear();
    ++heartbeat.seq;
    scheduler.on_heartbeat(heartbeat, 2);
  }
  for (int i = 3; i < 20; ++i) {
    scheduler.round(i);
    scheduler.next_transaction(i);
  }
  EXPECT_EQ(scheduler.machines().at(0)->type, 0u);  // m-2, as the cloud lists it
  EXPECT_EQ(scheduler.machines().at(1)->type, kNone);
  EXPECT_TRUE(scheduler.machines().at(1)->tasks.empty());
}

// Heartbeats that a leader could not receive while its process was suspended must not count as
// missed.
TEST(Scheduler, AProcessStallDoesNotCountAsMissedHeartbeats) {
  Scheduler stalled(bare_settings(), {bare_type()}, 7, 0),
      running(bare_settings(), {bare_type()}, 7, 0);
  for (Scheduler* scheduler : {&stalled, &running})
    for (int i = 0; i < 10; ++i) scheduler->on_heartbeat(bare_heartbeat(i, 1, 7), 1);
  stalled.on_process_stall(40, 41);
  EXPECT_FALSE(stalled.receives_no_heartbeats(41.1));
  EXPECT_TRUE(running.receives_no_heartbeats(41.1));
  stalled.round(41.1);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(state_of(stalled, i), MachineState::ready);
  EXPECT_TRUE(stalled.receives_no_heartbeats(60));  // heartbeats missed after the stall count
}

// Heartbeats that were delayed by a partition arrive together, all with an older fencing token.
// They do not show that the machine does not receive the replies.
TEST(Scheduler, DelayedHeartbeatsDoNotMakeAMachineUnreachable) {
  Scheduler scheduler(bare_settings(), {bare_type()}, 7, 0);
  for (uint64_t seq = 1; seq <= 6; ++seq) scheduler.on_heartbeat(bare_heartbeat(0, seq, 3), 10);
  scheduler.round(19);
  EXPECT_EQ(state_of(scheduler, 0), MachineState::booting);
  // A machine that keeps sending an older token is replaced.
  for (uint64_t seq = 7; seq <= 9; ++seq)
    scheduler.on_heartbeat(bare_heartbeat(0, seq, 3), 10 + 5.0 * static_cast<double>(seq - 6));
  scheduler.round(26);
  EXPECT_EQ(state_of(scheduler, 0), MachineState::terminating);
}

// A machine that the cloud lists as running before its first heartbeat has only just booted, so the
// heartbeat timeout starts when it is listed as running.
TEST(Scheduler, BootTimeDoesNotCountAsMissedHeartbeats) {
  Scheduler scheduler(bare_settings(), {bare_type()}, 7, 0);
  ListedMachine listed{"m-0", "10.0.0.1:1", "box", "a", false, ListedMachine::State::booting, 5};
  scheduler.on_machine_list({listed}, 5, 5);
  listed.state = ListedMachine::State::running;
  scheduler.on_machine_list({listed}, 60, 60);
  scheduler.round(61);
  EXPECT_EQ(state_of(scheduler, 0), MachineState::booting);
  scheduler.round(61 + 40);
  EXPECT_EQ(state_of(scheduler, 0), MachineState::terminating);
}

// If many machines miss heartbeats at the same time, the leader waits at least as long as replacing
// them would take. A few such machines are replaced after the regular heartbeat timeout.
TEST(Scheduler, AMassOutageDelaysTheReplacementOfMachines) {
  for (const int timed_out : {2, 10}) {
    Settings settings = bare_settings();
    settings.tuning.scale_in_delay_s = 1000;
    Scheduler scheduler(settings, {bare_type()}, 7, 0);
    double now = 1;
    for (uint64_t seq = 1; now < 70; ++seq, now += 2.5) {
      for (int i = seq > 4 ? timed_out : 0; i < 120; ++i)
        scheduler.on_heartbeat(bare_heartbeat(i, seq, 7), now);
      scheduler.round(now);
      if (now < 40 || now > 60) continue;
      EXPECT_EQ(state_of(scheduler, 0),
                timed_out == 2 ? MachineState::terminating : MachineState::ready);
    }
    EXPECT_EQ(state_of(scheduler, 119), MachineState::ready);
  }
}

// A machine whose heartbeats acknowledge no command of the previous replies is unreachable. It is
// replaced after a timeout, not at once.
TEST(Scheduler, AMachineThatAcknowledgesNoCommandsIsReplaced) {
  Scheduler scheduler(bare_settings(), {bare_type()}, 7, 0);
  scheduler.load(ledger_with_task_on_m1(ledger::JobStatus::open, 1), 0);
  for (uint64_t seq = 1; seq <= 3; ++seq) {
    EXPECT_FALSE(scheduler.machines().at(0)->is_unreachable());
    scheduler.on_heartbeat(bare_heartbeat(1, seq, 7), static_cast<double>(seq));
  }
  EXPECT_TRUE(scheduler.machines().at(0)->is_unreachable());
  scheduler.terminate_machines_with_cancelled_tasks(4);
  EXPECT_EQ(state_of(scheduler, 1), MachineState::ready);  // it has no tasks of cancelled jobs
  scheduler.round(4);
  scheduler.round(13);
  EXPECT_EQ(state_of(scheduler, 1), MachineState::terminating);
}

}  // namespace
}  // namespace rookdyke
