// The forecast, the ledger's rows and the ledger cache, by themselves.

#include "scheduler/scheduler.h"

#include <gtest/gtest.h>

#include <array>
#include <cmath>

#include "admission/admission.h"
#include "fleet/forecast.h"
#include "leadership/cancellations.h"
#include "leadership/lease_clock.h"
#include "ledger/ledger_cache.h"
#include "ledger/rows.h"
#include "model/states.h"
#include "scheduler_fixtures.h"

namespace rookdyke {
namespace {

using ledger::TaskSet;
using namespace test;

TEST(Forecast, BeginsWithOneSpareMachine) {
  Forecast f(Tuning{}, 40);
  f.sample(0, {});
  EXPECT_DOUBLE_EQ(f.target({10, 1, 10}), 1);
}

TEST(Forecast, TheLargestResourceRatioDecides) {
  Tuning t;
  t.start_spare = 0;
  t.safe_fraction = 0.9;
  Forecast f(t, 40);
  f.sample(0, {18, 4, 9});  // of 90%: 2 by cpus, 4.4 by gpus, 1 by memory
  EXPECT_DOUBLE_EQ(f.target({10, 1, 10}), 5);
}

TEST(Forecast, FollowsTheTrendOneBootAhead) {
  Tuning t;
  t.trend_s = 30;
  Forecast f(t, 40);
  for (int i = 0; i <= 6; ++i) f.sample(5 * i, {10.0 * i, 0, 0});
  EXPECT_NEAR(f.ahead().cpus, 60 + 2 * 40, 1e-6);
}

TEST(Forecast, KeepsTheTailOfItsPositiveMisses) {
  Tuning t;
  t.trend_s = 0;  // the last sample is the forecast
  t.percentile = 0.5;
  t.history = 4;
  Forecast f(t, 10);
  const std::array<double, 6> demand = {10, 10, 14, 10, 10, 22};
  for (int i = 0; i < 6; ++i) f.sample(5 * i, {demand[i], 0, 0});
  // Forecasts of 10, 10, 14, 10 met 14, 10, 10, 22: misses 4, 0, 0, 12.
  EXPECT_DOUBLE_EQ(f.spare().cpus, 0);
  Forecast g = f;
  g.sample(30, {30, 0, 0});  // forecast 10, miss 20: the kept ones are 0, 0, 12, 20
  EXPECT_DOUBLE_EQ(g.spare().cpus, 0);
  g.sample(35, {30, 0, 0});  // forecast 22, miss 8: 0, 12, 20, 8
  EXPECT_DOUBLE_EQ(g.spare().cpus, 8);
}

TEST(TaskSet, JoinsRangesAndSurvivesItsEncoding) {
  TaskSet s;
  for (uint32_t t : {5u, 1u, 3u, 2u, 9u, 4u, 5u}) s.add(t);
  EXPECT_EQ(s.count(), 6u);
  EXPECT_EQ(s.ranges().size(), 2u);
  EXPECT_TRUE(s.has(4));
  EXPECT_FALSE(s.has(6));
  const TaskSet back = TaskSet::decode(s.encode());
  EXPECT_EQ(back.ranges(), s.ranges());
}

TEST(Ledger, SizesAreNotUnderestimated) {
  ledger::Page page;
  page.transaction_id = "18446744073709551615.18446744073709551615";
  size_t size = 0;
  for (const std::string id : {"wk-000001", "wk-123456789012345678"}) {
    ledger::PageEntry e;
    e.job = id;
    e.n = 1234;
    e.chunk.highest_attempt = 123456789;
    for (uint32_t t = 0; t < 200; ++t) {
      if (t % 2 == 0) {
        e.chunk.done.add(99999 - t);
      } else {
        e.chunk.live.push_back({99999 - t, 1000000, "m-000000012345", 1000});
        size += ledger::encoded_size(e.chunk.live.back());
      }
    }
    size += ledger::encoded_size(e.job, e.chunk.done);
    page.entries.push_back(std::move(e));
  }
  const size_t real = ledger::encode(page).dump().size();
  EXPECT_LE(real, size + (8192 - ledger::page_room(8192)));
  EXPECT_GE(real, size * 8 / 10) << "the estimate wastes room";
  const auto back = ledger::decode_page(ledger::encode(page));
  ASSERT_TRUE(back);
  ASSERT_EQ(back->entries.size(), 2u);
  EXPECT_EQ(back->entries[1].chunk.live.size(), 100u);
  EXPECT_EQ(back->entries[1].chunk.done.ranges(), page.entries[1].chunk.done.ranges());
  EXPECT_FALSE(ledger::decode_page({{"e", 3}}));
}

TEST(Ledger, AChunkFitsAPage) {
  for (const size_t bytes : {1024u, 8192u, 65536u}) {
    const uint32_t per = ledger::tasks_per_chunk(bytes);
    EXPECT_GE(per, 8u);
    EXPECT_LE(ledger::chunk_reserve("wk-000000000000000001", per), ledger::page_room(bytes));
  }
}

TEST(Ledger, RowsSurviveTheirEncoding) {
  ledger::JobRow row;
  row.tasks = 7;
  row.chunk_size = 3;
  row.timestamp_s = 12.5;
  row.transaction_id = "x.1";
  row.spec = JobSpec{};
  row.spec->team = "t";
  row.spec->per_task = {1.5, 2, 3};
  row.spec->shape = JobShape::gang;
  row.spec->priority = Priority::urgent;
  row.spec->types = {"g8"};
  const auto back = ledger::decode_job("wk-000001", ledger::encode(row));
  ASSERT_TRUE(back && back->spec);
  EXPECT_EQ(back->spec->id, "wk-000001");
  EXPECT_EQ(back->spec->tasks, 7u);
  EXPECT_EQ(back->spec->priority, Priority::urgent);
  EXPECT_EQ(back->spec->types, row.spec->types);
  EXPECT_DOUBLE_EQ(back->spec->per_task.cpus, 1.5);
  EXPECT_FALSE(ledger::decode_job("wk-000001", {{"standing", "open"}}));
}

// ---- what can never run

class Admission : public testing::Test {
 protected:
  Admission() {
    MachineType small, large;
    small.name = "small";
    small.size = {4, 0, 8};
    small.zones = {"a", "b"};
    large.name = "large";
    large.size = {16, 4, 64};
    large.zones = {"b"};
    types = {small, large};
    teams = {{"t", 0, 8, 0, 4}, {"free", 0, 0, 0, 0}};
    job.team = "t";
    job.tasks = 4;
    job.per_task = {2, 0, 4};
  }
  bool runs() const { return !never_runs(job, types, teams, {"a", "b"}); }

