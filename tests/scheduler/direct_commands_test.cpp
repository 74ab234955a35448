// Direct commands whose answers come late: what would go wrong without the guard is said above each
// test.

#include <gtest/gtest.h>

#include "scheduler/scheduler_guards_fixture.h"

namespace rookdyke {
namespace {

using namespace test;

// A worker's lease ends while the answer to a direct command is delayed. Taken for the new epoch's,
// the answer's number would make the heartbeats that follow look old, and the machine silent.
TEST_F(SchedulerGuards, ADirectAnswerOfAnEarlierEpochIsIgnored) {
  scheduler.on_heartbeat(heartbeat(1, 5), 1);
  submit("wk-000001", 1);
  start_all(1);
  const auto d = scheduler.next_direct_command(1);
  ASSERT_TRUE(d);
  ASSERT_EQ(count_starts(d->commands), 1u);
  scheduler.on_heartbeat(heartbeat(2, 1), 2);
  scheduler.on_direct_command_result(*d, true,
                                     heartbeat(1, 6, {task("wk-000001", TaskPhase::fetching)}), 3);
  EXPECT_EQ(m1().seq, 1u);
  EXPECT_EQ(scheduler.on_heartbeat(heartbeat(2, 2), 4).verdict, HeartbeatReply::Verdict::accepted);
  EXPECT_DOUBLE_EQ(m1().last_heartbeat, 4);
}

// A late direct answer must not make an older heartbeat the latest: a copy of one in between would
// count again, and what was started since would be missing from its list.
TEST_F(SchedulerGuards, ALateDirectAnswerLetsNoHeartbeatCountTwice) {
  scheduler.on_heartbeat(heartbeat(1, 1), 1);
  submit("wk-000001", 1);
  start_all(1);
  const auto d = scheduler.next_direct_command(1);
  ASSERT_TRUE(d);
  scheduler.on_heartbeat(heartbeat(1, 3, {task("wk-000001", TaskPhase::running)}), 2);
  submit("wk-000002", 2);
  start_all(2);
  const Heartbeat before = heartbeat(1, 4, {task("wk-000001", TaskPhase::running)});
  EXPECT_EQ(count_starts(scheduler.on_heartbeat(before, 3).commands), 1u);
  scheduler.on_heartbeat(
      heartbeat(1, 5,
                {task("wk-000001", TaskPhase::running), task("wk-000002", TaskPhase::running)}),
      4);
  ASSERT_EQ(state_of_task("wk-000002"), AttemptState::running);
  scheduler.on_direct_command_result(*d, true,
                                     heartbeat(1, 2, {task("wk-000001", TaskPhase::fetching)}), 5);
  EXPECT_EQ(scheduler.on_heartbeat(before, 6).verdict, HeartbeatReply::Verdict::outdated);
  EXPECT_EQ(state_of_task("wk-000002"), AttemptState::running);
}

}  // namespace
}  // namespace rookdyke
