// Delayed and repeated copies of direct commands that were executed. A worker refuses a copy once
// it has seen a higher token. The comment above each test describes the failure that the guard
// prevents.

#include <gtest/gtest.h>

#include "scheduler/scheduler_guards_fixture.h"

namespace rookdyke {
namespace {

using namespace test;

// Tasks of m-1 that were started by direct commands.
class CommandFenceTest : public SchedulerGuards {
 protected:
  static constexpr uint64_t kNone = 0;

  // Starts the first task of a new job by a direct command, which the worker executes.
  DirectCommand start_directly(const std::string& job, double now) {
    submit(job, now);
    start_all(now);
    const auto call = scheduler.next_direct_command(now);
    EXPECT_TRUE(call && count_starts(call->commands) == 1);
    if (!call) return {};
    listed.push_back(task(job, TaskPhase::running));
    scheduler.on_direct_command_result(*call, true, next_heartbeat(call->fencing_token), now);
    return *call;
  }
  void exit(const std::string& job, ExitCause cause) {
    for (TaskStatus& status : listed)
      if (status.job == job) status = task(job, TaskPhase::exited, cause);
  }
  Heartbeat next_heartbeat(uint64_t token) {
    Heartbeat message = heartbeat(1, ++seq, listed);
    message.fencing_token = seen = std::max(seen, token);
    return message;
  }
  HeartbeatReply report(double now) { return scheduler.on_heartbeat(next_heartbeat(kNone), now); }
  void write_all(double now) {
    while (auto p = scheduler.next_transaction(now)) apply(*p, now);
  }
  static size_t count_forgets(const HeartbeatReply& reply) {
    return static_cast<size_t>(std::count_if(
        reply.commands.begin(), reply.commands.end(),
        [](const WorkerCommand& command) { return command.kind == CommandKind::forget; }));
  }
  // An attempt that was started directly exits, and its end is written.
  void expect_forgotten_with_higher_token(ExitCause cause) {
    report(1);
    const DirectCommand call = start_directly("wk-000001", 1);
    exit("wk-000001", cause);
    EXPECT_EQ(count_forgets(report(2)), 0u);  // its end is not durable yet
    write_all(20);
    const HeartbeatReply reply = report(21);
    EXPECT_EQ(count_forgets(reply), 1u);
    EXPECT_GT(reply.fencing_token, call.fencing_token);
  }

