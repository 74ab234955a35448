// Transactions: their order, and what becomes of those without an answer.

#include <gtest/gtest.h>

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "scheduler/scheduler_guards_fixture.h"

namespace rookdyke {
namespace {

using namespace test;
using ledger::Outcome;

class UnansweredTransaction : public SchedulerGuards {
 protected:
  UnansweredTransaction() {
    scheduler.on_heartbeat(heartbeat(1, 1), 1);
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
    EXPECT_TRUE(p->resend);
    EXPECT_EQ(text(p->transaction), text(first->transaction));
  }
  std::optional<PendingTransaction> first;
};

// An unanswered write may have been executed. Built anew, its successor would meet a page that is
// not as this leader knows it, which ends its leadership; or the late copy would meet the
// successor.
TEST_F(UnansweredTransaction, ItIsRepeatedUnchanged) {
  submit("wk-000002", 1);  // which would go into the same page
  scheduler.on_result(first->id, {Outcome::indeterminate, 0, {}}, 1);
  scheduler.round(1.1);
  EXPECT_EQ(direct_starts(1.1), 0u);
  expect_copy(1.1, 2);
  apply(*first, 2);
  EXPECT_EQ(direct_starts(2), 1u);
  EXPECT_FALSE(scheduler.has_lost_leadership());
}

// That a copy was refused says nothing of those before it.
TEST_F(UnansweredTransaction, ARefusedCopyIsRepeatedToo) {
  scheduler.on_result(first->id, {Outcome::indeterminate, 0, {}}, 1);
  expect_copy(1.1, 2);
  scheduler.on_result(first->id, {Outcome::not_executed, 0, {}}, 2);
  EXPECT_EQ(direct_starts(2.1), 0u);
  expect_copy(2.1, 3);
  apply(*first, 3);
  EXPECT_EQ(direct_starts(3), 1u);
}

// One that was never under way otherwise is known not to be executed: it is built anew.
TEST_F(UnansweredTransaction, OneThatWasRefusedAtOnceIsBuiltAnew) {
  scheduler.on_result(first->id, {Outcome::not_executed, 0, {}}, 1);
  const auto p = page_write(2);
  ASSERT_TRUE(p);
  EXPECT_NE(p->id, first->id);
  EXPECT_FALSE(p->resend);
}

// The changes a second are few: what is written first decides what starts in time.
class OrderOfWrites : public testing::Test {
 protected:
  OrderOfWrites() : scheduler(settings(), {bare_type()}, kLeaderToken, 0) {}
  static Settings settings() {
    Settings s = bare_settings();
    s.objectives.push_back({true, "promised", 5});
    return s;
  }
  void submit(const std::string& id, const std::string& job_class, JobShape shape, double now) {
    CachedJob job = bare_job(1, {1, 0, 1}, ++revision);
    job.row.spec->job_class = job_class;
    job.row.spec->shape = shape;
    scheduler.on_job_row(job, id, now);
    scheduler.on_heartbeat(bare_heartbeat(1, ++seq, kLeaderToken), now);
    scheduler.round(now);
  }
  // Whose starts are written one after the other.
  std::vector<std::string> written(double now) {
    std::vector<std::string> out;
    while (auto p = scheduler.next_transaction(now)) {
      const auto& change = p->transaction.changes.at(0);
      if (change.key.rfind(ledger::kPagePrefix, 0) == 0)
        out.push_back(change.value.at("e").at(0).at(0).get<std::string>());
      scheduler.on_result(p->id, {Outcome::applied, ++revision, {}}, now);
    }
    return out;
  }

  Scheduler scheduler;
  uint64_t revision = 100, seq = 0;
};

TEST_F(OrderOfWrites, ReplicasGoFirstThenPromisedStarts) {
  submit("wk-000001", "usual", JobShape::array, 1);
  submit("wk-000002", "promised", JobShape::array, 6);
  submit("wk-000003", "api", JobShape::service, 7);
  EXPECT_EQ(written(7), (std::vector<std::string>{"wk-000003", "wk-000002", "wk-000001"}));
}

TEST_F(OrderOfWrites, NothingIsDeferredForeverByPromisedStarts) {
  submit("wk-000001", "usual", JobShape::array, 1);
  submit("wk-000002", "promised", JobShape::array, 12);
  EXPECT_EQ(written(12.1), (std::vector<std::string>{"wk-000001", "wk-000002"}));
}

}  // namespace
}  // namespace rookdyke
