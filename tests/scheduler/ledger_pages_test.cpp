// The ledger cache and pages of the ledger that are out of date, contradict one another or cannot
// be read.

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
  LedgerCache m;
  uint64_t version = 0;
  for (const nlohmann::json& v : shapes)
    for (const char* key : {"rd/leader", "rd/types", "rd/j/", "rd/j/x", "rd/t/", "rd/t/x", "rd/t/0",
                            "rd/t/4294967295", "rd/t/99999999999", "rd/f/", "rd/f/x", "rd/f/0",
                            "rd/f/99999999999999999999", "rd/", ""})
      EXPECT_NO_THROW(m.put(key, v, ++version)) << key << " = " << v;
  EXPECT_EQ(m.leader(), "");
  EXPECT_TRUE(m.types().empty());
  EXPECT_FALSE(m.job_progress("x"));
  MachineType type;
  type.name = "box";
  type.size = {16, 4, 64};
  Scheduler scheduler(Settings{}, {type}, version + 1, 0);
  EXPECT_NO_THROW(scheduler.load(m, 0));
  EXPECT_NO_THROW(scheduler.round(1));
}

// A chunk moves by being written elsewhere; its old page may say otherwise for a while.
TEST(LedgerCache, OfTwoPagesThatHoldTheSameTasksTheLaterOneCounts) {
  const auto page = [](const char* machine) {
    nlohmann::json live = nlohmann::json::array({0, 1, machine, 1});
    nlohmann::json entry = nlohmann::json::array(
        {"wk-000001", 0, 1, nlohmann::json::array(), nlohmann::json::array({live})});
    return nlohmann::json{{"w", "x"}, {"e", nlohmann::json::array({entry})}};
  };
  for (const bool backwards : {false, true}) {
    LedgerCache m;
    m.put("rd/j/wk-000001", open_job_row(), 3);
    if (backwards) m.put("rd/t/1", page("m-new"), 10);
    m.put("rd/t/0", page("m-old"), 4);
    if (!backwards) m.put("rd/t/1", page("m-new"), 10);
    const auto& chunks = m.job("wk-000001")->chunks;
    ASSERT_EQ(chunks.size(), 1u);
    EXPECT_EQ(chunks.begin()->second.chunk.live.at(0).machine, "m-new");
    // Its old page is written without it: it stays where it is.
    m.put("rd/t/0", {{"w", "x"}, {"e", nlohmann::json::array()}}, 11);
    EXPECT_EQ(m.job("wk-000001")->chunks.size(), 1u);
  }
}

TEST(LedgerCache, IgnoresOlderRowsAndForgetsWhatAReloadDoesNotShow) {
  LedgerCache m;
  ledger::JobRow row;
  row.tasks = 2;
  row.chunk_size = 2;
  row.spec = JobSpec{};
  ledger::JobRow finished = row;
  finished.status = ledger::JobStatus::cancelled;
  m.put("rd/j/wk-000001", ledger::encode(finished), 9);
  m.put("rd/j/wk-000001", ledger::encode(row), 5);
  ASSERT_TRUE(m.job_progress("wk-000001"));
  EXPECT_EQ(m.job_progress("wk-000001")->status, ledger::JobStatus::cancelled);
  m.put("rd/leader", {{"label", "n1"}}, 10);
  EXPECT_EQ(m.leader(), "n1");
  m.erase("rd/leader", 8);  // an older deletion
  EXPECT_EQ(m.leader(), "n1");
  m.begin_reload();
  m.put("rd/j/wk-000001", ledger::encode(finished), 9);
  m.end_reload();
  EXPECT_EQ(m.leader(), "");
  EXPECT_TRUE(m.job_progress("wk-000001"));
  EXPECT_FALSE(m.job_progress("wk-000002"));
}

