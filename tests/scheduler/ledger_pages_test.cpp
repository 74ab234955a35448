// The ledger cache, and ledger pages that are outdated, contradictory or unreadable.

#include <gtest/gtest.h>

#include <cmath>
#include <set>
#include <string>
#include <vector>

#include "ledger/ledger_cache.h"
#include "scheduler/scheduler.h"
#include "scheduler/scheduler_fixtures.h"

namespace rookdyke {
namespace {

using namespace test;

TEST(LedgerCache, RowsOfAnyShapeAreTolerated) {
  const std::vector<nlohmann::json> shapes = {
      nullptr, 3, -1, 1e300, NAN, "x", true, {1, "a", {}}, {{"label", 3}}, {{"e", 3}}};
  LedgerCache ledger_cache;
  uint64_t version = 0;
  for (const nlohmann::json& v : shapes)
    for (const char* key : {"rd/leader", "rd/types", "rd/j/", "rd/j/x", "rd/t/", "rd/t/x", "rd/t/0",
                            "rd/t/4294967295", "rd/t/99999999999", "rd/f/", "rd/f/x", "rd/f/0",
                            "rd/f/99999999999999999999", "rd/", ""})
      EXPECT_NO_THROW(ledger_cache.put(key, v, ++version)) << key << " = " << v;
  EXPECT_EQ(ledger_cache.leader(), "");
  EXPECT_TRUE(ledger_cache.types().empty());
  EXPECT_FALSE(ledger_cache.job_progress("x"));
  MachineType type;
  type.name = "box";
  type.size = {16, 4, 64};
  Scheduler scheduler(Settings{}, {type}, version + 1, 0);
  EXPECT_NO_THROW(scheduler.load(ledger_cache, 0));
  EXPECT_NO_THROW(scheduler.round(1));
}

// A chunk is moved by writing it to another page. Its old page still contains it until that page is
// rewritten.
TEST(LedgerCache, OfTwoPagesWithTheSameChunkTheNewerIsUsed) {
  const auto page = [](const char* machine) {
    nlohmann::json live = nlohmann::json::array({0, 1, machine, 1});
    nlohmann::json entry = nlohmann::json::array(
        {"wk-000001", 0, 1, nlohmann::json::array(), nlohmann::json::array({live})});
    return nlohmann::json{{"w", "x"}, {"e", nlohmann::json::array({entry})}};
  };
  for (const bool newer_first : {false, true}) {
    LedgerCache ledger_cache;
    ledger_cache.put("rd/j/wk-000001", open_job_row(), 3);
    if (newer_first) ledger_cache.put("rd/t/1", page("m-new"), 10);
    ledger_cache.put("rd/t/0", page("m-old"), 4);
    if (!newer_first) ledger_cache.put("rd/t/1", page("m-new"), 10);
    const auto& chunks = ledger_cache.job("wk-000001")->chunks;
    ASSERT_EQ(chunks.size(), 1u);
    EXPECT_EQ(chunks.begin()->second.chunk.live.at(0).machine, "m-new");
    // The old page is rewritten without the chunk: the entry of the new page remains.
    ledger_cache.put("rd/t/0", {{"w", "x"}, {"e", nlohmann::json::array()}}, 11);
    EXPECT_EQ(ledger_cache.job("wk-000001")->chunks.size(), 1u);
  }
}

TEST(LedgerCache, IgnoresOlderRowsAndDropsRowsMissingFromAReload) {
  LedgerCache ledger_cache;
  ledger::JobRow row;
  row.tasks = 2;
  row.chunk_size = 2;
  row.spec = JobSpec{};
  ledger::JobRow finished = row;
  finished.status = ledger::JobStatus::cancelled;
  ledger_cache.put("rd/j/wk-000001", ledger::encode(finished), 9);
  ledger_cache.put("rd/j/wk-000001", ledger::encode(row), 5);
  ASSERT_TRUE(ledger_cache.job_progress("wk-000001"));
  EXPECT_EQ(ledger_cache.job_progress("wk-000001")->status, ledger::JobStatus::cancelled);
  ledger_cache.put("rd/leader", {{"label", "n1"}}, 10);
  EXPECT_EQ(ledger_cache.leader(), "n1");
  ledger_cache.erase("rd/leader", 8);  // an older deletion
  EXPECT_EQ(ledger_cache.leader(), "n1");
  ledger_cache.begin_reload();
  ledger_cache.put("rd/j/wk-000001", ledger::encode(finished), 9);
  ledger_cache.end_reload();
  EXPECT_EQ(ledger_cache.leader(), "");
  EXPECT_TRUE(ledger_cache.job_progress("wk-000001"));
  EXPECT_FALSE(ledger_cache.job_progress("wk-000002"));
}

// Entries that name tasks or chunks beyond those of their job are ignored, the rest of the page is
// used.
TEST(Scheduler, PageEntriesOutOfRangeOfTheirJobAreIgnored) {
  LedgerCache ledger_cache;
  ledger_cache.put("rd/j/wk-000001", open_job_row(), 3);  // 7 tasks, 3 per chunk
  ledger_cache.put("rd/t/0", nlohmann::json::parse(R"({"w":"x","e":[
          ["wk-000001",0,4,[0,0,50,99999],[[1,4,"m-1",1],[1,4,"m-2",1],[5,4,"m-3",1]]],
          ["wk-000001",2,4,[],[[6,2,"m-1",1],[7,3,"m-2",1],[99999,3,"m-2",1]]],
          ["wk-000001",9,4,[],[[2,3,"m-2",1]]]]})"),
                   4);
  EXPECT_LE(ledger_cache.job_progress("wk-000001")->done, 7u);
  Settings settings;
  settings.teams = {{"t", 0, 0, 0, 0}};
  MachineType type;
  type.name = "box";
  type.size = {16, 4, 64};
  type.zones = {"a"};
  Scheduler scheduler(settings, {type}, 7, 0);
  scheduler.load(ledger_cache, 0);
  const Job* job = scheduler.find_job("wk-000001");
  ASSERT_TRUE(job);
  EXPECT_EQ(job->done_count, 1u);
  ASSERT_EQ(job->attempts.size(), 2u);
  EXPECT_TRUE(job->attempts.count(1) && job->attempts.count(6));
  EXPECT_EQ(job->waiting, (std::set<uint32_t>{2, 3, 4, 5}));
  size_t assigned = 0;
  for (const auto& machine : scheduler.machines()) assigned += machine->tasks.size();
  EXPECT_EQ(assigned, 2u);
}

