// Delayed responses to direct commands. The comment above each test describes the failure that the
// guard prevents.

#include <gtest/gtest.h>

#include "scheduler/scheduler_guards_fixture.h"

namespace rookdyke {
namespace {

using namespace test;

// A worker's lease ends while its response to a direct command is delayed. If the sequence number
// in the response counted for the new epoch, later heartbeats would be ignored as outdated and the
// machine would time out.
TEST_F(SchedulerGuards, ADirectCommandResponseOfAnEarlierEpochIsIgnored) {
  scheduler.on_heartbeat(heartbeat(1, 5), 1);
  submit("wk-000001", 1);
  start_all(1);
  const auto call = scheduler.next_direct_command(1);
  ASSERT_TRUE(call);
  ASSERT_EQ(count_starts(call->commands), 1u);
  scheduler.on_heartbeat(heartbeat(2, 1), 2);
  scheduler.on_direct_command_result(*call, true,
                                     heartbeat(1, 6, {task("wk-000001", TaskPhase::fetching)}), 3);
  EXPECT_EQ(m1().seq, 1u);
  EXPECT_EQ(scheduler.on_heartbeat(heartbeat(2, 2), 4).verdict, HeartbeatReply::Verdict::accepted);
  EXPECT_DOUBLE_EQ(m1().last_heartbeat, 4);
}

// If a delayed response replaced the latest heartbeat, a second copy of a heartbeat sent between
// the two would be accepted again. Attempts started since are missing from its task list and would
// count as ended.
TEST_F(SchedulerGuards, ADelayedDirectCommandResponseLetsNoHeartbeatCountTwice) {
  scheduler.on_heartbeat(heartbeat(1, 1), 1);
  submit("wk-000001", 1);
  start_all(1);
  const auto call = scheduler.next_direct_command(1);
  ASSERT_TRUE(call);
  scheduler.on_heartbeat(heartbeat(1, 3, {task("wk-000001", TaskPhase::running)}), 2);
  submit("wk-000002", 2);
  start_all(2);
  const Heartbeat earlier = heartbeat(1, 4, {task("wk-000001", TaskPhase::running)});
  EXPECT_EQ(count_starts(scheduler.on_heartbeat(earlier, 3).commands), 1u);
  scheduler.on_heartbeat(
      heartbeat(1, 5,
                {task("wk-000001", TaskPhase::running), task("wk-000002", TaskPhase::running)}),
      4);
  ASSERT_EQ(state_of_task("wk-000002"), AttemptState::running);
  scheduler.on_direct_command_result(*call, true,
                                     heartbeat(1, 2, {task("wk-000001", TaskPhase::fetching)}), 5);
  EXPECT_EQ(scheduler.on_heartbeat(earlier, 6).verdict, HeartbeatReply::Verdict::outdated);
  EXPECT_EQ(state_of_task("wk-000002"), AttemptState::running);
}

}  // namespace
}  // namespace rookdyke
