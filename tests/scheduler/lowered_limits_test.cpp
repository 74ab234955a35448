// What was written under larger limits of the state service stays changeable once they are lowered,
// and a leader that takes over in the middle of the change reads what is so.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/scheduler.h"
#include "scheduler/scheduler_fixtures.h"

namespace rookdyke {
namespace {

using namespace test;
using ledger::Outcome;
using nlohmann::json;

constexpr const char* kSmall = "wk-000001";
constexpr const char* kArray = "wk-000002";
constexpr uint32_t kSmallTasks = 40;
constexpr uint32_t kTasks = 300;
constexpr uint32_t kPer = 249;  // as version 0.1 lays out chunks for values of 8 KiB

using Task = std::pair<std::string, uint32_t>;

// A leader of a ledger with two arrays in one page, each of whose tasks runs on a machine of its
// own. Rows that are committed are kept as the state service would.
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
    ledger::PageRow page;
    add_job(kSmall, kSmallTasks, page);
    add_job(kArray, kTasks, page);
    rows[ledger::page_key(0)] = {ledger::encode(page), 4};
    scheduler = leader();
  }

  void add_job(const std::string& id, uint32_t tasks, ledger::PageRow& page) {
    ledger::JobRow row;
    row.tasks = tasks;
    row.chunk_size = kPer;
    row.spec = JobSpec{};
    row.spec->team = "team";
    row.spec->per_task = {1, 1, 1};
    rows[ledger::job_key(id)] = {ledger::encode(row), 3};
    for (uint32_t n = 0; n * kPer < tasks; ++n) {
      ledger::PageEntry entry;
      entry.job = id;
      entry.n = n;
      entry.chunk.highest_attempt = 1;
      for (uint32_t t = n * kPer; t < std::min(tasks, (n + 1) * kPer); ++t)
        entry.chunk.live.push_back({t, 1, machine({id, t}), 1});
      page.entries.push_back(entry);
    }
  }

  static std::string machine(const Task& task) {
    return "m-" + std::to_string((task.first == kSmall ? 2000 : 1000) + task.second);
  }

  // A leader that has just read the ledger, pages in that order.
  std::unique_ptr<Scheduler> leader(bool backwards = false) const {
    LedgerCache ledger_cache;
    std::vector<std::pair<std::string, std::pair<json, uint64_t>>> order(rows.begin(), rows.end());
    if (backwards) std::reverse(order.begin(), order.end());
    for (const auto& [key, row] : order) ledger_cache.put(key, row.first, row.second);
    auto out = std::make_unique<Scheduler>(settings, std::vector<MachineType>{bare_type()},
                                           kLeaderToken, 0);
    out->load(ledger_cache, 0);
    return out;
  }

  static std::set<Task> attempts_of(const Scheduler& c) {
    std::set<Task> out;
    for (const std::string id : {kSmall, kArray})
      if (const Job* job = c.find_job(id))
        for (const auto& [task, a] : job->attempts)
          if (a.state != AttemptState::ended) out.insert({id, task});
    return out;
  }

  void end_task(const Task& task, ExitCause cause, double now) {
    Heartbeat r = bare_heartbeat(0, 1, kLeaderToken);
    r.machine = machine(task);
    r.tasks.push_back({task.first, task.second, 1, TaskPhase::exited, cause, false});
    scheduler->on_heartbeat(r, now);
  }

  // The tasks that an entry of a page is about.
  static std::set<Task> tasks_of(const json& entry) {
    const auto id = entry.at(0).get<std::string>();
    const uint32_t tasks = id == kSmall ? kSmallTasks : kTasks;
    uint32_t first = entry.at(1).get<uint32_t>() * kPer;
    uint32_t end = std::min(tasks, first + kPer);
    if (entry.size() > 5) {
      first = entry.at(5).get<uint32_t>();
      end = first + entry.at(6).get<uint32_t>();
    }
    std::set<Task> out;
    for (uint32_t t = first; t < end; ++t) out.insert({id, t});
    return out;
  }

  // The next write of a page; what else is to be written is written.
  std::optional<PendingTransaction> page_write(double now) {
    while (auto p = scheduler->next_transaction(now)) {
      if (p->transaction.changes.at(0).key.rfind(ledger::kPagePrefix, 0) == 0) return p;
      scheduler->on_result(p->id, {Outcome::applied, ++revision, {}}, now);
    }
    return std::nullopt;
  }