  std::vector<TaskStatus> listed;
  uint64_t seq = 0, seen = kLeaderToken;
};

// If the token stayed the same, a copy of the start would start the forgotten attempt again, beside
// the next attempt of its task.
TEST_F(CommandFenceTest, AnAttemptIsForgottenWithATokenAboveThatOfItsDirectStart) {
  expect_forgotten_with_higher_token(ExitCause::error);
}

// A start that was refused for lack of room would succeed when its copy comes.
TEST_F(CommandFenceTest, ARefusedStartIsForgottenWithAHigherToken) {
  expect_forgotten_with_higher_token(ExitCause::insufficient_resources);
}

// A copy would start a task of a job whose user has been told that it is cancelled. The end of such
// a task is not written.
TEST_F(CommandFenceTest, AnAttemptOfACancelledJobIsForgottenWithAHigherToken) {
  report(1);
  const DirectCommand call = start_directly("wk-000001", 1);
  CachedJob row = job_row(1, ++revision);
  row.row.status = ledger::JobStatus::cancelled;
  scheduler.on_job_row(row, "wk-000001", 2);
  exit("wk-000001", ExitCause::stopped);
  report(3);
  const HeartbeatReply reply = report(4);
  EXPECT_EQ(count_forgets(reply), 1u);
  EXPECT_GT(reply.fencing_token, call.fencing_token);
}

// An attempt that was forgotten without a higher token, because there is none yet, could be started
// again by a copy.
TEST_F(CommandFenceTest, AnExitedAttemptStaysListedUntilTheLedgerHasChanged) {
  report(1);
  start_directly("wk-000001", 1);
  exit("wk-000001", ExitCause::done);
  for (const double now : {2, 7, 12, 17}) report(now);
  submit("wk-000002", 17);
  start_all(20);
  const HeartbeatReply forgets_first = report(20);
  ASSERT_EQ(count_forgets(forgets_first), 1u);  // the worker does not receive it
  const auto call = scheduler.next_direct_command(20);
  ASSERT_TRUE(call && count_starts(call->commands) == 1);
  EXPECT_EQ(call->fencing_token, forgets_first.fencing_token);
  listed.push_back(task("wk-000002", TaskPhase::running));
  scheduler.on_direct_command_result(*call, true, next_heartbeat(call->fencing_token), 20);
  EXPECT_EQ(count_forgets(report(21)), 0u);
  submit("wk-000003", 22);
  start_all(22);
  const HeartbeatReply forgets_later = report(22);
  EXPECT_EQ(count_forgets(forgets_later), 1u);
  EXPECT_GT(forgets_later.fencing_token, call->fencing_token);
}

// The worker would refuse the call, and its starts would wait for the next heartbeat.
TEST_F(CommandFenceTest, TheTokenIsNotRaisedWhileACallIsInFlight) {
  report(1);
  start_directly("wk-000001", 1);
  exit("wk-000001", ExitCause::done);
  for (const double now : {2, 7, 12, 17}) report(now);
  submit("wk-000002", 17);
  start_all(20);
  const auto call = scheduler.next_direct_command(20);
  ASSERT_TRUE(call && count_starts(call->commands) == 1);
  const HeartbeatReply reply = report(20.1);
  EXPECT_EQ(count_forgets(reply), 0u);
  EXPECT_EQ(reply.fencing_token, call->fencing_token);
  listed.push_back(task("wk-000002", TaskPhase::running));
  scheduler.on_direct_command_result(*call, true, next_heartbeat(call->fencing_token), 20.2);
  EXPECT_EQ(count_forgets(report(21)), 1u);
}

// A leader that took its own raised token for a successor's would step down.
TEST_F(CommandFenceTest, ARaisedTokenDoesNotDeposeTheLeaderThatRaisedIt) {
  report(1);
  start_directly("wk-000001", 1);
  exit("wk-000001", ExitCause::done);
  report(2);
  write_all(20);
  seen = report(21).fencing_token;
  ASSERT_GT(seen, kLeaderToken);
  listed.clear();
  EXPECT_EQ(report(22).verdict, HeartbeatReply::Verdict::accepted);
  EXPECT_FALSE(scheduler.has_lost_leadership());
  EXPECT_GE(start_directly("wk-000002", 23).fencing_token, seen);
}

// A leader that took a successor's token for its own would go on commanding workers.
TEST_F(CommandFenceTest, ATokenThatNoTransactionOfTheLeaderConfirmsDeposesIt) {
  report(1);
  start_directly("wk-000001", 1);
  seen = revision + 1;
  EXPECT_EQ(report(2).verdict, HeartbeatReply::Verdict::deposed);
  EXPECT_TRUE(scheduler.has_lost_leadership());
}

// A worker drops a reply with a lower token than it has seen, and its lease is not extended.
TEST_F(CommandFenceTest, EveryReplyCarriesAtLeastTheTokenThatTheWorkerHasSeen) {
  report(1);
  start_directly("wk-000001", 1);
  exit("wk-000001", ExitCause::done);
  report(2);
  write_all(20);
  const Heartbeat earlier = next_heartbeat(kNone);
  seen = report(21).fencing_token;
  EXPECT_GE(report(22).fencing_token, seen);
  const HeartbeatReply outdated = scheduler.on_heartbeat(earlier, 23);
  EXPECT_EQ(outdated.verdict, HeartbeatReply::Verdict::outdated);
  EXPECT_GE(outdated.fencing_token, seen);
}

// A raised token makes the worker send a heartbeat more. Without a direct start since there is no
// copy to guard against.
TEST_F(CommandFenceTest, TheTokenIsNotRaisedWithoutADirectStart) {
  report(1);
  submit("wk-000001", 1);
  start_all(1);
  ASSERT_EQ(count_starts(report(2).commands), 1u);
  listed = {task("wk-000001", TaskPhase::running)};
  report(3);
  exit("wk-000001", ExitCause::done);
  report(4);
  write_all(20);
  const HeartbeatReply reply = report(21);
  EXPECT_EQ(count_forgets(reply), 1u);
  EXPECT_EQ(reply.fencing_token, kLeaderToken);
}

// The machine would be refused to the waiting tasks of the job until its epoch or the leader
// changes.
TEST_F(CommandFenceTest, AnUnansweredDirectStartKeepsNoOtherTaskOfItsJobFromTheMachine) {
  report(1);
  submit("wk-000001", 1, 8);
  start_all(1);
  const auto call = scheduler.next_direct_command(1);
  ASSERT_TRUE(call && count_starts(call->commands) == 4);
  scheduler.on_direct_command_result(*call, false, std::nullopt, 2);
  for (uint32_t i = 0; i < 4; ++i)
    listed.push_back({"wk-000001", i, 1, TaskPhase::exited, ExitCause::done, false});
  for (const double now : {2, 7, 12}) report(now);
  start_all(12);
  listed.clear();
  report(13);
  start_all(13);
  EXPECT_EQ(scheduler.find_job("wk-000001")->attempts.size(), 4u);
}

// Its task would start elsewhere, and beside it a copy of the command that nobody answered.
TEST_F(CommandFenceTest, AnUnlistedAttemptEndsOnceTheWorkerRefusesItsDirectStart) {
  report(1);
  submit("wk-000001", 1);
  start_all(1);
  const auto call = scheduler.next_direct_command(1);
  ASSERT_TRUE(call && count_starts(call->commands) == 1);
  scheduler.on_direct_command_result(*call, false, std::nullopt, 2);
  CachedJob row = job_row(1, ++revision);
  row.row.status = ledger::JobStatus::cancelled;
  scheduler.on_job_row(row, "wk-000001", 2);
  const HeartbeatReply reply = report(3);
  EXPECT_TRUE(scheduler.find_job("wk-000001"));
  EXPECT_EQ(count_starts(reply.commands), 0u);  // not even to be stopped at once
  EXPECT_GT(reply.fencing_token, call->fencing_token);
  report(4);  // sent before the worker received that reply
  EXPECT_TRUE(scheduler.find_job("wk-000001"));
  seen = reply.fencing_token;
  report(5);
  EXPECT_FALSE(scheduler.find_job("wk-000001"));
}

// Without a write of the leader there would be no higher token, and the attempt would never end.
TEST_F(CommandFenceTest, TheLedgerIsWrittenIfAHigherTokenIsNeeded) {
  report(1);
  start_directly("wk-000001", 1);
  exit("wk-000001", ExitCause::done);
  for (const double now : {2, 7, 12, 17}) report(now);
  submit("wk-000002", 17);
  start_all(20);
  const HeartbeatReply forgets_first = report(20);
  const auto call = scheduler.next_direct_command(20);
  ASSERT_TRUE(call && count_starts(call->commands) == 1);
  ASSERT_EQ(call->fencing_token, forgets_first.fencing_token);
  scheduler.on_direct_command_result(*call, false, std::nullopt, 21);
  CachedJob row = job_row(1, ++revision);
  row.row.status = ledger::JobStatus::cancelled;
  scheduler.on_job_row(row, "wk-000002", 21);
  listed.clear();
  EXPECT_EQ(report(22).fencing_token, call->fencing_token);
  write_all(30);
  seen = report(30).fencing_token;
  EXPECT_GT(seen, call->fencing_token);
  report(31);
  EXPECT_FALSE(scheduler.find_job("wk-000002"));
}

// A worker whose epoch rose refuses every copy of earlier calls; nothing needs to be raised for it.
TEST_F(CommandFenceTest, DirectStartsOfAnEarlierEpochNeedNoHigherToken) {
  report(1);
  start_directly("wk-000001", 1);
  listed = {task("wk-000009", TaskPhase::exited, ExitCause::done)};  // unknown to the leader
  const HeartbeatReply reply = scheduler.on_heartbeat(heartbeat(2, ++seq, listed), 20);
  EXPECT_EQ(count_forgets(reply), 1u);
  EXPECT_EQ(reply.fencing_token, kLeaderToken);
}

}  // namespace
}  // namespace rookdyke
