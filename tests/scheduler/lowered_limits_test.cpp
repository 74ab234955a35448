// Lowered limits of the state service: rows that were written under larger limits can still be
// changed, and a leader that takes over while pages are being split reads every attempt.

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

constexpr const char* kSmallJob = "wk-000001";
constexpr const char* kLargeJob = "wk-000002";
constexpr uint32_t kSmallJobTasks = 40;
constexpr uint32_t kLargeJobTasks = 300;
constexpr uint32_t kTasksPerChunk = 249;  // in version 0.1 with values of 8 KiB

using Task = std::pair<std::string, uint32_t>;

// A leader and a ledger with two arrays in one page. Each task runs on its own machine. `rows`
// stands in for the state service: it keeps the committed rows.
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
    add_job(kSmallJob, kSmallJobTasks, page);
    add_job(kLargeJob, kLargeJobTasks, page);
    rows[ledger::page_key(0)] = {ledger::encode(page), 4};
    scheduler = leader();
  }

  void add_job(const std::string& id, uint32_t tasks, ledger::PageRow& page) {
    ledger::JobRow row;
    row.tasks = tasks;
    row.chunk_size = kTasksPerChunk;
    row.spec = JobSpec{};
    row.spec->team = "team";
    row.spec->per_task = {1, 1, 1};
    rows[ledger::job_key(id)] = {ledger::encode(row), 3};
    for (uint32_t n = 0; n * kTasksPerChunk < tasks; ++n) {
      ledger::PageEntry entry;
      entry.job = id;
      entry.n = n;
      entry.chunk.highest_attempt = 1;
      for (uint32_t t = n * kTasksPerChunk; t < std::min(tasks, (n + 1) * kTasksPerChunk); ++t)
        entry.chunk.live.push_back({t, 1, machine({id, t}), 1});
      page.entries.push_back(entry);
    }
  }

  static std::string machine(const Task& task) {
    return "m-" + std::to_string((task.first == kSmallJob ? 2000 : 1000) + task.second);
  }

  // A leader that has just loaded the ledger, in ascending or descending order of keys.
  std::unique_ptr<Scheduler> leader(bool descending = false) const {
    LedgerCache ledger_cache;
    std::vector<std::pair<std::string, std::pair<json, uint64_t>>> order(rows.begin(), rows.end());
    if (descending) std::reverse(order.begin(), order.end());
    for (const auto& [key, row] : order) ledger_cache.put(key, row.first, row.second);
    auto out = std::make_unique<Scheduler>(settings, std::vector<MachineType>{bare_type()},
                                           kLeaderToken, 0);
    out->load(ledger_cache, 0);
    return out;
  }

  static std::set<Task> attempts_of(const Scheduler& c) {
    std::set<Task> out;
    for (const std::string id : {kSmallJob, kLargeJob})
      if (const Job* job = c.find_job(id))
        for (const auto& [task, a] : job->attempts)
          if (a.state != AttemptState::ended) out.insert({id, task});
    return out;
  }

  void end_task(const Task& task, ExitCause cause, double now) {
    Heartbeat heartbeat = bare_heartbeat(0, 1, kLeaderToken);
    heartbeat.machine = machine(task);
    heartbeat.tasks.push_back({task.first, task.second, 1, TaskPhase::exited, cause, false});
    scheduler->on_heartbeat(heartbeat, now);
  }

  // The tasks that an entry of a page covers.
  static std::set<Task> tasks_of(const json& entry) {
    const auto id = entry.at(0).get<std::string>();
    const uint32_t tasks = id == kSmallJob ? kSmallJobTasks : kLargeJobTasks;
    uint32_t first = entry.at(1).get<uint32_t>() * kTasksPerChunk;
    uint32_t end = std::min(tasks, first + kTasksPerChunk);
    if (entry.size() > 5) {
      first = entry.at(5).get<uint32_t>();
      end = first + entry.at(6).get<uint32_t>();
    }
    std::set<Task> out;
    for (uint32_t t = first; t < end; ++t) out.insert({id, t});
    return out;
  }

  // The next write of a page. Other writes before it are applied.
  std::optional<PendingTransaction> next_page_write(double now) {
    while (auto p = scheduler->next_transaction(now)) {
      if (p->transaction.changes.at(0).key.rfind(ledger::kPagePrefix, 0) == 0) return p;
      scheduler->on_result(p->id, {Outcome::applied, ++revision, {}}, now);
    }
    return std::nullopt;
  }

  // Responds as the state service does after its limits were lowered.
  void respond(const PendingTransaction& p, double now) {
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
  std::set<Task> rewritten;  // tasks covered by pages written during the test
  std::unique_ptr<Scheduler> scheduler;
};