  std::vector<MachineType> types;
  std::vector<TeamQuota> teams;
  JobSpec job;
};

TEST_F(Admission, TeamsAndSizes) {
  EXPECT_TRUE(runs());
  job.team = "nobody";
  EXPECT_FALSE(runs());
  job.team = "t";
  job.per_task.gpus = 1;
  EXPECT_TRUE(runs());  // on the large ones
  job.types = {"small"};
  EXPECT_FALSE(runs());
  job.types = {"small", "large"};
  EXPECT_TRUE(runs());
  job.types = {"round"};
  EXPECT_FALSE(runs());
  job.types.clear();
  job.per_task = {17, 0, 1};
  EXPECT_FALSE(runs());
}

TEST_F(Admission, AnArrayNeedsTheLimitForOneTaskAGangForAll) {
  job.tasks = 100'000;
  EXPECT_TRUE(runs());
  job.per_task.cpus = 8;
  EXPECT_TRUE(runs());
  job.per_task.cpus = 8.001;
  EXPECT_FALSE(runs());
  job.shape = JobShape::gang;
  job.tasks = 4;
  job.per_task.cpus = 2;
  EXPECT_TRUE(runs());
  job.tasks = 5;
  EXPECT_FALSE(runs());
  job.team = "free";  // it has no limit
  EXPECT_TRUE(runs());
}

TEST_F(Admission, AZoneHasToOfferATypeThatHoldsATask) {
  for (const char* zone : {"a", "b"}) {
    job.zone = zone;
    EXPECT_TRUE(runs());
  }
  job.zone = "c";
  EXPECT_FALSE(runs());
  job.zone = "a";
  job.per_task.gpus = 1;
  EXPECT_FALSE(runs());  // the large ones are in b only
  job.zone = "b";
  EXPECT_TRUE(runs());
  types[1].zones.clear();  // not known: any zone of the deployment
  job.zone = "a";
  EXPECT_TRUE(runs());
  EXPECT_FALSE(never_runs(job, types, teams, {}));
}

TEST_F(Admission, AScatteredGangNeedsTwoZones) {
  job.shape = JobShape::gang;
  job.spread_zones = true;
  EXPECT_TRUE(runs());
  job.single_zone = true;
  EXPECT_FALSE(runs());
  job.tasks = 1;
  EXPECT_TRUE(runs());
  job.tasks = 2;
  job.single_zone = false;
  job.zone = "a";
  EXPECT_FALSE(runs());
  job.zone.clear();
  job.per_task.gpus = 1;
  EXPECT_FALSE(runs());  // the large ones are in b only
  // An array's tasks may run one after the other, each by itself.
  job.shape = JobShape::array;
  job.single_zone = true;
  job.zone = "b";
  EXPECT_TRUE(runs());
}

// ---- rows of any shape: what cannot be read is passed over, and nothing of it is believed

nlohmann::json open_row() {
  ledger::JobRow row;
  row.tasks = 7;
  row.chunk_size = 3;
  row.spec = JobSpec{};
  row.spec->team = "t";
  return ledger::encode(row);
}

TEST(Ledger, AJobRowWithAWrongValueIsNotRead) {
  ASSERT_TRUE(ledger::decode_job("wk-000001", open_row()));
  const std::vector<std::pair<const char*, nlohmann::json>> bad = {
      {"standing", 9},   {"standing", -1}, {"standing", true}, {"standing", 1.5},
      {"tasks", -1},     {"tasks", 0},     {"tasks", 100001},  {"tasks", 4294967298},
      {"tasks", 2.5},    {"tasks", "7"},   {"per", -1},        {"per", 4294967295},
      {"at", NAN},       {"at", INFINITY}, {"at", "noon"},     {"w", 3},
      {"spec", nullptr}, {"spec", {1, 2}}, {"per", 0}};
  for (const auto& [k, v] : bad) {
    nlohmann::json j = open_row();
    j[k] = v;
    EXPECT_FALSE(ledger::decode_job("wk-000001", j)) << k << " = " << v;
  }
  const std::vector<std::pair<const char*, nlohmann::json>> bad_spec = {
      {"cpus", NAN}, {"gpus", -1},   {"mem", INFINITY}, {"mem", 1e300}, {"image_gb", true},
      {"rank", 7},   {"rank", -1},   {"rank", "idle"},  {"types", 3},   {"types", {1}},
      {"zone", 1},   {"due", "now"}, {"gang", 1},       {"save", NAN}};
  for (const auto& [k, v] : bad_spec) {
    nlohmann::json j = open_row();
    j["spec"][k] = v;
    EXPECT_FALSE(ledger::decode_job("wk-000001", j)) << k << " = " << v;
  }
  for (const nlohmann::json& v : {nlohmann::json(), nlohmann::json(3), nlohmann::json("x"),
                                  nlohmann::json::array({1}), nlohmann::json::object()})
    EXPECT_FALSE(ledger::decode_job("wk-000001", v)) << v;
}

TEST(Ledger, APageWithAWrongValueIsNotRead) {
  const auto page = [](const std::string& entry) {
    return ledger::decode_page(nlohmann::json::parse(R"({"e":[)" + entry + R"(],"w":"x"})"));
  };
  EXPECT_TRUE(page(R"(["wk-000001",0,4,[0,1,5,5],[[2,4,"m-1",1]]])"));
  for (const char* bad : {R"(["wk-000001",0,4,7,[]])",
                          R"(["wk-000001",0,4,{"a":1,"b":2},[]])",
                          R"(["wk-000001",0,4,[1],[]])",
                          R"(["wk-000001",0,4,[3,1],[]])",
                          R"(["wk-000001",0,4,[0,4294967295],[]])",
                          R"(["wk-000001",0,4,[5,6,1,2],[]])",
                          R"(["wk-000001",0,4,[0,3,2,5],[]])",
                          R"(["wk-000001",0,4,[-1,1],[]])",
                          R"(["wk-000001",0,4,[0.5,1],[]])",
                          R"(["wk-000001",-1,4,[],[]])",
                          R"(["wk-000001",4294967296,4,[],[]])",
                          R"(["wk-000001",0,-4,[],[]])",
                          R"(["wk-000001",0,18446744073709551615,[],[]])",
                          R"(["wk-000001",0,4,[],{"a":[2,4,"m",1]}])",
                          R"(["wk-000001",0,4,[],[[2,4,"",1]]])",
                          R"(["wk-000001",0,4,[],[[-2,4,"m-1",1]]])",
                          R"(["wk-000001",0,4,[],[[2,4,"m-1"]]])",
                          R"(["wk-000001",0,4,[],[[100000,4,"m-1",1]]])",
                          R"(["wk-000001",0,4,[],[[2,18446744073709551615,"m-1",1]]])",
                          R"(["",0,4,[],[]])",
                          R"([1,0,4,[],[]])",
                          R"({"a":1})",
                          "3"})
    EXPECT_FALSE(page(bad)) << bad;
  EXPECT_FALSE(ledger::decode_page({{"e", {{"a", 1}}}}));
  EXPECT_FALSE(ledger::decode_page({{"e", nlohmann::json::array()}, {"w", 3}}));
}

TEST(Ledger, TypesWithAWrongValueAreNotRead) {
  MachineType type;
  type.name = "box";
  type.size = {16, 4, 64};
  type.boot_s = 50;
  type.zones = {"a"};
  const nlohmann::json good = ledger::encode_types({type});
  EXPECT_EQ(ledger::decode_types(good).size(), 1u);
  const std::vector<std::pair<const char*, nlohmann::json>> bad = {
      {"name", ""},   {"name", 3},         {"cpus", -1},    {"cpus", "16"},       {"mem", NAN},
      {"gpus", true}, {"price", INFINITY}, {"fetch", -1.0}, {"boot_s", 0},        {"boot_s", NAN},
      {"zones", "a"}, {"zones", {1}},      {"cpus", 1e300}, {"cache_gb", nullptr}};
  for (const auto& [k, v] : bad) {
    nlohmann::json j = good;
    j["types"][0][k] = v;
    EXPECT_TRUE(ledger::decode_types(j).empty()) << k << " = " << v;
  }
  EXPECT_TRUE(ledger::decode_types(3).empty());
  EXPECT_TRUE(ledger::decode_types(ledger::encode_types({type, type})).empty());
}

TEST(LedgerCache, RowsOfAnyShapeAreOutlived) {
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
  EXPECT_FALSE(m.answer("x"));
  MachineType type;
  type.name = "box";
  type.size = {16, 4, 64};
  Scheduler scheduler(Settings{}, {type}, version + 1, 0);
  EXPECT_NO_THROW(scheduler.load(m, 0));
  EXPECT_NO_THROW(scheduler.round(1));
}

// A page that names what its job does not have: that much of it is passed over, the rest counts.
TEST(Scheduler, APageThatIsOutOfRangeOfItsJobIsNotBelieved) {
  LedgerCache m;
  m.put("rd/j/wk-000001", open_row(), 3);  // 7 tasks, 3 a chunk
  m.put("rd/t/0", nlohmann::json::parse(R"({"w":"x","e":[
          ["wk-000001",0,4,[0,0,50,99999],[[1,4,"m-1",1],[1,4,"m-2",1],[5,4,"m-3",1]]],
          ["wk-000001",2,4,[],[[6,2,"m-1",1],[7,3,"m-2",1],[99999,3,"m-2",1]]],
          ["wk-000001",9,4,[],[[2,3,"m-2",1]]]]})"),
        4);
  EXPECT_LE(m.answer("wk-000001")->done, 7u);
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

// A row that cannot be read keeps its revision: the leader that writes the page next is not told
// that the ledger is not as it left it, which would end one leader after the other.
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
    m.put("rd/j/wk-000001", open_row(), 3);
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

// A page that cannot be read may hold attempts of any job that was there when it was written.
TEST(Scheduler, APageThatCannotBeReadDoesNotEndALeaderAndIsNeverWritten) {
  LedgerCache m;
  m.put("rd/j/wk-000001", open_row(), 3);
  m.put("rd/t/0", "noise", 4);
  m.put("rd/j/wk-000002", open_row(), 5);
  Scheduler scheduler = leader_of(m);
  bool written = false;
  while (const auto p = scheduler.next_transaction(1)) {
    const std::string key = p->txn.changes.at(0).key;
    EXPECT_NE(key, "rd/t/0");
    if (key.rfind(ledger::kTaskPrefix, 0) != 0) continue;
    written = true;
    for (const auto& entry : p->txn.changes.at(0).value.at("e"))
      EXPECT_EQ(entry.at(0), "wk-000002") << "the other job's tasks may run already";
  }
  EXPECT_TRUE(written);
  EXPECT_NE(scheduler.find_job("wk-000001"), nullptr) << "it stays known";
}

// As a version that is newer than this one may leave it.
TEST(Scheduler, WhatAPageSaysOfAJobThatCannotBeReadStaysInIt) {
  LedgerCache m;
  m.put("rd/j/wk-000001", "noise", 3);
  m.put("rd/j/wk-000002", open_row(), 4);
  const auto of_unreadable = nlohmann::json::parse(R"(["wk-000001",0,2,[1,1],[[0,2,"m-9",1]]])");
  m.put("rd/t/0", {{"w", "x"}, {"e", nlohmann::json::array({of_unreadable})}}, 5);
  EXPECT_TRUE(m.unreadable("wk-000001"));
  EXPECT_FALSE(m.unreadable("wk-000002"));
  Scheduler scheduler = leader_of(m);
  bool written = false;
  while (const auto p = scheduler.next_transaction(1)) {
    if (p->txn.changes.at(0).key != "rd/t/0") continue;
    written = true;
    EXPECT_EQ(p->txn.changes.at(0).value.at("e").at(0), of_unreadable);
  }
  EXPECT_TRUE(written);
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
  ASSERT_TRUE(m.answer("wk-000001"));
  EXPECT_EQ(m.answer("wk-000001")->status, ledger::JobStatus::cancelled);
  m.put("rd/leader", {{"label", "n1"}}, 10);
  EXPECT_EQ(m.leader(), "n1");
  m.erase("rd/leader", 8);  // an older deletion
  EXPECT_EQ(m.leader(), "n1");
  m.begin_reload();
  m.put("rd/j/wk-000001", ledger::encode(finished), 9);
  m.end_reload();
  EXPECT_EQ(m.leader(), "");
  EXPECT_TRUE(m.answer("wk-000001"));
  EXPECT_FALSE(m.answer("wk-000002"));
}

// A leader with token 7 at time 0.
Scheduler one_zone_core() {
  MachineType type;
  type.name = "box";
  type.size = {16, 4, 64};
  type.cache_gb = 100;
  type.zones = {"a"};
  Settings settings;
  settings.zones = {"a"};
  settings.teams = {{"t", 0, 0, 0, 0}};
  return Scheduler(settings, {type}, 7, 0);
}

Heartbeat report_of_m1() {
  Heartbeat r;
  r.machine = "m-1";
  r.addr = "h:1";
  r.type = "box";
  r.zone = "a";
  return r;
}

CachedJob one_task(uint64_t version) {
  CachedJob job;
  job.version = version;
  job.row.tasks = job.row.chunk_size = 1;
  job.row.spec = JobSpec{};
  job.row.spec->team = "t";
  return job;
}

TEST(Scheduler, ImageHintsReachASuccessor) {
  const std::vector<ListedMachine> list = {
      {"m-1", "h:1", "box", "a", false, ListedMachine::State::running, 10}};
  Heartbeat report = report_of_m1();
  report.epoch = report.seq = 1;
  report.fencing_token = 7;
  const auto hints = nlohmann::json::parse(
      R"({"images":[["x",4.0],["y",6.0]],"machines":{"m-1":[1,0],"m-unknown":[0]}})");
  Scheduler scheduler = one_zone_core();
  scheduler.on_machine_list(list, 0, 0);
  scheduler.load_image_locations(hints, 5);
  scheduler.on_heartbeat(report, 6);
  const nlohmann::json told = scheduler.image_locations();
  ASSERT_EQ(told.at("machines").size(), 1u);
  // The least recently used first: y, then x.
  std::vector<std::string> order;
  for (const auto& k : told.at("machines").at("m-1"))
    order.push_back(told.at("images").at(k.get<size_t>()).at(0).get<std::string>());
  EXPECT_EQ(order, (std::vector<std::string>{"y", "x"}));
  scheduler.load_image_locations({{"images", 3}}, 7);  // nonsense changes nothing
  EXPECT_EQ(scheduler.image_locations(), told);
}

// A copy of a job's row that comes after the job is over must not bring it back.
TEST(Scheduler, AnOverJobStaysOver) {
  Scheduler scheduler = one_zone_core();
  const CachedJob row = one_task(3);
  scheduler.on_job_row(row, "wk-000001", 1);
  ASSERT_TRUE(scheduler.find_job("wk-000001"));
  CachedJob finished = row;
  finished.version = 5;
  finished.row.status = ledger::JobStatus::cancelled;
  scheduler.on_job_row(finished, "wk-000001", 2);
  EXPECT_FALSE(scheduler.find_job("wk-000001"));
  scheduler.on_job_row(row, "wk-000001", 3);
  EXPECT_FALSE(scheduler.find_job("wk-000001"));
}

// Under a load that never leaves the committer idle the rented list is written all the same: a
// successor that reads an old one counts machines that are gone, and rents none in their place.
TEST(Scheduler, TheRentedListIsWrittenUnderLoad) {
  Scheduler scheduler = one_zone_core();
  Heartbeat r = report_of_m1();
  r.epoch = 1;
  r.fencing_token = 7;
  uint64_t revision = 7;
  size_t pages = 0, lists = 0;
  for (int step = 0; step < 150; ++step) {
    const double now = 0.1 * step;
    scheduler.on_job_row(one_task(++revision), "wk-" + std::to_string(100000 + step), now);
    if (step % 20 == 0) {
      ++r.seq;
      for (const WorkerCommand& o : scheduler.on_heartbeat(r, now).commands)
        if (o.verb == CommandKind::start)
          r.tasks.push_back({o.job, o.task, o.attempt, TaskPhase::running, ExitCause::none, false});
    }
    scheduler.round(now);
    // One transaction a step is less than there is to write.
    const auto p = scheduler.next_transaction(now);
    if (!p) continue;
    const std::string& key = p->txn.changes.at(0).key;
    pages += key.rfind(ledger::kTaskPrefix, 0) == 0;
    lists += key.rfind(ledger::kFleetPrefix, 0) == 0;
    scheduler.on_result(p->id, {ledger::Outcome::applied, ++revision, {}}, now);
  }
  EXPECT_FALSE(scheduler.has_lost_leadership());
  EXPECT_GE(pages, 100u);
  EXPECT_GE(lists, 1u);
  EXPECT_LE(lists, 4u);  // no more often than every 4 s
}

// A report that its worker sent before it knew our token shows no life and is given no orders.
TEST(Scheduler, AReportWithAnOlderTokenProvesNothing) {
  Scheduler scheduler = one_zone_core();
  Heartbeat r = report_of_m1();
  r.epoch = 1;
  r.seq = 4;
  r.fencing_token = 6;
  r.notice_s = 3;
  r.tasks = {{"wk-000009", 0, 1, TaskPhase::running, ExitCause::none, false}};
  EXPECT_TRUE(scheduler.on_heartbeat(r, 1).commands.empty());
  EXPECT_EQ(scheduler.machines().at(0)->state, MachineState::booting);
  EXPECT_FALSE(scheduler.machines().at(0)->registered);
  EXPECT_LT(scheduler.machines().at(0)->reclaim_at, 0);
  r.fencing_token = 7;
  r.seq = 5;
  r.notice_s = -1;
  EXPECT_EQ(scheduler.on_heartbeat(r, 2).commands.size(),
            1u);  // what the ledger does not know is stopped
  EXPECT_TRUE(scheduler.machines().at(0)->registered);
  r.seq = 4;
  EXPECT_EQ(scheduler.on_heartbeat(r, 9).verdict, HeartbeatReply::Verdict::outdated);
  EXPECT_DOUBLE_EQ(scheduler.machines().at(0)->last_heartbeat, 2);
}

// A report of an unknown type or zone neither ends us nor takes a known machine's type away.
TEST(Scheduler, AReportOfAnUnknownTypeIsOutlived) {
  Scheduler scheduler = one_zone_core();
  scheduler.on_machine_list({{"m-2", "h:1", "box", "a", false, ListedMachine::State::running, 10}},
                            0, 0);
  scheduler.on_job_row(one_task(3), "wk-000001", 1);
  for (const char* machine : {"m-1", "m-2"}) {
    Heartbeat r = report_of_m1();
    r.machine = machine;
    r.type = "round";
    r.zone = "nowhere";
    r.epoch = r.seq = 1;
    r.fencing_token = 7;
    r.tasks = {{"wk-000001", 4000000000u, UINT64_MAX, TaskPhase::running, ExitCause::none, false}};
    EXPECT_EQ(scheduler.on_heartbeat(r, 1).commands.size(), 1u);
    r.tasks.clear();
    ++r.seq;
    scheduler.on_heartbeat(r, 2);
  }
  for (int i = 3; i < 20; ++i) {
    scheduler.round(i);
    scheduler.next_transaction(i);
  }
  EXPECT_EQ(scheduler.machines().at(0)->type, 0u);  // m-2, as the cloud lists it
  EXPECT_EQ(scheduler.machines().at(1)->type, kNone);
  EXPECT_TRUE(scheduler.machines().at(1)->tasks.empty());
}

TEST(States, TerminalStatesAreTerminal) {
  for (const JobState to : {JobState::open, JobState::closing, JobState::done})
    EXPECT_FALSE(allowed(JobState::cancelled, to));
  for (const JobState to : {JobState::open, JobState::closing, JobState::cancelled})
    EXPECT_FALSE(allowed(JobState::done, to));
  EXPECT_FALSE(allowed(AttemptState::proposed, AttemptState::running));
  EXPECT_FALSE(allowed(AttemptState::ended, AttemptState::running));
  EXPECT_FALSE(allowed(MachineState::terminated, MachineState::ready));
  EXPECT_TRUE(allowed(MachineState::draining, MachineState::ready));
}

// ---- a core by itself, with machines that report by hand

// After standing still a leader must not lay its own deafness on the machines.
TEST(Scheduler, ItsOwnSleepIsNoSilenceOfTheMachines) {
  Scheduler on_process_stall(bare_settings(), {bare_type()}, 7, 0),
      other(bare_settings(), {bare_type()}, 7, 0);
  for (Scheduler* c : {&on_process_stall, &other})
    for (int i = 0; i < 10; ++i) c->on_heartbeat(bare_heartbeat(i, 1, 7), 1);
  on_process_stall.on_process_stall(40, 41);
  EXPECT_FALSE(on_process_stall.receives_no_heartbeats(41.1));
  EXPECT_TRUE(other.receives_no_heartbeats(41.1));
  on_process_stall.round(41.1);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(state_of(on_process_stall, i), MachineState::ready);
  EXPECT_TRUE(
      on_process_stall.receives_no_heartbeats(60));  // what is silent from then on is silent
}

// Reports that a cut held back come together, all with an older token: they do not show a machine
// that takes up none of our answers.
TEST(Scheduler, HeldReportsAreNoMuteMachine) {
  Scheduler scheduler(bare_settings(), {bare_type()}, 7, 0);
  for (uint64_t seq = 1; seq <= 6; ++seq) scheduler.on_heartbeat(bare_heartbeat(0, seq, 3), 10);
  scheduler.round(19);
  EXPECT_EQ(state_of(scheduler, 0), MachineState::booting);
  // One that goes on like that for long is given up.
  for (uint64_t seq = 7; seq <= 9; ++seq)
    scheduler.on_heartbeat(bare_heartbeat(0, seq, 3), 10 + 5.0 * static_cast<double>(seq - 6));
  scheduler.round(26);
  EXPECT_EQ(state_of(scheduler, 0), MachineState::terminating);
}

// A machine that the cloud lists as running before it was ever heard has only just come up.
TEST(Scheduler, AMachineIsNotSilentBeforeItIsUp) {
  Scheduler scheduler(bare_settings(), {bare_type()}, 7, 0);
  ListedMachine l{"m-0", "10.0.0.1:1", "box", "a", false, ListedMachine::State::booting, 5};
  scheduler.on_machine_list({l}, 5, 5);
  l.state = ListedMachine::State::running;
  scheduler.on_machine_list({l}, 60, 60);
  scheduler.round(61);
  EXPECT_EQ(state_of(scheduler, 0), MachineState::booting);
  scheduler.round(61 + 40);
  EXPECT_EQ(state_of(scheduler, 0), MachineState::terminating);
}

// Many that fall silent together are waited for as long as replacing them would take, a few are
// not.
TEST(Scheduler, ManySilentMachinesAreWaitedFor) {
  for (const int silent : {2, 10}) {
    Settings settings = bare_settings();
    settings.tuning.scale_in_delay_s = 1000;
    Scheduler scheduler(settings, {bare_type()}, 7, 0);
    double now = 1;
    for (uint64_t seq = 1; now < 70; ++seq, now += 2.5) {
      for (int i = seq > 4 ? silent : 0; i < 120; ++i)
        scheduler.on_heartbeat(bare_heartbeat(i, seq, 7), now);
      scheduler.round(now);
      if (now < 40 || now > 60) continue;
      EXPECT_EQ(state_of(scheduler, 0),
                silent == 2 ? MachineState::terminating : MachineState::ready);
    }
    EXPECT_EQ(state_of(scheduler, 119), MachineState::ready);
  }
}

TEST(LeaseClock, WhatWasKnownBeforeASleepCountsForNothing) {
  LeaseClock v(100);
  v.kept(100.1);
  EXPECT_TRUE(v.lease_confirmed(100.5, 2.5));
  EXPECT_EQ(v.stall(100.6), 0);
  EXPECT_EQ(v.stall(101.5), 0);
  // An outage: renewals fail, and the process lives through it. Doubt, but not of its own making.
  v.asked(102);
  EXPECT_EQ(v.stall(102.4), 0);
  EXPECT_FALSE(v.runs(103, 2.5));
  EXPECT_TRUE(v.lease_confirmed(103, 2.5));
  // It stands still: nothing is sure until the lease has been asked for again.
  EXPECT_NEAR(v.stall(130), 27.6, 1e-9);
  EXPECT_FALSE(v.lease_confirmed(130, 2.5));
  v.asked(129);  // an answer to what was sent before it woke
  EXPECT_FALSE(v.lease_confirmed(130.1, 2.5));
  v.asked(130.05);
  EXPECT_TRUE(v.lease_confirmed(130.2, 2.5));
  v.kept(130.3);
  EXPECT_TRUE(v.runs(132, 2.5));
}

// The time to cancel runs from the cancellation, whoever leads: a machine that has not come to a
// new leader goes once it had time to, unless what the ledger says of it is long past.
TEST(Scheduler, TheTimeToCancelDoesNotBeginAnewWithALeader) {
  constexpr double kDayOffset = 1000, kNow = 100;
  Settings settings = bare_settings();
  settings.cancel_s = 60;
  const auto returned_at = [&](double cancelled_at, double when) {
    Scheduler scheduler(settings, {bare_type()}, 7, kNow);
    scheduler.set_day_offset(kDayOffset);
    scheduler.load(
        ledger_with_a_task_on_m1(ledger::JobStatus::cancelled, kDayOffset + cancelled_at), kNow);
    scheduler.release_cancelled_work(when);
    return scheduler.next_return(when, true);
  };
  const std::vector<std::string> m1 = {"m-1"}, none;
  EXPECT_EQ(returned_at(60, 109), m1);
  EXPECT_EQ(returned_at(60, 105), none);  // it may come yet
  EXPECT_EQ(returned_at(95, 109), none);
  EXPECT_EQ(returned_at(-100, 109), none);
}

// In doubt, only machines that keep cancelled work are returned, whatever else is terminating.
TEST(Scheduler, ALeaderInDoubtReturnsCancelledWorkAlone) {
  Scheduler scheduler(bare_settings(), {bare_type()}, 7, 0);
  scheduler.load(ledger_with_a_task_on_m1(ledger::JobStatus::open, 1), 0);
  scheduler.on_machine_list({{"m-1", "h:1", "box", "a", false, ListedMachine::State::failed, 10}},
                            0, 1);
  EXPECT_EQ(state_of(scheduler, 1), MachineState::terminating);
  EXPECT_TRUE(scheduler.next_return(2, true).empty());
  EXPECT_EQ(scheduler.next_return(2).size(), 1u);
}

// A leader that may not have heard of the latest cancellations orders no start, nor stops anything.
TEST(Scheduler, NoStartIsOrderedWithoutProof) {
  Scheduler scheduler(bare_settings(), {bare_type()}, 7, 0);
  scheduler.load(ledger_with_a_task_on_m1(ledger::JobStatus::open, 1), 0);
  scheduler.allow_starts(false);
  EXPECT_TRUE(scheduler.on_heartbeat(bare_heartbeat(1, 1, 7), 1).commands.empty());
  scheduler.allow_starts(true);
  const auto commands = scheduler.on_heartbeat(bare_heartbeat(1, 2, 7), 2).commands;
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].verb, CommandKind::start);
}