  // Answers as the state service does since it lowered its limits.
  void answer(const PendingTransaction& p, double now) {
    ASSERT_LE(p.transaction.changes.size(), settings.next_limits->txn_ops);
    bool large = false;
    for (const auto& c : p.transaction.changes)
      large = large || ledger::value_size(c.value) > settings.next_limits->value_bytes;
    if (large) {
      ++rejected;
      scheduler->on_result(p.id, {Outcome::rejected, 0, {}}, now);
      return;
    }
    ++revision;
    for (const auto& c : p.transaction.changes) {
      written.push_back(c.key);
      rows[c.key] = {c.value, revision};
      if (c.key.rfind(ledger::kPagePrefix, 0) != 0) continue;
      for (const json& entry : c.value.at("e"))
        for (const Task& task : tasks_of(entry)) rewritten.insert(task);
    }
    scheduler->on_result(p.id, {Outcome::applied, revision, {}}, now);
  }

  Settings settings;
  std::map<std::string, std::pair<json, uint64_t>> rows;
  uint64_t revision = 100;
  size_t rejected = 0;
  std::vector<std::string> written;
  std::set<Task> rewritten;  // tasks that a page that was written now is about
  std::unique_ptr<Scheduler> scheduler;
};

TEST_F(LoweredLimits, APageThatIsTooLargeIsSplitAndNoAttemptIsLostOrTakenForRunning) {
  std::set<Task> expected = attempts_of(*scheduler);
  ASSERT_EQ(expected.size(), kTasks + kSmallTasks);
  const std::set<Task> ended = {
      {kSmall, 7}, {kArray, 3}, {kArray, 60}, {kArray, 200}, {kArray, 260}};
  for (const Task& task : ended) {
    end_task(task, ExitCause::error, 1);
    expected.erase(task);
  }
  std::set<Task> last_read;
  for (double now = 1; now < 40; now += 0.5)
    while (auto p = scheduler->next_transaction(now)) {
      answer(*p, now);
      // Whoever leads next reads each attempt that may run, wherever it lies by now, and each end
      // as soon as it is written anywhere.
      for (const bool backwards : {false, true}) {
        const std::set<Task> read = last_read = attempts_of(*leader(backwards));
        for (const Task& task : expected) EXPECT_TRUE(read.count(task)) << task.second;
        for (const Task& task : ended)
          EXPECT_EQ(read.count(task), rewritten.count(task) ? 0u : 1u) << task.second;
      }
    }
  EXPECT_EQ(rejected, 1u) << "the first one tells the limits";
  EXPECT_EQ(last_read, expected) << "the ends are durable";
  EXPECT_TRUE(scheduler->uses_lowered_limits());
  EXPECT_GT(std::set<std::string>(written.begin(), written.end()).size(), 3u);
}

// What was moved is durable in the old page alone until the new ones are written.
TEST_F(LoweredLimits, ThePageItselfIsWrittenAfterThoseThatTookItsChunks) {
  scheduler->apply_lowered_limits();
  end_task({kArray, 3}, ExitCause::error, 1);
  std::vector<PendingTransaction> under_way;
  for (double now = 1; now < 5; now += 0.5)
    while (auto p = scheduler->next_transaction(now)) under_way.push_back(*p);
  ASSERT_GE(under_way.size(), 3u);
  for (const auto& p : under_way) {
    EXPECT_NE(p.transaction.changes.at(0).key, ledger::page_key(0));
    if (&p != &under_way.back()) answer(p, 5);
  }
  EXPECT_FALSE(page_write(6)) << "one of them is still under way";
  answer(under_way.back(), 6);
  const auto p = page_write(7);
  ASSERT_TRUE(p);
  EXPECT_EQ(p->transaction.changes.at(0).key, ledger::page_key(0));
}

TEST_F(LoweredLimits, BeforeThatNothingIsMoved) {
  end_task({kArray, 3}, ExitCause::error, 1);
  const auto p = page_write(10);
  ASSERT_TRUE(p);
  EXPECT_EQ(p->transaction.changes.at(0).key, ledger::page_key(0));
  EXPECT_GT(ledger::value_size(p->transaction.changes.at(0).value), 2048u);
  scheduler->on_result(p->id, {Outcome::applied, 101, {}}, 10);
  EXPECT_FALSE(scheduler->uses_lowered_limits());
}

