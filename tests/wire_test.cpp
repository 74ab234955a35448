#include "wire/wire.h"

#include <gtest/gtest.h>

#include <cmath>

namespace rookdyke::wire {
namespace {

json good() {
  return {{"id", "wk-000412"}, {"lot", "train"},   {"crew", "vision"}, {"shape", "ensemble"},
          {"rank", "urgent"},  {"shifts", 16},     {"cpus", 8.0},      {"gpus", 1.0},
          {"mem_gb", 64.0},    {"kit", "img-07"},  {"image_gb", 6.2},  {"breeds", {"g8"}},
          {"yard", nullptr},   {"one_zone", true}, {"scatter", false}, {"loaners", true},
          {"expected_s", 240}, {"marker_s", 30.0}, {"stow_s", 4.0},    {"due_s", nullptr},
          {"unheard_of", {1}}};
}

std::string error_of(const json& j) {
  std::string e;
  return parse_job(j, e) ? "" : e;
}

TEST(Wire, ReadsAJob) {
  std::string e;
  const auto s = parse_job(good(), e);
  ASSERT_TRUE(s) << e;
  EXPECT_EQ(s->shape, JobShape::gang);
  EXPECT_EQ(s->priority, Priority::urgent);
  EXPECT_EQ(s->tasks, 16u);
  EXPECT_TRUE(s->zone.empty());
  EXPECT_EQ(s->types, std::vector<std::string>{"g8"});
}

TEST(Wire, NullableFieldsMayBeMissingAndNoOthers) {
  json j = good();
  for (const char* f : {"breeds", "yard", "due_s"}) j.erase(f);
  EXPECT_EQ(error_of(j), "");
  const json all = good();
  for (const auto& [k, v] : all.items()) {
    if (k == "breeds" || k == "yard" || k == "due_s" || k == "unheard_of") continue;
    json less = good();
    less.erase(k);
    EXPECT_NE(error_of(less), "") << k;
  }
}

TEST(Wire, RefusesBadValues) {
  const std::vector<std::pair<const char*, json>> bad = {{"id", "wk-12"},
                                                         {"id", "job-000001"},
                                                         {"id", 5},
                                                         {"id", "wk-00000x"},
                                                         {"shifts", 0},
                                                         {"shifts", 100001},
                                                         {"shifts", -1},
                                                         {"shifts", 2.5},
                                                         {"cpus", -1},
                                                         {"cpus", "8"},
                                                         {"gpus", NAN},
                                                         {"mem_gb", INFINITY},
                                                         {"image_gb", -0.1},
                                                         {"marker_s", -1},
                                                         {"one_zone", 1},
                                                         {"loaners", "yes"},
                                                         {"shape", "circle"},
                                                         {"rank", "normal"},
                                                         {"breeds", "g8"},
                                                         {"breeds", {1}},
                                                         {"breeds", json::array()},
                                                         {"yard", 3},
                                                         {"due_s", "soon"},
                                                         {"crew", ""},
                                                         {"kit", std::string(300, 'x')}};
  for (const auto& [k, v] : bad) {
    json j = good();
    j[k] = v;
    EXPECT_NE(error_of(j), "") << k << " = " << v;
  }
  EXPECT_NE(error_of(json::array()), "");
}

TEST(Wire, DeepOrBrokenBodiesAreNoMessages) {
  EXPECT_FALSE(unpack(std::string(60000, '\x91')));  // lists in lists in lists
  EXPECT_FALSE(unpack(std::string(60000, '\x81')));
  EXPECT_FALSE(unpack(""));
  EXPECT_FALSE(unpack("\xdb\xff\xff\xff\xff"));  // a text of 4 GB
  EXPECT_FALSE(unpack(pack(good()) + "x"));
  EXPECT_EQ(unpack(pack(good())), good());
}

TEST(Wire, ReadsAReport) {
  const json j = {{"croft", "m-000231"},
                  {"addr", "10.1.0.232:9000"},
                  {"breed", "g8"},
                  {"yard", "a"},
                  {"loaners", true},
                  {"tenure", 2},
                  {"tally", 88},
                  {"warrant", 41},
                  {"recall_s", nullptr},
                  {"shifts",
                   {{{"shift", "wk-000412/3"}, {"go", 2}, {"standing", "running"}},
                    {{"shift", "wk-000398/0"},
                     {"go", 1},
                     {"standing", "exited"},
                     {"cause", "halted"},
                     {"stored", true}}}}};
  const auto r = parse_heartbeat(j);
  ASSERT_TRUE(r);
  EXPECT_EQ(r->epoch, 2u);
  EXPECT_EQ(r->fencing_token, 41u);
  EXPECT_LT(r->notice_s, 0);
  ASSERT_EQ(r->tasks.size(), 2u);
  EXPECT_EQ(r->tasks[0].task, 3u);
  EXPECT_EQ(r->tasks[1].cause, ExitCause::stopped);
  EXPECT_TRUE(r->tasks[1].saved);
  EXPECT_FALSE(parse_heartbeat({{"tenure", 1}}));
}

json good_report() {
  return {{"croft", "m-1"},
          {"addr", "h:1"},
          {"breed", "g8"},
          {"yard", "a"},
          {"loaners", true},
          {"tenure", 2},
          {"tally", 88},
          {"warrant", 41},
          {"recall_s", 12.5},
          {"shifts", {{{"shift", "wk-000412/3"}, {"go", 2}, {"standing", "running"}}}}};
}

// Numbers that a report lacks or has wrong would be taken for a session, a token or a notice.
TEST(Wire, RefusesBadReports) {
  ASSERT_TRUE(parse_heartbeat(good_report()));
  const std::vector<std::pair<const char*, json>> bad = {
      {"croft", ""},           {"croft", std::string(300, 'x')},
      {"croft", "\xff\xfe"},   {"tenure", "2"},
      {"tenure", -2},          {"tenure", 0},
      {"tally", 1.5},          {"warrant", -1},
      {"warrant", "41"},       {"warrant", 1e300},
      {"warrant", UINT64_MAX}, {"shifts", "none"},
      {"shifts", {1}},         {"shifts", {{{"shift", "wk-000412"}}}}};
  for (const auto& [k, v] : bad) {
    json j = good_report();
    j[k] = v;
    EXPECT_FALSE(parse_heartbeat(j)) << k;
  }
  for (const json& v : {json(NAN), json(INFINITY), json(-3), json("soon"), json(true)}) {
    json j = good_report();
    j["recall_s"] = v;
    const auto r = parse_heartbeat(j);
    EXPECT_TRUE(!r || r->notice_s < 0) << v;
  }
  for (const json& v : {json("3"), json(-1), json(2.5), json()}) {
    json j = good_report();
    j["shifts"][0]["go"] = v;
    EXPECT_FALSE(parse_heartbeat(j)) << v;
  }
}

// What a job says may be shown to siblings as JSON, which holds no other text than UTF-8.
TEST(Wire, TextIsUtf8) {
  for (const char* f : {"kit", "lot", "crew", "yard"}) {
    json j = good();
    j[f] = "img-\xff\xfe";
    EXPECT_EQ(error_of(j), f);
  }
  json j = good();
  j["breeds"] = {"\xc3"};
  EXPECT_EQ(error_of(j), "breeds");
  j["breeds"] = {"gr\xc3\xbc"};
  EXPECT_EQ(error_of(j), "");
}

json good_types() {
  return {{"breeds",
           {{{"name", "g8"},
             {"cpus", 96},
             {"gpus", 8},
             {"mem_gb", 768},
             {"local_gb", 200},
             {"fetch_gb_per_s", 1.0},
             {"hourly", 12.0},
             {"low_price", 4.5},
             {"boot_s", 45},
             {"yards", {"a", "b"}}}}}};
}

// A size read wrongly would have jobs answered 422 that can run: no list is better than that one.
TEST(Wire, BadMachineTypesAreNoTypes) {
  ASSERT_TRUE(parse_types(good_types()));
  const std::vector<std::pair<const char*, json>> bad = {
      {"name", 3},         {"name", ""},      {"cpus", "96"},      {"cpus", -1},
      {"gpus", NAN},       {"mem_gb", 1e300}, {"mem_gb", nullptr}, {"hourly", "12"},
      {"low_price", -4.5}, {"boot_s", NAN},   {"local_gb", true},  {"fetch_gb_per_s", INFINITY},
      {"yards", "a"},      {"yards", {1}},    {"yards", nullptr}};
  for (const auto& [k, v] : bad) {
    json j = good_types();
    j["breeds"].push_back(j["breeds"][0]);
    j["breeds"][1]["name"] = "g9";
    j["breeds"][1][k] = v;
    EXPECT_FALSE(parse_types(j)) << k << " = " << v;
  }
  json twice = good_types();
  twice["breeds"].push_back(twice["breeds"][0]);
  EXPECT_FALSE(parse_types(twice));
  EXPECT_FALSE(parse_types({{"breeds", {3}}}));
  EXPECT_FALSE(parse_types({{"breeds", "g8"}}));
  EXPECT_FALSE(parse_types(json::array()));
}

// A revision or a lease below 0 would be a huge one; a row without a version has no place in time.
TEST(Wire, BadAnswersOfTheStateServiceAreNoAnswers) {
  for (const json& v : {json(-1), json("4"), json(1.5), json(true), json()}) {
    EXPECT_FALSE(parse_revision({{"ledger", v}})) << v;
    EXPECT_FALSE(parse_lease({{"tether", v}})) << v;
    EXPECT_FALSE(parse_row({{"k", "a"}, {"v", 1}, {"stamp", v}})) << v;
    EXPECT_FALSE(parse_rows({{"rows", {{{"k", "a"}, {"stamp", v}}}}, {"ledger", 4}})) << v;
    EXPECT_FALSE(parse_events({{"log", {{{"write", "a"}, {"stamp", v}}}}, {"ledger", 4}})) << v;
  }
  for (const json& v : {json(3), json("x"), json::array({1}), json::object(), json()}) {
    EXPECT_FALSE(parse_rows(v)) << v;
    EXPECT_FALSE(parse_events(v)) << v;
    EXPECT_FALSE(parse_rows({{"rows", {v}}, {"ledger", 4}})) << v;
    EXPECT_FALSE(parse_events({{"log", {v}}, {"ledger", 4}})) << v;
    EXPECT_TRUE(parse_failed(v).empty());
    bool more = false;
    EXPECT_FALSE(parse_machines(v, more));
    EXPECT_FALSE(parse_hired(v));
  }
}

TEST(Wire, WritesOrders) {
  const json a = report_answer(7, {{CommandKind::stop, "wk-000001", 2, 3, 10}});
  EXPECT_EQ(a,
            json({{"warrant", 7},
                  {"orders",
                   {{{"verb", "stop"}, {"shift", "wk-000001/2"}, {"go", 3}, {"leave_s", 10.0}}}}}));
}

TEST(Wire, WritesTransactions) {
  ledger::Transaction t;
  t.conditions = {{"a/b", 0}};
  t.changes = {{"a/b", false, {{"x", 1}}, 7}, {"c/d", true, {}, 0}};
  EXPECT_EQ(transaction(t),
            json({{"if", {{{"k", "a/b"}, {"stamp", 0}}}},
                  {"then",
                   {{{"write", "a/b"}, {"v", {{"x", 1}}}, {"tether", 7}}, {{"delete", "c/d"}}}}}));
  EXPECT_EQ(key_path("rd/t/wk-000001/3"), "/keys/rd/t/wk-000001/3");
}

}  // namespace
}  // namespace rookdyke::wire