// Invariant 1: a start is written on condition of the leader key, its page and its job's version.
TEST(Scheduler, AStartIsWrittenOnItsConditions) {
  Scheduler scheduler(bare_settings(), {bare_type()}, 7, 0);
  scheduler.load(ledger_with_a_task_on_m1(ledger::JobStatus::open, 1), 0);
  scheduler.on_heartbeat(bare_heartbeat(1, 1, 7), 1);
  scheduler.round(1);
  bool started = false;
  while (const auto p = scheduler.next_transaction(1)) {
    if (p->txn.changes.at(0).key != "rd/t/0") continue;
    started = true;
    std::map<std::string, uint64_t> conditions;
    for (const auto& c : p->txn.conditions) conditions[c.key] = c.version;
    EXPECT_EQ(conditions, (std::map<std::string, uint64_t>{
                              {"rd/leader", 7}, {"rd/t/0", 4}, {"rd/j/wk-000001", 3}}));
  }
  EXPECT_TRUE(started);
}

// Reports that take up nothing of what their predecessors were answered: the machine is out of
// reach.
TEST(Scheduler, AMachineThatHeedsNothingTakesNoWork) {
  Scheduler scheduler(bare_settings(), {bare_type()}, 7, 0);
  scheduler.load(ledger_with_a_task_on_m1(ledger::JobStatus::open, 1), 0);
  for (uint64_t seq = 1; seq <= 3; ++seq) {
    EXPECT_FALSE(scheduler.machines().at(0)->unreachable());
    scheduler.on_heartbeat(bare_heartbeat(1, seq, 7), static_cast<double>(seq));
  }
  EXPECT_TRUE(scheduler.machines().at(0)->unreachable());
  scheduler.release_cancelled_work(4);
  EXPECT_EQ(state_of(scheduler, 1), MachineState::ready);  // nothing cancelled is on it
  scheduler.round(4);
  scheduler.round(13);
  EXPECT_EQ(state_of(scheduler, 1), MachineState::terminating);
}