// A leader that has loaded `ledger`, with one machine, after its first scheduling round.
Scheduler leader_of(const LedgerCache& ledger) {
  Settings settings;
  settings.zones = {"a"};
  settings.teams = {{"t", 0, 0, 0, 0}};
  MachineType type;
  type.name = "box";
  type.size = {16, 4, 64};
  type.zones = {"a"};
  Scheduler scheduler(settings, {type}, 7, 0);
  scheduler.load(ledger, 0);
  Heartbeat heartbeat;
  heartbeat.machine = "m-1";
  heartbeat.type = "box";
  heartbeat.zone = "a";
  heartbeat.epoch = heartbeat.seq = 1;
  heartbeat.fencing_token = 7;
  scheduler.on_heartbeat(heartbeat, 1);
  scheduler.round(1);
  return scheduler;
}

// The revision of an unreadable page is kept: without it, each leader in turn would lose its
// leadership to a conflict when it writes the page. The page may hold attempts of any job that
// existed when it was written, so such jobs must not start tasks.
TEST(Scheduler, AnUnreadablePageDoesNotEndLeadershipAndIsNeverWritten) {
  LedgerCache ledger_cache;
  ledger_cache.put("rd/j/wk-000001", open_job_row(), 3);
  ledger_cache.put("rd/t/0", "noise", 4);
  ledger_cache.put("rd/j/wk-000002", open_job_row(), 5);
  Scheduler scheduler = leader_of(ledger_cache);
  bool written = false;
  while (const auto p = scheduler.next_transaction(1)) {
    const std::string key = p->transaction.changes.at(0).key;
    EXPECT_NE(key, "rd/t/0");
    if (key.rfind(ledger::kPagePrefix, 0) != 0) continue;
    written = true;
    for (const auto& entry : p->transaction.changes.at(0).value.at("e"))
      EXPECT_EQ(entry.at(0), "wk-000002") << "tasks of the other job may be running already";
  }
  EXPECT_TRUE(written);
  EXPECT_NE(scheduler.find_job("wk-000001"), nullptr) << "the job must not be dropped";
}

// A newer version of the software may have written a job row that this version cannot read.
TEST(Scheduler, PageEntriesOfAnUnreadableJobAreKept) {
  LedgerCache ledger_cache;
  ledger_cache.put("rd/j/wk-000001", "noise", 3);
  ledger_cache.put("rd/j/wk-000002", open_job_row(), 4);
  const auto unreadable_entry = nlohmann::json::parse(R"(["wk-000001",0,2,[1,1],[[0,2,"m-9",1]]])");
  ledger_cache.put("rd/t/0", {{"w", "x"}, {"e", nlohmann::json::array({unreadable_entry})}}, 5);
  EXPECT_TRUE(ledger_cache.is_unreadable("wk-000001"));
  EXPECT_FALSE(ledger_cache.is_unreadable("wk-000002"));
  Scheduler scheduler = leader_of(ledger_cache);
  bool written = false;
  while (const auto p = scheduler.next_transaction(1)) {
    if (p->transaction.changes.at(0).key != "rd/t/0") continue;
    written = true;
    EXPECT_EQ(p->transaction.changes.at(0).value.at("e").at(0), unreadable_entry);
  }
  EXPECT_TRUE(written);
}

}  // namespace
}  // namespace rookdyke
