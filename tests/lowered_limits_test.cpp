// What was written under larger limits of the state service stays changeable once they are lowered,
// and a leader that takes over in the middle of the change reads what is so.

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"
#include "core_fixtures.h"

namespace rookdyke {
namespace {

using namespace test;
using ledger::Outcome;
using nlohmann::json;

constexpr uint64_t kToken = 7;
constexpr const char* kArray = "wk-000001";
constexpr uint32_t kTasks = 300;
constexpr uint32_t kPer = 249;  // as version 0.1 lays out chunks for values of 8 KiB

// A leader of a ledger with one array, each of whose tasks runs on a machine of its own. Rows that
// are committed are kept as the state service would.
class LoweredLimits : public testing::Test {
 protected:
  LoweredLimits() {
    settings = bare_settings();
    settings.value_bytes = 8192;
    settings.txn_ops = 16;
    StateLimits next;
    next.value_bytes = 2048;
    next.txn_ops = 4;
    settings.next_limits = next;
    ledger::JobRow row;
    row.tasks = kTasks;
    row.per = kPer;
    row.spec = JobSpec{};
    row.spec->team = "team";
    row.spec->each = {1, 1, 1};
    rows[ledger::job_key(kArray)] = {ledger::encode(row), 3};
    ledger::Page page;
    for (uint32_t n = 0; n * kPer < kTasks; ++n) {
      ledger::PageEntry entry;
      entry.job = kArray;
      entry.n = n;
      entry.chunk.top = 1;
      for (uint32_t t = n * kPer; t < std::min(kTasks, (n + 1) * kPer); ++t)
        entry.chunk.live.push_back({t, 1, machine(t), 1});
      page.entries.push_back(entry);
    }
    rows[ledger::page_key(0)] = {ledger::encode(page), 4};
    core = leader();
  }

  static std::string machine(uint32_t task) { return "m-" + std::to_string(1000 + task); }

  // A leader that has just read the ledger, pages in that order.
  std::unique_ptr<Core> leader(bool backwards = false) const {
    Mirror mirror;
    std::vector<std::pair<std::string, std::pair<json, uint64_t>>> order(rows.begin(), rows.end());
    if (backwards) std::reverse(order.begin(), order.end());
    for (const auto& [key, row] : order) mirror.put(key, row.first, row.second);
    auto out = std::make_unique<Core>(settings, std::vector<TypeInfo>{bare_type()}, kToken, 0);
    out->load(mirror, 0);
    return out;
  }

  static std::set<uint32_t> attempts_of(const Core& c) {
    std::set<uint32_t> out;
    if (const Job* job = c.find_job(kArray))
      for (const auto& [task, a] : job->attempts)
        if (a.state != AttemptState::ended) out.insert(task);
    return out;
  }

  void end_task(uint32_t task, Cause cause, double now) {
    Report r = bare_report(0, 1, kToken);
    r.machine = machine(task);
    r.tasks.push_back({kArray, task, 1, Seen::exited, cause, false});
    core->on_report(r, now);
  }

  // The next write of a page; what else is to be written is written.
  std::optional<PendingTransaction> page_write(double now) {
    while (auto p = core->next_transaction(now)) {
      if (p->txn.changes.at(0).key.rfind(ledger::kTaskPrefix, 0) == 0) return p;
      core->on_result(p->id, {Outcome::applied, ++revision, {}}, now);
    }
    return std::nullopt;
  }

  // Answers as the state service does since it lowered its limits.
  void answer(const PendingTransaction& p, double now) {
    ASSERT_LE(p.txn.changes.size(), settings.next_limits->txn_ops);
    bool large = false;
    for (const auto& c : p.txn.changes)
      large = large || ledger::encoded_size(c.value) > settings.next_limits->value_bytes;
    if (large) {
      ++rejected;
      core->on_result(p.id, {Outcome::rejected, 0, {}}, now);
      return;
    }
    ++revision;
    for (const auto& c : p.txn.changes) {
      written.push_back(c.key);
      rows[c.key] = {c.value, revision};
    }
    core->on_result(p.id, {Outcome::applied, revision, {}}, now);
  }