// A user hears of a cancellation only once a leader is known to know it.
TEST(KnownCancellations, OnlyWhatALeaderReadOrAcknowledged) {
  KnownCancellations known;
  EXPECT_FALSE(known.has("wk-000001", 12));
  known.read_to(11);
  EXPECT_FALSE(known.has("wk-000001", 12));
  known.acknowledge("wk-000001", 12);
  EXPECT_TRUE(known.has("wk-000001", 12));
  EXPECT_FALSE(known.has("wk-000002", 12));
  EXPECT_FALSE(known.has("wk-000001", 13));  // another row than the one that was acknowledged
  known.read_to(20);
  EXPECT_TRUE(known.has("wk-000002", 20));
  EXPECT_FALSE(known.has("wk-000002", 21));
  known.read_to(5);  // told late
  EXPECT_TRUE(known.has("wk-000002", 20));
}

TEST(CancellationStaleness, AllSiblingsTogetherProveAsTheLedgerDoes) {
  CancellationStaleness h({"n1", "n2"});
  constexpr uint64_t kOurs = 7;
  const auto vouch = [&](const char* who, const char* process, uint64_t fencing_token,
                         double sent) {
    h.on_sibling_answer(who, process, fencing_token, kOurs, sent, sent + 0.1);
  };
  vouch("n1", "a", 7, 8);
  vouch("n2", "b", 7, 8);
  h.proven(10);
  EXPECT_EQ(h.at(), 10);
  vouch("n1", "a", 7, 20);
  EXPECT_EQ(h.at(), 10);  // the other may have told a user meanwhile
  vouch("n2", "b", 3, 21);
  EXPECT_EQ(h.at(), 20);  // an older token than ours is no harm
  vouch("n1", "a", 8, 30);
  vouch("n2", "b", 7, 30);
  EXPECT_EQ(h.at(), 20);  // one knows of a newer leader
}

