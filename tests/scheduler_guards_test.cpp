// The scheduler's guards, each by the course of events that it is for: what would go wrong without
// it is said above the test. Messages arrive late, twice or not at all, as the protocol allows.

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "scheduler/scheduler.h"
#include "scheduler_fixtures.h"

namespace rookdyke {
namespace {

using namespace test;
using ledger::Outcome;

constexpr uint64_t kToken = 7;
constexpr uint64_t kPageLater = 100;  // revisions of what is written in these tests

// A leader with token 7 and machines that report by hand; four tasks fill one.
class CoreGuards : public testing::Test {
 protected:
  CoreGuards() : scheduler(bare_settings(), {bare_type()}, kToken, 0) {}

  static CachedJob job_row(uint32_t tasks, uint64_t version) {
    return bare_job(tasks, {4, 1, 4}, version);
  }
  void submit(const std::string& id, double now, uint32_t tasks = 1) {
    scheduler.on_job_row(job_row(tasks, ++revision), id, now);
  }
  static Heartbeat report(uint64_t epoch, uint64_t seq, std::vector<TaskStatus> tasks = {}) {
    Heartbeat r = bare_heartbeat(1, seq, kToken);
    r.epoch = epoch;
    r.tasks = std::move(tasks);
    return r;
  }
  static TaskStatus task(const std::string& job, TaskPhase seen,
                         ExitCause cause = ExitCause::none) {
    return {job, 0, 1, seen, cause, false};
  }
  // The next write of a page; what else is to be written is written.
  std::optional<PendingTransaction> page_write(double now) {
    while (auto p = scheduler.next_transaction(now)) {
      if (p->txn.changes.at(0).key.rfind(ledger::kTaskPrefix, 0) == 0) return p;
      apply(*p, now);
    }
    return std::nullopt;
  }
  void apply(const PendingTransaction& p, double now) {
    scheduler.on_result(p.id, {Outcome::applied, ++revision, {}}, now);
  }
  // Places what waits, and makes it durable.
  void start_all(double now) {
    scheduler.round(now);
    while (auto p = scheduler.next_transaction(now)) apply(*p, now);
  }
  // The starts that a write makes durable.
  static std::vector<ledger::LiveAttempt> live_in(const PendingTransaction& p) {
    std::vector<ledger::LiveAttempt> out;
    const auto page = ledger::decode_page(p.txn.changes.at(0).value);
    EXPECT_TRUE(page);
    if (page)
      for (const auto& e : page->entries)
        out.insert(out.end(), e.chunk.live.begin(), e.chunk.live.end());
    return out;
  }
  static size_t runs(const std::vector<WorkerCommand>& commands) {
    return static_cast<size_t>(
        std::count_if(commands.begin(), commands.end(),
                      [](const WorkerCommand& o) { return o.verb == CommandKind::start; }));
  }
  size_t direct_runs(double now) {
    const auto d = scheduler.next_direct_command(now);
    return d ? runs(d->commands) : 0;
  }
  const Machine& m1() const { return *scheduler.machines().at(0); }
  AttemptState state_of_task(const std::string& job) const {
    const Job* j = scheduler.find_job(job);
    return j && j->attempts.count(0) ? j->attempts.at(0).state : AttemptState::ended;
  }
  // m-1 runs a task of each of two jobs, which then fail: a machine that fails like that takes no
  // work any more.
  void run_two_jobs() {
    scheduler.on_heartbeat(report(1, 1), 1);
    submit("wk-000001", 1);
    submit("wk-000002", 1);
    start_all(1);
    scheduler.on_heartbeat(report(1, 2), 2);
    scheduler.on_heartbeat(
        report(1, 3,
               {task("wk-000001", TaskPhase::running), task("wk-000002", TaskPhase::running)}),
        3);
  }
  static Heartbeat both_failed(uint64_t seq) {
    return report(1, seq,
                  {task("wk-000001", TaskPhase::exited, ExitCause::error),
                   task("wk-000002", TaskPhase::exited, ExitCause::error)});
  }