// It is neither repeated for ever, nor is its outcome guessed.
TEST_F(LoweredLimits, AnUnansweredTransactionThatIsRejectedLaterEndsTheLeadership) {
  end_task({kArray, 3}, ExitCause::error, 1);
  const auto first = page_write(10);
  ASSERT_TRUE(first);
  scheduler->on_result(first->id, {Outcome::indeterminate, 0, {}}, 10);
  const auto again = page_write(11);
  ASSERT_TRUE(again);
  EXPECT_EQ(again->id, first->id);
  EXPECT_TRUE(again->resend);
  scheduler->on_result(again->id, {Outcome::rejected, 0, {}}, 11);
  EXPECT_TRUE(scheduler->has_lost_leadership());
  EXPECT_TRUE(scheduler->uses_lowered_limits()) << "its siblings are to know it";
}

TEST_F(LoweredLimits, WhatIsNotTooLargeAndYetRejectedIsTriedAgainLater) {
  settings.next_limits.reset();
  scheduler = leader();
  end_task({kArray, 3}, ExitCause::error, 1);
  const auto p = page_write(10);
  ASSERT_TRUE(p);
  scheduler->on_result(p->id, {Outcome::rejected, 0, {}}, 10);
  EXPECT_FALSE(scheduler->uses_lowered_limits());
  EXPECT_FALSE(page_write(10.5));
  EXPECT_TRUE(page_write(20));
}

TEST_F(LoweredLimits, NewJobsAreLaidOutForTheLoweredSizesFromTheStart) {
  const uint32_t per = ledger::tasks_per_chunk(settings.min_value_bytes());
  EXPECT_LT(per, kPer);
  CachedJob job = bare_job(200, {0.05, 0.01, 0.1}, 50);
  job.row.chunk_size = per;
  for (int i = 1; i <= 3; ++i) scheduler->on_heartbeat(bare_heartbeat(i, 1, kLeaderToken), 1);
  scheduler->on_job_row(job, "wk-000003", 1);
  for (int round = 0; round < 5; ++round) {
    scheduler->round(1);
    while (auto p = scheduler->next_transaction(1)) {
      const auto& change = p->transaction.changes.at(0);
      const bool is_page = change.key.rfind(ledger::kPagePrefix, 0) == 0;
      EXPECT_TRUE(!is_page || change.key == ledger::page_key(0) ||
                  ledger::value_size(change.value) <= 2048);
      scheduler->on_result(p->id, {Outcome::applied, ++revision, {}}, 1);
    }
  }
  EXPECT_EQ(scheduler->find_job("wk-000003")->attempts.size(), 200u);
}

// Between what runs and the limit there may be no room for starts in a page of before: they went
// unwritten until enough had ended, for minutes (replay of rollout, docs/rounds.md, round 31).
TEST_F(LoweredLimits, StartsThatDoNotFitTheirPageAreMadeRoomFor) {
  rows.clear();
  ledger::PageRow page;
  add_job(kArray, kPer, page);
  constexpr uint32_t kRunning = 85;
  page.entries.at(0).chunk.live.resize(kRunning);
  rows[ledger::page_key(0)] = {ledger::encode(page), 4};
  scheduler = leader();
  scheduler->apply_lowered_limits();
  for (int i = 1; i <= 70; ++i) scheduler->on_heartbeat(bare_heartbeat(i, 1, kLeaderToken), 1);
  for (double now = 1; now < 6; now += 0.5) {
    scheduler->round(now);
    while (auto p = scheduler->next_transaction(now)) answer(*p, now);
  }
  EXPECT_EQ(rejected, 0u);
  const Job& job = *scheduler->find_job(kArray);
  EXPECT_EQ(job.attempts.size(), kPer);
  EXPECT_EQ(job.proposed_count, 0u);
}

TEST_F(LoweredLimits, ACancelledJobWithALongDescriptionKeepsWhatItsLimitsNeed) {
  ledger::JobRow row;
  row.status = ledger::JobStatus::cancelled;
  row.tasks = row.chunk_size = 5;
  row.spec = JobSpec{};
  row.spec->team = "team";
  row.spec->zone = "a";
  row.spec->spread_zones = true;
  row.spec->per_task = {1, 2, 3};
  row.spec->types.assign(100, std::string(30, 'x'));
  ASSERT_GT(ledger::value_size(ledger::encode(row)), 2048u);
  ledger::shorten_cancelled(row, 2048);
  const json value = ledger::encode(row);
  EXPECT_LE(ledger::value_size(value), 2048u);
  const auto back = ledger::decode_job(kArray, value);
  ASSERT_TRUE(back && back->spec);
  EXPECT_EQ(back->spec->team, "team");
  EXPECT_EQ(back->spec->zone, "a");
  EXPECT_TRUE(back->spec->spread_zones);
  EXPECT_DOUBLE_EQ(back->spec->per_task.gpus, 2);
}

}  // namespace
}  // namespace rookdyke