TEST(CancellationStaleness, ARestartedSiblingProvesNothingOfItsPredecessor) {
  CancellationStaleness h({"n1", "n2"});
  constexpr uint64_t kOurs = 7;
  h.on_sibling_answer("n1", "a", 7, kOurs, 8, 8.1);
  h.on_sibling_answer("n2", "b", 7, kOurs, 8, 8.1);
  h.proven(10);
  h.on_sibling_answer("n1", "a", 7, kOurs, 12, 12.1);
  h.on_sibling_answer("n2", "b2", 7, kOurs, 12, 12.1);  // what b told after 8 nobody knows
  EXPECT_EQ(h.at(), 10);
  h.on_sibling_answer("n1", "a", 7, kOurs, 20, 20.1);
  h.on_sibling_answer("n2", "b2", 7, kOurs, 20, 20.1);
  EXPECT_EQ(h.at(), 10);
  h.proven(25);  // the ledger answered: all before that is known
  h.on_sibling_answer("n1", "a", 7, kOurs, 30, 30.1);
  h.on_sibling_answer("n2", "b2", 7, kOurs, 31, 31.1);
  EXPECT_EQ(h.at(), 30);
  h.on_sibling_answer("n1", "", 7, kOurs, 40, 40.1);  // names no process
  h.on_sibling_answer("n2", "b2", 7, kOurs, 40, 40.1);
  EXPECT_EQ(h.at(), 30);
}

// Nobody else confirms cancellations there, so an outage of any length costs no work.
TEST(CancellationStaleness, TheOnlyControllersProofIsNeverOutOfDate) {
  const CancellationStaleness only = CancellationStaleness::of_only_controller();
  EXPECT_LT(1e6 - only.at(), staleness_limit(38, 18));
  const CancellationStaleness unheard({"n1"});
  EXPECT_GT(1e6 - unheard.at(), staleness_limit(38, 18));
}

TEST(CancellationStaleness, LeasesEndWithinTheTimeToCancel) {
  for (const auto& [cancel, lease] : {std::pair{38.0, 18.0}, {46.5, 26.5}, {59.0, 29.0}})
    EXPECT_LT(staleness_limit(cancel, lease) + lease * 1.0005, cancel * 0.9995);
  EXPECT_GT(staleness_limit(20, 20), 0);
}

}  // namespace
}  // namespace rookdyke
