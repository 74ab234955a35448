// The core's guards, each by the course of events that it is for: what would go wrong without it is
// said above the test. Messages arrive late, twice or not at all, as the protocol allows.

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "core_fixtures.h"

namespace rookdyke {
namespace {

using namespace test;
using ledger::Outcome;

constexpr uint64_t kToken = 7;
constexpr uint64_t kPageLater = 100;  // revisions of what is written in these tests

// A leader with token 7 and machines that report by hand; four tasks fill one.
class CoreGuards : public testing::Test {
 protected:
  CoreGuards() : core(bare_settings(), {bare_type()}, kToken, 0) {}

  static MirrorJob job_row(uint32_t tasks, uint64_t version) {
    return bare_job(tasks, {4, 1, 4}, version);
  }
  void submit(const std::string& id, double now, uint32_t tasks = 1) {
    core.on_job_row(job_row(tasks, ++revision), id, now);
  }
  static Report report(uint64_t session, uint64_t seq, std::vector<TaskReport> tasks = {}) {
    Report r = bare_report(1, seq, kToken);
    r.session = session;
    r.tasks = std::move(tasks);
    return r;
  }
  static TaskReport task(const std::string& job, Seen seen, Cause cause = Cause::none) {
    return {job, 0, 1, seen, cause, false};
  }
  // The next write of a page; what else is to be written is written.
  std::optional<PendingTransaction> page_write(double now) {
    while (auto p = core.next_transaction(now)) {
      if (p->txn.changes.at(0).key.rfind(ledger::kTaskPrefix, 0) == 0) return p;
      apply(*p, now);
    }
    return std::nullopt;
  }
  void apply(const PendingTransaction& p, double now) {
    core.on_result(p.id, {Outcome::applied, ++revision, {}}, now);
  }
  // Places what waits, and makes it durable.
  void start_all(double now) {
    core.round(now);
    while (auto p = core.next_transaction(now)) apply(*p, now);
  }
  // The starts that a write makes durable.
  static std::vector<ledger::Live> live_in(const PendingTransaction& p) {
    std::vector<ledger::Live> out;
    const auto page = ledger::decode_page(p.txn.changes.at(0).value);
    EXPECT_TRUE(page);
    if (page)
      for (const auto& e : page->entries)
        out.insert(out.end(), e.chunk.live.begin(), e.chunk.live.end());
    return out;
  }
  static size_t runs(const std::vector<Order>& orders) {
    return static_cast<size_t>(std::count_if(orders.begin(), orders.end(),
                                             [](const Order& o) { return o.verb == Verb::run; }));
  }
  size_t direct_runs(double now) {
    const auto d = core.next_direct_command(now);
    return d ? runs(d->orders) : 0;
  }
  const Machine& m1() const { return *core.machines().at(0); }
  AttemptState state_of_task(const std::string& job) const {
    const Job* j = core.find_job(job);
    return j && j->attempts.count(0) ? j->attempts.at(0).state : AttemptState::ended;
  }
  // m-1 runs a task of each of two jobs, which then fail: a machine that fails like that takes no
  // work any more.
  void run_two_jobs() {
    core.on_report(report(1, 1), 1);
    submit("wk-000001", 1);
    submit("wk-000002", 1);
    start_all(1);
    core.on_report(report(1, 2), 2);
    core.on_report(
        report(1, 3, {task("wk-000001", Seen::running), task("wk-000002", Seen::running)}), 3);
  }
  static Report both_failed(uint64_t seq) {
    return report(1, seq,
                  {task("wk-000001", Seen::exited, Cause::error),
                   task("wk-000002", Seen::exited, Cause::error)});
  }

