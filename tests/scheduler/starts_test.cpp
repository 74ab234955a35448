// Starts whose machine changes between the decision, the write and the command. The comments above
// the tests describe the failures that the guards prevent.

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "scheduler/scheduler_guards_fixture.h"

namespace rookdyke {
namespace {

using namespace test;

// Invariant 1: a start is written only if the leader key, its page and its job's row have not
// changed.
TEST(Scheduler, AStartIsConditionalOnLeaderKeyPageAndJob) {
  Scheduler scheduler(bare_settings(), {bare_type()}, 7, 0);
  scheduler.load(ledger_with_task_on_m1(ledger::JobStatus::open, 1), 0);
  scheduler.on_heartbeat(bare_heartbeat(1, 1, 7), 1);
  scheduler.round(1);
  bool started = false;
  while (const auto p = scheduler.next_transaction(1)) {
    if (p->transaction.changes.at(0).key != "rd/t/0") continue;
    started = true;
    std::map<std::string, uint64_t> conditions;
    for (const auto& c : p->transaction.conditions) conditions[c.key] = c.version;
    EXPECT_EQ(conditions, (std::map<std::string, uint64_t>{
                              {"rd/leader", 7}, {"rd/t/0", 4}, {"rd/j/wk-000001", 3}}));
  }
  EXPECT_TRUE(started);
}

// A proposed start that has become invalid before it is written must not be written: its task would
// wait for a machine that starts nothing.
class ProposedStart : public SchedulerGuards {
 protected:
  // Proposes a start on m-1, calls `change`, and returns the starts that are then written.
  std::vector<ledger::LiveAttempt> written_after(const std::function<void()>& change) {
    submit("wk-000003", 4);
    scheduler.round(4);
    EXPECT_EQ(state_of_task("wk-000003"), AttemptState::proposed);
    change();
    std::vector<ledger::LiveAttempt> attempts;
    while (const auto p = next_page_write(8)) {
      for (const ledger::LiveAttempt& attempt : live_attempts(*p)) attempts.push_back(attempt);
      apply(*p, 8);
    }
    return attempts;
  }
};

TEST_F(ProposedStart, AStartOnAMachineThatHasNotChangedIsWritten) {
  scheduler.on_heartbeat(heartbeat(1, 1), 1);
  EXPECT_EQ(written_after([] {}).size(), 1u);
}

TEST_F(ProposedStart, NoStartIsWrittenForACordonedMachine) {
  run_two_jobs();
  EXPECT_TRUE(
      written_after([&] { scheduler.on_heartbeat(heartbeat_of_two_failures(4), 5); }).empty());
  EXPECT_TRUE(m1().cordoned);
}

TEST_F(ProposedStart, NoStartIsWrittenForAMachineWithAReclaimNotice) {
  scheduler.on_heartbeat(heartbeat(1, 1), 1);
  EXPECT_TRUE(written_after([&] {
                Heartbeat with_notice = heartbeat(1, 2);
                with_notice.notice_s = 20;
                scheduler.on_heartbeat(with_notice, 5);
              }).empty());
}

TEST_F(ProposedStart, NoStartIsWrittenForAMachineThatFailed) {
  scheduler.on_heartbeat(heartbeat(1, 1), 1);
  EXPECT_TRUE(written_after([&] {
                scheduler.on_machine_list(
                    {{"m-1", "", "box", "a", false, ListedMachine::State::failed, 10}}, 5, 5);
              }).empty());
  EXPECT_EQ(m1().state, MachineState::terminating);
}

// The worker lost its lease: its next heartbeat would end an attempt that was started under the
// earlier epoch.
TEST_F(ProposedStart, NoStartIsWrittenForAnEarlierEpoch) {
  scheduler.on_heartbeat(heartbeat(1, 1), 1);
  EXPECT_TRUE(written_after([&] { scheduler.on_heartbeat(heartbeat(2, 1), 5); }).empty());
  EXPECT_TRUE(scheduler.find_job("wk-000003")->waiting.count(0));
}

// The machine is cordoned while the write is in flight: the start becomes durable, but must not be
// commanded.
TEST_F(SchedulerGuards, AStartThatBecomesDurableOnACordonedMachineIsNotCommanded) {
  run_two_jobs();
  submit("wk-000003", 4);
  scheduler.round(4);
  const auto p = next_page_write(4);
  ASSERT_TRUE(p);
  ASSERT_EQ(state_of_task("wk-000003"), AttemptState::proposed);
  scheduler.on_heartbeat(heartbeat_of_two_failures(4), 5);
  ASSERT_TRUE(m1().cordoned);
  apply(*p, 6);
  EXPECT_EQ(direct_starts(6), 0u);
  EXPECT_EQ(count_starts(scheduler.on_heartbeat(heartbeat(1, 5), 7).commands), 0u);
  EXPECT_TRUE(scheduler.find_job("wk-000003")->attempts.at(0).stop_requested ||
              state_of_task("wk-000003") == AttemptState::ended);
}

// If a start committed for an earlier epoch were commanded in a later one, the next heartbeat of
// that epoch would show the attempt as ended while its task runs, and the task would be started
// elsewhere as well. The start is stopped when its page becomes durable, and direct commands
// compare the epochs; either suffices.
TEST_F(SchedulerGuards, AStartCommittedForAnEarlierEpochIsNotCommanded) {
  scheduler.on_heartbeat(heartbeat(1, 1), 1);
  submit("wk-000001", 1);
  scheduler.round(1);
  const auto p = next_page_write(1);
  ASSERT_TRUE(p);
  ASSERT_EQ(live_attempts(*p).size(), 1u);
  // The interval without heartbeats is long enough for the worker's lease to expire, so no lost
  // replies are assumed.
  scheduler.on_heartbeat(heartbeat(2, 1), 20);
  apply(*p, 21);
  EXPECT_EQ(direct_starts(21), 0u);
  EXPECT_EQ(count_starts(scheduler.on_heartbeat(heartbeat(2, 2), 22).commands), 0u);
  EXPECT_EQ(state_of_task("wk-000001"), AttemptState::ended);
}

// No controller replied for longer than a lease: the worker ended all tasks, and its first
// heartbeat to the new leader has the next epoch. If the task were started again under its old
// attempt, it would run in an epoch that the ledger does not contain, and the first heartbeat to
// the next leader would show the attempt as ended while the task runs.
TEST_F(SchedulerGuards, TasksOfAnEarlierEpochStartUnderANewAttempt) {
  scheduler.load(ledger_with_task_on_m1(ledger::JobStatus::open, 1), 0);
  EXPECT_TRUE(scheduler.on_heartbeat(heartbeat(2, 1), 1).commands.empty());
  EXPECT_EQ(state_of_task("wk-000001"), AttemptState::ended);
  const auto ends = next_page_write(5);
  ASSERT_TRUE(ends);
  EXPECT_TRUE(live_attempts(*ends).empty());
  apply(*ends, 5);
  scheduler.on_heartbeat(heartbeat(2, 2), 6);
  scheduler.round(6);
  const auto starts = next_page_write(6);
  ASSERT_TRUE(starts);
  for (const ledger::LiveAttempt& attempt : live_attempts(*starts)) {
    EXPECT_EQ(attempt.epoch, 2u);
    EXPECT_EQ(attempt.attempt, 2u);
  }
}

}  // namespace
}  // namespace rookdyke