  Scheduler scheduler;
  uint64_t revision = kPageLater;
};

// ---- answers to direct calls

// A worker's lease ends while the answer to a direct call is held up. Taken for the new session's,
// the answer's number would make the reports that follow look old, and the machine silent.
TEST_F(CoreGuards, ADirectAnswerOfAnEarlierSessionCountsForNothing) {
  scheduler.on_heartbeat(report(1, 5), 1);
  submit("wk-000001", 1);
  start_all(1);
  const auto d = scheduler.next_direct_command(1);
  ASSERT_TRUE(d);
  ASSERT_EQ(runs(d->commands), 1u);
  scheduler.on_heartbeat(report(2, 1), 2);
  scheduler.on_direct_command_result(*d, true,
                                     report(1, 6, {task("wk-000001", TaskPhase::fetching)}), 3);
  EXPECT_EQ(m1().seq, 1u);
  EXPECT_EQ(scheduler.on_heartbeat(report(2, 2), 4).verdict, HeartbeatReply::Verdict::accepted);
  EXPECT_DOUBLE_EQ(m1().last_heartbeat, 4);
}

// A late direct answer must not make an older report the latest: a copy of one in between would
// count again, and what was started since would be missing from its list.
TEST_F(CoreGuards, ALateDirectAnswerMakesNoReportCountTwice) {
  scheduler.on_heartbeat(report(1, 1), 1);
  submit("wk-000001", 1);
  start_all(1);
  const auto d = scheduler.next_direct_command(1);
  ASSERT_TRUE(d);
  scheduler.on_heartbeat(report(1, 3, {task("wk-000001", TaskPhase::running)}), 2);
  submit("wk-000002", 2);
  start_all(2);
  const Heartbeat before = report(1, 4, {task("wk-000001", TaskPhase::running)});
  EXPECT_EQ(runs(scheduler.on_heartbeat(before, 3).commands), 1u);
  scheduler.on_heartbeat(
      report(1, 5, {task("wk-000001", TaskPhase::running), task("wk-000002", TaskPhase::running)}),
      4);
  ASSERT_EQ(state_of_task("wk-000002"), AttemptState::running);
  scheduler.on_direct_command_result(*d, true,
                                     report(1, 2, {task("wk-000001", TaskPhase::fetching)}), 5);
  EXPECT_EQ(scheduler.on_heartbeat(before, 6).verdict, HeartbeatReply::Verdict::outdated);
  EXPECT_EQ(state_of_task("wk-000002"), AttemptState::running);
}

// ---- starts whose machine changes between the decision and the write

// A proposal that stands no more just before it is written is not written: its task would wait for
// a machine that takes nothing.
class ProposalStands : public CoreGuards {
 protected:
  // Proposes a start on m-1, lets `change` happen, and returns the starts that are then written.
  std::vector<ledger::LiveAttempt> written_after(const std::function<void()>& change) {
    submit("wk-000003", 4);
    scheduler.round(4);
    EXPECT_EQ(state_of_task("wk-000003"), AttemptState::proposed);
    change();
    std::vector<ledger::LiveAttempt> out;
    while (const auto p = page_write(8)) {
      for (const ledger::LiveAttempt& l : live_in(*p)) out.push_back(l);
      apply(*p, 8);
    }
    return out;
  }
};

TEST_F(ProposalStands, AStartOnAMachineThatHasNotChangedIsWritten) {
  scheduler.on_heartbeat(report(1, 1), 1);
  EXPECT_EQ(written_after([] {}).size(), 1u);
}

TEST_F(ProposalStands, NoStartIsWrittenForAMachineThatFailsEverything) {
  run_two_jobs();
  EXPECT_TRUE(written_after([&] { scheduler.on_heartbeat(both_failed(4), 5); }).empty());
  EXPECT_TRUE(m1().cordoned);
}

TEST_F(ProposalStands, NoStartIsWrittenForAMachineThatIsToBeTakenBack) {
  scheduler.on_heartbeat(report(1, 1), 1);
  EXPECT_TRUE(written_after([&] {
                Heartbeat r = report(1, 2);
                r.notice_s = 20;
                scheduler.on_heartbeat(r, 5);
              }).empty());
}

TEST_F(ProposalStands, NoStartIsWrittenForAMachineThatFailed) {
  scheduler.on_heartbeat(report(1, 1), 1);
  EXPECT_TRUE(written_after([&] {
                scheduler.on_machine_list(
                    {{"m-1", "", "box", "a", false, ListedMachine::State::failed, 10}}, 5, 5);
              }).empty());
  EXPECT_EQ(m1().state, MachineState::terminating);
}

// The worker lost its lease: a start under its earlier session would be ended by its next report.
TEST_F(ProposalStands, NoStartIsWrittenForAnEarlierSession) {
  scheduler.on_heartbeat(report(1, 1), 1);
  EXPECT_TRUE(written_after([&] { scheduler.on_heartbeat(report(2, 1), 5); }).empty());
  EXPECT_TRUE(scheduler.find_job("wk-000003")->waiting.count(0));
}

// The same while the write is under way: the start becomes durable and is not ordered.
TEST_F(CoreGuards, AStartThatBecomesDurableOnASickMachineIsNotOrdered) {
  run_two_jobs();
  submit("wk-000003", 4);
  scheduler.round(4);
  const auto p = page_write(4);
  ASSERT_TRUE(p);
  ASSERT_EQ(state_of_task("wk-000003"), AttemptState::proposed);
  scheduler.on_heartbeat(both_failed(4), 5);
  ASSERT_TRUE(m1().cordoned);
  apply(*p, 6);
  EXPECT_EQ(direct_runs(6), 0u);
  EXPECT_EQ(runs(scheduler.on_heartbeat(report(1, 5), 7).commands), 0u);
  EXPECT_TRUE(scheduler.find_job("wk-000003")->attempts.at(0).stop ||
              state_of_task("wk-000003") == AttemptState::ended);
}

// A start that was committed for an earlier session, ordered in a later one: the next report of
// that session would prove the attempt over while its task runs, and it would start elsewhere.
// `Scheduler::settle_page` stops it, and `Scheduler::next_direct_command` compares the sessions:
// either suffices.
TEST_F(CoreGuards, AStartCommittedForAnEarlierSessionIsNotOrdered) {
  scheduler.on_heartbeat(report(1, 1), 1);
  submit("wk-000001", 1);
  scheduler.round(1);
  const auto p = page_write(1);
  ASSERT_TRUE(p);
  ASSERT_EQ(live_in(*p).size(), 1u);
  // Its silence was long enough for its lease to end without our answers being at fault.
  scheduler.on_heartbeat(report(2, 1), 20);
  apply(*p, 21);
  EXPECT_EQ(direct_runs(21), 0u);
  EXPECT_EQ(runs(scheduler.on_heartbeat(report(2, 2), 22).commands), 0u);
  EXPECT_EQ(state_of_task("wk-000001"), AttemptState::ended);
}

// ---- sessions

// No controller was there for longer than a lease: the worker ended everything, and its first
// report to the new leader is of its next session. Ordered again under its old attempt, the task
// would run in a session that the ledger does not name, where the next leader's first report would
// prove it over.
TEST_F(CoreGuards, WhatRanInAnEarlierSessionStartsUnderANewAttempt) {
  scheduler.load(ledger_with_a_task_on_m1(ledger::JobStatus::open, 1), 0);
  EXPECT_TRUE(scheduler.on_heartbeat(report(2, 1), 1).commands.empty());
  EXPECT_EQ(state_of_task("wk-000001"), AttemptState::ended);
  const auto ends = page_write(5);
  ASSERT_TRUE(ends);
  EXPECT_TRUE(live_in(*ends).empty());
  apply(*ends, 5);
  scheduler.on_heartbeat(report(2, 2), 6);
  scheduler.round(6);
  const auto starts = page_write(6);
  ASSERT_TRUE(starts);
  for (const ledger::LiveAttempt& l : live_in(*starts)) {
    EXPECT_EQ(l.epoch, 2u);
    EXPECT_EQ(l.attempt, 2u);
  }
}

// ---- jobs that are over

// A done job's row as it was when it was open, seen late: all of its tasks would run again.
TEST_F(CoreGuards, ADoneJobIsNotTakenUpAgain) {
  scheduler.on_heartbeat(report(1, 1), 1);
  submit("wk-000001", 1);
  start_all(1);
  scheduler.on_heartbeat(report(1, 2), 2);
  scheduler.on_heartbeat(report(1, 3, {task("wk-000001", TaskPhase::exited, ExitCause::done)}), 3);
  start_all(4);
  ASSERT_FALSE(scheduler.find_job("wk-000001"));
  scheduler.on_job_row(job_row(1, revision + 1), "wk-000001", 5);
  EXPECT_FALSE(scheduler.find_job("wk-000001"));
}

// ---- transactions without an answer

class Unanswered : public CoreGuards {
 protected:
  Unanswered() {
    scheduler.on_heartbeat(report(1, 1), 1);
    submit("wk-000001", 1);
    scheduler.round(1);
    first = page_write(1);
    if (!first) throw std::runtime_error("nothing to write");
  }
  static nlohmann::json text(const ledger::Transaction& t) {
    nlohmann::json j = {{"mark", t.transaction_id}};
    for (const auto& c : t.conditions) j["if"].push_back({c.key, c.version});
    for (const auto& c : t.changes) j["then"].push_back({c.key, c.value});
    return j;
  }
  // The next write of that page is a copy of the first, not sooner than a moment later.
  void expect_copy(double after, double now) {
    EXPECT_FALSE(page_write(after));
    const auto p = page_write(now);
    ASSERT_TRUE(p);
    EXPECT_EQ(p->id, first->id);
    EXPECT_TRUE(p->repeat);
    EXPECT_EQ(text(p->txn), text(first->txn));
  }
  std::optional<PendingTransaction> first;
};

// An unanswered write may have been executed. Made up anew, its successor would meet a page that is
// not as this leader knows it, which ends its leadership; or the late copy would meet the
// successor.
TEST_F(Unanswered, ItIsSentAgainWordForWord) {
  submit("wk-000002", 1);  // which would go into the same page
  scheduler.on_result(first->id, {Outcome::unknown, 0, {}}, 1);
  scheduler.round(1.1);
  EXPECT_EQ(direct_runs(1.1), 0u);
  expect_copy(1.1, 2);
  apply(*first, 2);
  EXPECT_EQ(direct_runs(2), 1u);
  EXPECT_FALSE(scheduler.has_lost_leadership());
}

// That a copy was refused says nothing of those before it.
TEST_F(Unanswered, ARefusedCopyIsSentAgainToo) {
  scheduler.on_result(first->id, {Outcome::unknown, 0, {}}, 1);
  expect_copy(1.1, 2);
  scheduler.on_result(first->id, {Outcome::refused, 0, {}}, 2);
  EXPECT_EQ(direct_runs(2.1), 0u);
  expect_copy(2.1, 3);
  apply(*first, 3);
  EXPECT_EQ(direct_runs(3), 1u);
}

// One that was never under way otherwise is known not to be executed: it is made up anew.
TEST_F(Unanswered, OneThatWasRefusedAtOnceIsMadeUpAnew) {
  scheduler.on_result(first->id, {Outcome::refused, 0, {}}, 1);
  const auto p = page_write(2);
  ASSERT_TRUE(p);
  EXPECT_NE(p->id, first->id);
  EXPECT_FALSE(p->repeat);
}

}  // namespace
}  // namespace rookdyke
