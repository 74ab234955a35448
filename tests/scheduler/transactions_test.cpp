// Transactions: their order, and how transactions that were not applied are retried.

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

class TransactionRetry : public SchedulerGuards {
 protected:
  TransactionRetry() {
    scheduler.on_heartbeat(heartbeat(1, 1), 1);
    submit("wk-000001", 1);
    scheduler.round(1);
    first = next_page_write(1);
    if (!first) throw std::runtime_error("nothing to write");
  }
  static nlohmann::json to_json(const ledger::Transaction& transaction) {
    nlohmann::json j = {{"mark", transaction.transaction_id}};
    for (const auto& c : transaction.conditions) j["if"].push_back({c.key, c.version});
    for (const auto& c : transaction.changes) j["then"].push_back({c.key, c.value});
    return j;
  }
  // Expects that the transaction is not resent at time `after`, and is resent unchanged at `now`.
  void expect_resend(double too_early, double now) {
    EXPECT_FALSE(next_page_write(too_early));
    const auto p = next_page_write(now);
    ASSERT_TRUE(p);
    EXPECT_EQ(p->id, first->id);
    EXPECT_TRUE(p->resend);
    EXPECT_EQ(to_json(p->transaction), to_json(first->transaction));
  }
  std::optional<PendingTransaction> first;
};

// A transaction of indeterminate outcome may have been executed, or may be executed later. A new
// transaction in its place could find the page changed by the first one, which ends the leadership,
// or the first one could arrive late and find the page changed.
TEST_F(TransactionRetry, AnIndeterminateTransactionIsResentUnchanged) {
  submit("wk-000002", 1);  // its start belongs to the same page
  scheduler.on_result(first->id, {Outcome::indeterminate, 0, {}}, 1);
  scheduler.round(1.1);
  EXPECT_EQ(direct_starts(1.1), 0u);
  expect_resend(1.1, 2);
  apply(*first, 2);
  EXPECT_EQ(direct_starts(2), 1u);
  EXPECT_FALSE(scheduler.has_lost_leadership());
}

// That a resent copy was refused does not show whether the earlier copies were executed.
TEST_F(TransactionRetry, ARefusedCopyIsResentToo) {
  scheduler.on_result(first->id, {Outcome::indeterminate, 0, {}}, 1);
  expect_resend(1.1, 2);
  scheduler.on_result(first->id, {Outcome::not_executed, 0, {}}, 2);
  EXPECT_EQ(direct_starts(2.1), 0u);
  expect_resend(2.1, 3);
  apply(*first, 3);
  EXPECT_EQ(direct_starts(3), 1u);
}

// A transaction whose only copy was refused was certainly not executed, so a new one is built.
TEST_F(TransactionRetry, ATransactionRefusedAtFirstIsBuiltAnew) {
  scheduler.on_result(first->id, {Outcome::not_executed, 0, {}}, 1);
  const auto p = next_page_write(2);
  ASSERT_TRUE(p);
  EXPECT_NE(p->id, first->id);
  EXPECT_FALSE(p->resend);
}

// The state service limits the rate of changes, so the order of writes decides which tasks start in
// time.
class WriteOrder : public testing::Test {
 protected:
  WriteOrder() : scheduler(settings(), {bare_type()}, kLeaderToken, 0) {}
  static Settings settings() {
    Settings settings = bare_settings();
    settings.objectives.push_back({true, "promised", 5});
    return settings;
  }
  void submit(const std::string& id, const std::string& job_class, JobShape shape, double now) {
    CachedJob job = bare_job(1, {1, 0, 1}, ++revision);
    job.row.spec->job_class = job_class;
    job.row.spec->shape = shape;
    scheduler.on_job_row(job, id, now);
    scheduler.on_heartbeat(bare_heartbeat(1, ++seq, kLeaderToken), now);
    scheduler.round(now);
  }
  // Writes all pending changes and returns the jobs whose starts they contain, in order.
  std::vector<std::string> written(double now) {
    std::vector<std::string> jobs;
    while (auto p = scheduler.next_transaction(now)) {
      const auto& change = p->transaction.changes.at(0);
      if (change.key.rfind(ledger::kPagePrefix, 0) == 0)
        jobs.push_back(change.value.at("e").at(0).at(0).get<std::string>());
      scheduler.on_result(p->id, {Outcome::applied, ++revision, {}}, now);
    }
    return jobs;
  }

  Scheduler scheduler;
  uint64_t revision = 100, seq = 0;
};

TEST_F(WriteOrder, ReplicasPrecedeStartsWithAnObjective) {
  submit("wk-000001", "usual", JobShape::array, 1);
  submit("wk-000002", "promised", JobShape::array, 6);
  submit("wk-000003", "api", JobShape::service, 7);
  EXPECT_EQ(written(7), (std::vector<std::string>{"wk-000003", "wk-000002", "wk-000001"}));
}

TEST_F(WriteOrder, StartsWithAnObjectiveDeferNothingForever) {
  submit("wk-000001", "usual", JobShape::array, 1);
  submit("wk-000002", "promised", JobShape::array, 12);
  EXPECT_EQ(written(12.1), (std::vector<std::string>{"wk-000001", "wk-000002"}));
}

}  // namespace
}  // namespace rookdyke