  Core core;
  uint64_t revision = kPageLater;
};

// ---- answers to direct calls

// A worker's lease ends while the answer to a direct call is held up. Taken for the new session's,
// the answer's number would make the reports that follow look old, and the machine silent.
TEST_F(CoreGuards, ADirectAnswerOfAnEarlierSessionCountsForNothing) {
  core.on_report(report(1, 5), 1);
  submit("wk-000001", 1);
  start_all(1);
  const auto d = core.next_direct_command(1);
  ASSERT_TRUE(d);
  ASSERT_EQ(runs(d->orders), 1u);
  core.on_report(report(2, 1), 2);
  core.on_direct_command_result(*d, true, report(1, 6, {task("wk-000001", Seen::pulling)}), 3);
  EXPECT_EQ(m1().seq, 1u);
  EXPECT_EQ(core.on_report(report(2, 2), 4).verdict, ReportReply::Verdict::taken);
  EXPECT_DOUBLE_EQ(m1().last_report, 4);
}

// A late direct answer must not make an older report the latest: a copy of one in between would
// count again, and what was started since would be missing from its list.
TEST_F(CoreGuards, ALateDirectAnswerMakesNoReportCountTwice) {
  core.on_report(report(1, 1), 1);
  submit("wk-000001", 1);
  start_all(1);
  const auto d = core.next_direct_command(1);
  ASSERT_TRUE(d);
  core.on_report(report(1, 3, {task("wk-000001", Seen::running)}), 2);
  submit("wk-000002", 2);
  start_all(2);
  const Report before = report(1, 4, {task("wk-000001", Seen::running)});
  EXPECT_EQ(runs(core.on_report(before, 3).orders), 1u);
  core.on_report(report(1, 5, {task("wk-000001", Seen::running), task("wk-000002", Seen::running)}),
                 4);
  ASSERT_EQ(state_of_task("wk-000002"), AttemptState::running);
  core.on_direct_command_result(*d, true, report(1, 2, {task("wk-000001", Seen::pulling)}), 5);
  EXPECT_EQ(core.on_report(before, 6).verdict, ReportReply::Verdict::old);
  EXPECT_EQ(state_of_task("wk-000002"), AttemptState::running);
}

// ---- starts whose machine changes between the decision and the write

// A proposal that stands no more just before it is written is not written: its task would wait for
// a machine that takes nothing.
class ProposalStands : public CoreGuards {
 protected:
  // Proposes a start on m-1, lets `change` happen, and returns the starts that are then written.
  std::vector<ledger::Live> written_after(const std::function<void()>& change) {
    submit("wk-000003", 4);
    core.round(4);
    EXPECT_EQ(state_of_task("wk-000003"), AttemptState::proposed);
    change();
    std::vector<ledger::Live> out;
    while (const auto p = page_write(8)) {
      for (const ledger::Live& l : live_in(*p)) out.push_back(l);
      apply(*p, 8);
    }
    return out;
  }
};

TEST_F(ProposalStands, AStartOnAMachineThatHasNotChangedIsWritten) {
  core.on_report(report(1, 1), 1);
  EXPECT_EQ(written_after([] {}).size(), 1u);
}

TEST_F(ProposalStands, NoStartIsWrittenForAMachineThatFailsEverything) {
  run_two_jobs();
  EXPECT_TRUE(written_after([&] { core.on_report(both_failed(4), 5); }).empty());
  EXPECT_TRUE(m1().cordoned);
}

TEST_F(ProposalStands, NoStartIsWrittenForAMachineThatIsToBeTakenBack) {
  core.on_report(report(1, 1), 1);
  EXPECT_TRUE(written_after([&] {
                Report r = report(1, 2);
                r.notice_s = 20;
                core.on_report(r, 5);
              }).empty());
}

TEST_F(ProposalStands, NoStartIsWrittenForAMachineThatFailed) {
  core.on_report(report(1, 1), 1);
  EXPECT_TRUE(written_after([&] {
                core.on_machine_list(
                    {{"m-1", "", "box", "a", false, ListedMachine::State::failed, 10}}, 5, 5);
              }).empty());
  EXPECT_EQ(m1().state, MachineState::terminating);
}

// The worker lost its lease: a start under its earlier session would be ended by its next report.
TEST_F(ProposalStands, NoStartIsWrittenForAnEarlierSession) {
  core.on_report(report(1, 1), 1);
  EXPECT_TRUE(written_after([&] { core.on_report(report(2, 1), 5); }).empty());
  EXPECT_TRUE(core.find_job("wk-000003")->waiting.count(0));
}

// The same while the write is under way: the start becomes durable and is not ordered.
TEST_F(CoreGuards, AStartThatBecomesDurableOnASickMachineIsNotOrdered) {
  run_two_jobs();
  submit("wk-000003", 4);
  core.round(4);
  const auto p = page_write(4);
  ASSERT_TRUE(p);
  ASSERT_EQ(state_of_task("wk-000003"), AttemptState::proposed);
  core.on_report(both_failed(4), 5);
  ASSERT_TRUE(m1().cordoned);
  apply(*p, 6);
  EXPECT_EQ(direct_runs(6), 0u);
  EXPECT_EQ(runs(core.on_report(report(1, 5), 7).orders), 0u);
  EXPECT_TRUE(core.find_job("wk-000003")->attempts.at(0).stop ||
              state_of_task("wk-000003") == AttemptState::ended);
}

// A start that was committed for an earlier session, ordered in a later one: the next report of
// that session would prove the attempt over while its task runs, and it would start elsewhere.
// `Core::settle_page` stops it, and `Core::next_direct_command` compares the sessions: either
// suffices.
TEST_F(CoreGuards, AStartCommittedForAnEarlierSessionIsNotOrdered) {
  core.on_report(report(1, 1), 1);
  submit("wk-000001", 1);
  core.round(1);
  const auto p = page_write(1);
  ASSERT_TRUE(p);
  ASSERT_EQ(live_in(*p).size(), 1u);
  // Its silence was long enough for its lease to end without our answers being at fault.
  core.on_report(report(2, 1), 20);
  apply(*p, 21);
  EXPECT_EQ(direct_runs(21), 0u);
  EXPECT_EQ(runs(core.on_report(report(2, 2), 22).orders), 0u);
  EXPECT_EQ(state_of_task("wk-000001"), AttemptState::ended);
}

// ---- sessions

// No controller was there for longer than a lease: the worker ended everything, and its first
// report to the new leader is of its next session. Ordered again under its old attempt, the task
// would run in a session that the ledger does not name, where the next leader's first report would
// prove it over.
TEST_F(CoreGuards, WhatRanInAnEarlierSessionStartsUnderANewAttempt) {
  core.load(with_a_task_on_m1(ledger::Standing::open, 1), 0);
  EXPECT_TRUE(core.on_report(report(2, 1), 1).orders.empty());
  EXPECT_EQ(state_of_task("wk-000001"), AttemptState::ended);
  const auto ends = page_write(5);
  ASSERT_TRUE(ends);
  EXPECT_TRUE(live_in(*ends).empty());
  apply(*ends, 5);
  core.on_report(report(2, 2), 6);
  core.round(6);
  const auto starts = page_write(6);
  ASSERT_TRUE(starts);
  for (const ledger::Live& l : live_in(*starts)) {
    EXPECT_EQ(l.session, 2u);
    EXPECT_EQ(l.attempt, 2u);
  }
}

// ---- jobs that are over

// A done job's row as it was when it was open, seen late: all of its tasks would run again.
TEST_F(CoreGuards, ADoneJobIsNotTakenUpAgain) {
  core.on_report(report(1, 1), 1);
  submit("wk-000001", 1);
  start_all(1);
  core.on_report(report(1, 2), 2);
  core.on_report(report(1, 3, {task("wk-000001", Seen::exited, Cause::done)}), 3);
  start_all(4);
  ASSERT_FALSE(core.find_job("wk-000001"));
  core.on_job_row(job_row(1, revision + 1), "wk-000001", 5);
  EXPECT_FALSE(core.find_job("wk-000001"));
}

// ---- transactions without an answer

class Unanswered : public CoreGuards {
 protected:
  Unanswered() {
    core.on_report(report(1, 1), 1);
    submit("wk-000001", 1);
    core.round(1);
    first = page_write(1);
    if (!first) throw std::runtime_error("nothing to write");
  }
  static nlohmann::json text(const ledger::Transaction& t) {
    nlohmann::json j = {{"mark", t.mark}};
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
  core.on_result(first->id, {Outcome::unknown, 0, {}}, 1);
  core.round(1.1);
  EXPECT_EQ(direct_runs(1.1), 0u);
  expect_copy(1.1, 2);
  apply(*first, 2);
  EXPECT_EQ(direct_runs(2), 1u);
  EXPECT_FALSE(core.lost());
}

// That a copy was refused says nothing of those before it.
TEST_F(Unanswered, ARefusedCopyIsSentAgainToo) {
  core.on_result(first->id, {Outcome::unknown, 0, {}}, 1);
  expect_copy(1.1, 2);
  core.on_result(first->id, {Outcome::refused, 0, {}}, 2);
  EXPECT_EQ(direct_runs(2.1), 0u);
  expect_copy(2.1, 3);
  apply(*first, 3);
  EXPECT_EQ(direct_runs(3), 1u);
}

// One that was never under way otherwise is known not to be executed: it is made up anew.
TEST_F(Unanswered, OneThatWasRefusedAtOnceIsMadeUpAnew) {
  core.on_result(first->id, {Outcome::refused, 0, {}}, 1);
  const auto p = page_write(2);
  ASSERT_TRUE(p);
  EXPECT_NE(p->id, first->id);
  EXPECT_FALSE(p->repeat);
}

}  // namespace
}  // namespace rookdyke
