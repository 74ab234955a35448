// Heartbeats: what they prove, which are ignored, and which machines count as silent or
// unreachable.

#include <gtest/gtest.h>

#include <string>

#include "scheduler/scheduler.h"
#include "scheduler/scheduler_fixtures.h"

namespace rookdyke {
namespace {

using namespace test;

// A heartbeat that its worker sent before it knew our token proves nothing and is given no
// commands.
TEST(Scheduler, AHeartbeatWithAnOlderTokenProvesNothing) {
  Scheduler scheduler = one_zone_scheduler();
  Heartbeat r = heartbeat_of_m1();
  r.epoch = 1;
  r.seq = 4;
  r.fencing_token = 6;
  r.notice_s = 3;
  r.tasks = {{"wk-000009", 0, 1, TaskPhase::running, ExitCause::none, false}};
  EXPECT_TRUE(scheduler.on_heartbeat(r, 1).commands.empty());
  EXPECT_EQ(scheduler.machines().at(0)->state, MachineState::booting);
  EXPECT_FALSE(scheduler.machines().at(0)->registered);
  EXPECT_LT(scheduler.machines().at(0)->reclaim_at, 0);
  r.fencing_token = 7;
  r.seq = 5;
  r.notice_s = -1;
  EXPECT_EQ(scheduler.on_heartbeat(r, 2).commands.size(),
            1u);  // what the ledger does not know is stopped
  EXPECT_TRUE(scheduler.machines().at(0)->registered);
  r.seq = 4;
  EXPECT_EQ(scheduler.on_heartbeat(r, 9).verdict, HeartbeatReply::Verdict::outdated);
  EXPECT_DOUBLE_EQ(scheduler.machines().at(0)->last_heartbeat, 2);
}

// A heartbeat of an unknown type or zone neither ends the leader nor takes a known machine's type
// away.
TEST(Scheduler, AHeartbeatOfAnUnknownTypeIsTolerated) {
  Scheduler scheduler = one_zone_scheduler();
  scheduler.on_machine_list({{"m-2", "h:1", "box", "a", false, ListedMachine::State::running, 10}},
                            0, 0);
  scheduler.on_job_row(one_task_job(3), "wk-000001", 1);
  for (const char* machine : {"m-1", "m-2"}) {
    Heartbeat r = heartbeat_of_m1();
    r.machine = machine;
    r.type = "round";
    r.zone = "nowhere";
    r.epoch = r.seq = 1;
    r.fencing_token = 7;
    r.tasks = {{"wk-000001", 4000000000u, UINT64_MAX, TaskPhase::running, ExitCause::none, false}};
    EXPECT_EQ(scheduler.on_heartbeat(r, 1).commands.size(), 1u);
    r.tasks.clear();
    ++r.seq;
    scheduler.on_heartbeat(r, 2);
  }
  for (int i = 3; i < 20; ++i) {
    scheduler.round(i);
    scheduler.next_transaction(i);
  }
  EXPECT_EQ(scheduler.machines().at(0)->type, 0u);  // m-2, as the cloud lists it
  EXPECT_EQ(scheduler.machines().at(1)->type, kNone);
  EXPECT_TRUE(scheduler.machines().at(1)->tasks.empty());
}

// After a pause of its process a leader must not take what it missed for silence of the machines.
TEST(Scheduler, AProcessStallIsNotTakenForSilentMachines) {
  Scheduler stalled(bare_settings(), {bare_type()}, 7, 0),
      other(bare_settings(), {bare_type()}, 7, 0);
  for (Scheduler* c : {&stalled, &other})
    for (int i = 0; i < 10; ++i) c->on_heartbeat(bare_heartbeat(i, 1, 7), 1);
  stalled.on_process_stall(40, 41);
  EXPECT_FALSE(stalled.receives_no_heartbeats(41.1));
  EXPECT_TRUE(other.receives_no_heartbeats(41.1));
  stalled.round(41.1);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(state_of(stalled, i), MachineState::ready);
  EXPECT_TRUE(stalled.receives_no_heartbeats(60));  // silence from then on counts
}

// Heartbeats that a partition held back arrive together, all with an older token: they do not show
// a machine that receives none of our answers.
TEST(Scheduler, DelayedHeartbeatsDoNotMakeAMachineUnreachable) {
  Scheduler scheduler(bare_settings(), {bare_type()}, 7, 0);
  for (uint64_t seq = 1; seq <= 6; ++seq) scheduler.on_heartbeat(bare_heartbeat(0, seq, 3), 10);
  scheduler.round(19);
  EXPECT_EQ(state_of(scheduler, 0), MachineState::booting);
  // One that goes on like that for long is replaced.
  for (uint64_t seq = 7; seq <= 9; ++seq)
    scheduler.on_heartbeat(bare_heartbeat(0, seq, 3), 10 + 5.0 * static_cast<double>(seq - 6));
  scheduler.round(26);
  EXPECT_EQ(state_of(scheduler, 0), MachineState::terminating);
}

// A machine that the cloud lists as running before its first heartbeat has only just booted.
TEST(Scheduler, AMachineIsNotSilentBeforeItHasBooted) {
  Scheduler scheduler(bare_settings(), {bare_type()}, 7, 0);
  ListedMachine l{"m-0", "10.0.0.1:1", "box", "a", false, ListedMachine::State::booting, 5};
  scheduler.on_machine_list({l}, 5, 5);
  l.state = ListedMachine::State::running;
  scheduler.on_machine_list({l}, 60, 60);
  scheduler.round(61);
  EXPECT_EQ(state_of(scheduler, 0), MachineState::booting);
  scheduler.round(61 + 40);
  EXPECT_EQ(state_of(scheduler, 0), MachineState::terminating);
}

// Many that fall silent together are waited for as long as replacing them would take, a few are
// not.
TEST(Scheduler, ManySilentMachinesAreNotReplacedAtOnce) {
  for (const int silent : {2, 10}) {
    Settings settings = bare_settings();
    settings.tuning.scale_in_delay_s = 1000;
    Scheduler scheduler(settings, {bare_type()}, 7, 0);
    double now = 1;
    for (uint64_t seq = 1; now < 70; ++seq, now += 2.5) {
      for (int i = seq > 4 ? silent : 0; i < 120; ++i)
        scheduler.on_heartbeat(bare_heartbeat(i, seq, 7), now);
      scheduler.round(now);
      if (now < 40 || now > 60) continue;
      EXPECT_EQ(state_of(scheduler, 0),
                silent == 2 ? MachineState::terminating : MachineState::ready);
    }
    EXPECT_EQ(state_of(scheduler, 119), MachineState::ready);
  }
}

// Heartbeats that acknowledge nothing of the answers to earlier ones: the machine is unreachable.
TEST(Scheduler, AMachineThatAcknowledgesNothingTakesNoWork) {
  Scheduler scheduler(bare_settings(), {bare_type()}, 7, 0);
  scheduler.load(ledger_with_a_task_on_m1(ledger::JobStatus::open, 1), 0);
  for (uint64_t seq = 1; seq <= 3; ++seq) {
    EXPECT_FALSE(scheduler.machines().at(0)->is_unreachable());
    scheduler.on_heartbeat(bare_heartbeat(1, seq, 7), static_cast<double>(seq));
  }
  EXPECT_TRUE(scheduler.machines().at(0)->is_unreachable());
  scheduler.terminate_machines_with_cancelled_tasks(4);
  EXPECT_EQ(state_of(scheduler, 1), MachineState::ready);  // nothing cancelled is on it
  scheduler.round(4);
  scheduler.round(13);
  EXPECT_EQ(state_of(scheduler, 1), MachineState::terminating);
}

}  // namespace
}  // namespace rookdyke