// A page that names what its job does not have: that much of it is passed over, the rest counts.
TEST(Scheduler, APageThatIsOutOfRangeOfItsJobIsIgnored) {
  LedgerCache m;
  m.put("rd/j/wk-000001", open_job_row(), 3);  // 7 tasks, 3 a chunk
  m.put("rd/t/0", nlohmann::json::parse(R"({"w":"x","e":[
          ["wk-000001",0,4,[0,0,50,99999],[[1,4,"m-1",1],[1,4,"m-2",1],[5,4,"m-3",1]]],
          ["wk-000001",2,4,[],[[6,2,"m-1",1],[7,3,"m-2",1],[99999,3,"m-2",1]]],
          ["wk-000001",9,4,[],[[2,3,"m-2",1]]]]})"),
        4);
  EXPECT_LE(m.job_progress("wk-000001")->done, 7u);
  Settings settings;
  settings.teams = {{"t", 0, 0, 0, 0}};
  MachineType type;
  type.name = "box";
  type.size = {16, 4, 64};
  type.zones = {"a"};
  Scheduler scheduler(settings, {type}, 7, 0);
  scheduler.load(m, 0);
  const Job* job = scheduler.find_job("wk-000001");
  ASSERT_TRUE(job);
  EXPECT_EQ(job->done_count, 1u);
  ASSERT_EQ(job->attempts.size(), 2u);
  EXPECT_TRUE(job->attempts.count(1) && job->attempts.count(6));
  EXPECT_EQ(job->waiting, (std::set<uint32_t>{2, 3, 4, 5}));
  size_t held = 0;
  for (const auto& machine : scheduler.machines()) held += machine->tasks.size();
  EXPECT_EQ(held, 2u);
}

// A leader of that ledger, with one machine, after its first round.
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
  Heartbeat r;
  r.machine = "m-1";
  r.type = "box";
  r.zone = "a";
  r.epoch = r.seq = 1;
  r.fencing_token = 7;
  scheduler.on_heartbeat(r, 1);
  scheduler.round(1);
  return scheduler;
}

// A row that cannot be read keeps its revision: the leader that writes the page next meets
// no conflict, which would end one leader after the other.
// A page that cannot be read may hold attempts of any job that was there when it was written.
TEST(Scheduler, APageThatCannotBeReadDoesNotEndALeaderAndIsNeverWritten) {
  LedgerCache m;
  m.put("rd/j/wk-000001", open_job_row(), 3);
  m.put("rd/t/0", "noise", 4);
  m.put("rd/j/wk-000002", open_job_row(), 5);
  Scheduler scheduler = leader_of(m);
  bool written = false;
  while (const auto p = scheduler.next_transaction(1)) {
    const std::string key = p->transaction.changes.at(0).key;
    EXPECT_NE(key, "rd/t/0");
    if (key.rfind(ledger::kPagePrefix, 0) != 0) continue;
    written = true;
    for (const auto& entry : p->transaction.changes.at(0).value.at("e"))
      EXPECT_EQ(entry.at(0), "wk-000002") << "the other job's tasks may run already";
  }
  EXPECT_TRUE(written);
  EXPECT_NE(scheduler.find_job("wk-000001"), nullptr) << "it stays known";
}

// As a version that is newer than this one may leave it.
TEST(Scheduler, WhatAPageSaysOfAJobThatCannotBeReadStaysInIt) {
  LedgerCache m;
  m.put("rd/j/wk-000001", "noise", 3);
  m.put("rd/j/wk-000002", open_job_row(), 4);
  const auto of_unreadable = nlohmann::json::parse(R"(["wk-000001",0,2,[1,1],[[0,2,"m-9",1]]])");
  m.put("rd/t/0", {{"w", "x"}, {"e", nlohmann::json::array({of_unreadable})}}, 5);
  EXPECT_TRUE(m.is_unreadable("wk-000001"));
  EXPECT_FALSE(m.is_unreadable("wk-000002"));
  Scheduler scheduler = leader_of(m);
  bool written = false;
  while (const auto p = scheduler.next_transaction(1)) {
    if (p->transaction.changes.at(0).key != "rd/t/0") continue;
    written = true;
    EXPECT_EQ(p->transaction.changes.at(0).value.at("e").at(0), of_unreadable);
  }
  EXPECT_TRUE(written);
}

}  // namespace
}  // namespace rookdyke