  Settings settings;
  std::map<std::string, std::pair<json, uint64_t>> rows;
  uint64_t revision = 100;
  size_t rejected = 0;
  std::vector<std::string> written;
  std::unique_ptr<Core> core;
};

TEST_F(LoweredLimits, APageThatIsTooLargeIsSplitAndNoAttemptIsLostOrTakenForRunning) {
  std::set<uint32_t> expected = attempts_of(*core);
  ASSERT_EQ(expected.size(), kTasks);
  for (const uint32_t task : {3u, 60u, 200u, 260u}) {
    end_task(task, Cause::error, 1);
    expected.erase(task);
  }
  std::set<uint32_t> durable = attempts_of(*leader());
  for (double now = 1; now < 40; now += 0.5)
    while (auto p = core->next_transaction(now)) {
      answer(*p, now);
      // Whoever leads next reads each attempt that may run, wherever it lies by now, and the ends
      // that are durable stay so.
      for (const bool backwards : {false, true}) {
        const std::set<uint32_t> read = attempts_of(*leader(backwards));
        for (const uint32_t task : expected) EXPECT_TRUE(read.count(task)) << task;
        for (const uint32_t task : read) EXPECT_TRUE(durable.count(task)) << task;
        if (backwards) durable = read;
      }
    }
  EXPECT_EQ(rejected, 1u) << "the first one tells the limits";
  EXPECT_EQ(durable, expected) << "the ends are durable";
  EXPECT_TRUE(core->has_lowered_limits());
  EXPECT_GT(std::set<std::string>(written.begin(), written.end()).size(), 3u);
}

// What was moved is durable in the old page alone until the new ones are written.
TEST_F(LoweredLimits, ThePageItselfIsWrittenAfterThoseThatTookItsChunks) {
  core->lower_limits();
  end_task(3, Cause::error, 1);
  std::vector<PendingTransaction> under_way;
  for (double now = 1; now < 5; now += 0.5)
    while (auto p = core->next_transaction(now)) under_way.push_back(*p);
  ASSERT_GE(under_way.size(), 3u);
  for (const auto& p : under_way) {
    EXPECT_NE(p.txn.changes.at(0).key, ledger::page_key(0));
    if (&p != &under_way.back()) answer(p, 5);
  }
  EXPECT_FALSE(core->next_transaction(6)) << "one of them is still under way";
  answer(under_way.back(), 6);
  const auto p = core->next_transaction(7);
  ASSERT_TRUE(p);
  EXPECT_EQ(p->txn.changes.at(0).key, ledger::page_key(0));
}

TEST_F(LoweredLimits, BeforeThatNothingIsMoved) {
  end_task(3, Cause::error, 1);
  const auto p = page_write(10);
  ASSERT_TRUE(p);
  EXPECT_EQ(p->txn.changes.at(0).key, ledger::page_key(0));
  EXPECT_GT(ledger::encoded_size(p->txn.changes.at(0).value), 2048u);
  core->on_result(p->id, {Outcome::applied, 101, {}}, 10);
  EXPECT_FALSE(core->has_lowered_limits());
}

// It is neither repeated for ever, nor is its outcome guessed.
TEST_F(LoweredLimits, AnUnansweredTransactionThatIsRejectedLaterEndsTheLeadership) {
  end_task(3, Cause::error, 1);
  const auto first = page_write(10);
  ASSERT_TRUE(first);
  core->on_result(first->id, {Outcome::unknown, 0, {}}, 10);
  const auto again = page_write(11);
  ASSERT_TRUE(again);
  EXPECT_EQ(again->id, first->id);
  EXPECT_TRUE(again->repeat);
  core->on_result(again->id, {Outcome::rejected, 0, {}}, 11);
  EXPECT_TRUE(core->lost());
  EXPECT_TRUE(core->has_lowered_limits()) << "its siblings are to know it";
}

TEST_F(LoweredLimits, WhatIsNotTooLargeAndYetRejectedIsTriedAgainLater) {
  settings.next_limits.reset();
  core = leader();
  end_task(3, Cause::error, 1);
  const auto p = page_write(10);
  ASSERT_TRUE(p);
  core->on_result(p->id, {Outcome::rejected, 0, {}}, 10);
  EXPECT_FALSE(core->has_lowered_limits());
  EXPECT_FALSE(page_write(10.5));
  EXPECT_TRUE(page_write(20));
}

TEST_F(LoweredLimits, NewJobsAreLaidOutForTheLoweredSizesFromTheStart) {
  const uint32_t per = ledger::tasks_per_chunk(settings.lasting_value_bytes());
  EXPECT_LT(per, kPer);
  MirrorJob job;
  job.version = 50;
  job.row.tasks = 200;
  job.row.per = per;
  job.row.spec = JobSpec{};
  job.row.spec->team = "team";
  job.row.spec->each = {0.05, 0.01, 0.1};
  for (int i = 1; i <= 3; ++i) core->on_report(bare_report(i, 1, kToken), 1);
  core->on_job_row(job, "wk-000002", 1);
  core->round(1);
  size_t starts = 0;
  while (auto p = core->next_transaction(1)) {
    const auto& change = p->txn.changes.at(0);
    if (change.key.rfind(ledger::kTaskPrefix, 0) == 0 && change.key != ledger::page_key(0)) {
      EXPECT_LE(ledger::encoded_size(change.value), 2048u);
      for (const json& entry : change.value.at("e")) starts += entry.at(4).size();
    }
    core->on_result(p->id, {Outcome::applied, ++revision, {}}, 1);
  }
  EXPECT_GT(starts, 50u);
}

TEST_F(LoweredLimits, ACancelledJobWithALongDescriptionKeepsWhatItsLimitsNeed) {
  ledger::JobRow row;
  row.standing = ledger::Standing::aborted;
  row.tasks = row.per = 5;
  row.spec = JobSpec{};
  row.spec->team = "team";
  row.spec->zone = "a";
  row.spec->scatter = true;
  row.spec->each = {1, 2, 3};
  row.spec->types.assign(100, std::string(30, 'x'));
  ASSERT_GT(ledger::encoded_size(ledger::encode(row)), 2048u);
  ledger::shorten_cancelled(row, 2048);
  const json value = ledger::encode(row);
  EXPECT_LE(ledger::encoded_size(value), 2048u);
  const auto back = ledger::decode_job(kArray, value);
  ASSERT_TRUE(back && back->spec);
  EXPECT_EQ(back->spec->team, "team");
  EXPECT_EQ(back->spec->zone, "a");
  EXPECT_TRUE(back->spec->scatter);
  EXPECT_DOUBLE_EQ(back->spec->each.gpus, 2);
}

}  // namespace
}  // namespace rookdyke