TEST_F(LoweredLimits, AnOversizedPageIsSplitWithoutLosingAttemptsOrEnds) {
  std::set<Task> expected = attempts_of(*scheduler);
  ASSERT_EQ(expected.size(), kLargeJobTasks + kSmallJobTasks);
  const std::set<Task> ended = {
      {kSmallJob, 7}, {kLargeJob, 3}, {kLargeJob, 60}, {kLargeJob, 200}, {kLargeJob, 260}};
  for (const Task& task : ended) {
    end_task(task, ExitCause::error, 1);
    expected.erase(task);
  }
  std::set<Task> last_attempts;
  for (double now = 1; now < 40; now += 0.5)
    while (auto p = scheduler->next_transaction(now)) {
      respond(*p, now);
      // After each write a new leader reads every attempt that may be running, in whichever page it
      // is, and every end that has been written to any page.
      for (const bool descending : {false, true}) {
        const std::set<Task> attempts = last_attempts = attempts_of(*leader(descending));
        for (const Task& task : expected) EXPECT_TRUE(attempts.count(task)) << task.second;
        for (const Task& task : ended)
          EXPECT_EQ(attempts.count(task), rewritten.count(task) ? 0u : 1u) << task.second;
      }
    }
  EXPECT_EQ(rejected, 1u) << "the first rejection reveals the lowered limits";
  EXPECT_EQ(last_attempts, expected) << "all ends must be durable";
  EXPECT_TRUE(scheduler->uses_lowered_limits());
  EXPECT_GT(std::set<std::string>(written.begin(), written.end()).size(), 3u);
}

// Until the new pages are written, the old page is the only durable copy of the moved chunks.
TEST_F(LoweredLimits, ASplitPageIsWrittenAfterThePagesThatReceiveItsChunks) {
  scheduler->apply_lowered_limits();
  end_task({kLargeJob, 3}, ExitCause::error, 1);
  std::vector<PendingTransaction> in_flight;
  for (double now = 1; now < 5; now += 0.5)
    while (auto p = scheduler->next_transaction(now)) in_flight.push_back(*p);
  ASSERT_GE(in_flight.size(), 3u);
  for (const auto& p : in_flight) {
    EXPECT_NE(p.transaction.changes.at(0).key, ledger::page_key(0));
    if (&p != &in_flight.back()) respond(p, 5);
  }
  EXPECT_FALSE(next_page_write(6)) << "one of the new pages is still being written";
  respond(in_flight.back(), 6);
  const auto p = next_page_write(7);
  ASSERT_TRUE(p);
  EXPECT_EQ(p->transaction.changes.at(0).key, ledger::page_key(0));
}

TEST_F(LoweredLimits, NoChunkIsMovedBeforeTheLimitsAreLowered) {
  end_task({kLargeJob, 3}, ExitCause::error, 1);
  const auto p = next_page_write(10);
  ASSERT_TRUE(p);
  EXPECT_EQ(p->transaction.changes.at(0).key, ledger::page_key(0));
  EXPECT_GT(ledger::value_size(p->transaction.changes.at(0).value), 2048u);
  scheduler->on_result(p->id, {Outcome::applied, 101, {}}, 10);
  EXPECT_FALSE(scheduler->uses_lowered_limits());
}

// An earlier copy of the transaction may have been executed, so its outcome remains indeterminate.
// The leader must neither resend it forever nor assume an outcome.
TEST_F(LoweredLimits, AnIndeterminateTransactionThatIsRejectedWhenResentEndsLeadership) {
  end_task({kLargeJob, 3}, ExitCause::error, 1);
  const auto first = next_page_write(10);
  ASSERT_TRUE(first);
  scheduler->on_result(first->id, {Outcome::indeterminate, 0, {}}, 10);
  const auto resent = next_page_write(11);
  ASSERT_TRUE(resent);
  EXPECT_EQ(resent->id, first->id);
  EXPECT_TRUE(resent->resend);
  scheduler->on_result(resent->id, {Outcome::rejected, 0, {}}, 11);
  EXPECT_TRUE(scheduler->has_lost_leadership());
  EXPECT_TRUE(scheduler->uses_lowered_limits()) << "its peer controllers must learn of it";
}

TEST_F(LoweredLimits, ATransactionRejectedWithinKnownLimitsIsRetriedLater) {
  settings.next_limits.reset();
  scheduler = leader();
  end_task({kLargeJob, 3}, ExitCause::error, 1);
  const auto p = next_page_write(10);
  ASSERT_TRUE(p);
  scheduler->on_result(p->id, {Outcome::rejected, 0, {}}, 10);
  EXPECT_FALSE(scheduler->uses_lowered_limits());
  EXPECT_FALSE(next_page_write(10.5));
  EXPECT_TRUE(next_page_write(20));
}

TEST_F(LoweredLimits, NewJobsUseTheLoweredLimitsFromTheStart) {
  const uint32_t tasks_per_chunk = ledger::tasks_per_chunk(settings.min_value_bytes());
  EXPECT_LT(tasks_per_chunk, kTasksPerChunk);
  CachedJob job = bare_job(200, {0.05, 0.01, 0.1}, 50);
  job.row.chunk_size = tasks_per_chunk;
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

// A page from before the limits were lowered may be within the limit but have no free capacity for
// new starts. Such starts were not written for minutes, until enough attempts in the page had ended
// (seen in the replay of a rollout, docs/rounds.md, round 31).
TEST_F(LoweredLimits, APageWithoutCapacityForNewStartsIsSplit) {
  rows.clear();
  ledger::PageRow page;
  add_job(kLargeJob, kTasksPerChunk, page);
  constexpr uint32_t kRunning = 85;
  page.entries.at(0).chunk.live.resize(kRunning);
  rows[ledger::page_key(0)] = {ledger::encode(page), 4};
  scheduler = leader();
  scheduler->apply_lowered_limits();
  for (int i = 1; i <= 70; ++i) scheduler->on_heartbeat(bare_heartbeat(i, 1, kLeaderToken), 1);
  for (double now = 1; now < 6; now += 0.5) {
    scheduler->round(now);
    while (auto p = scheduler->next_transaction(now)) respond(*p, now);
  }
  EXPECT_EQ(rejected, 0u);
  const Job& job = *scheduler->find_job(kLargeJob);
  EXPECT_EQ(job.attempts.size(), kTasksPerChunk);
  EXPECT_EQ(job.proposed_count, 0u);
}

TEST_F(LoweredLimits, AShortenedCancelledJobKeepsWhatQuotasAndZonesNeed) {
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
  const auto decoded = ledger::decode_job(kLargeJob, value);
  ASSERT_TRUE(decoded && decoded->spec);
  EXPECT_EQ(decoded->spec->team, "team");
  EXPECT_EQ(decoded->spec->zone, "a");
  EXPECT_TRUE(decoded->spec->spread_zones);
  EXPECT_DOUBLE_EQ(decoded->spec->per_task.gpus, 2);
}

}  // namespace
}  // namespace rookdyke
