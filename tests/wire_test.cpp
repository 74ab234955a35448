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
  EXPECT_EQ(s->shape, Shape::gang);
  EXPECT_EQ(s->rank, Rank::urgent);
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
  const auto r = parse_report(j);
  ASSERT_TRUE(r);
  EXPECT_EQ(r->session, 2u);
  EXPECT_EQ(r->token, 41u);
  EXPECT_LT(r->notice_s, 0);
  ASSERT_EQ(r->tasks.size(), 2u);
  EXPECT_EQ(r->tasks[0].task, 3u);
  EXPECT_EQ(r->tasks[1].cause, Cause::halted);
  EXPECT_TRUE(r->tasks[1].saved);
  EXPECT_FALSE(parse_report({{"tenure", 1}}));
}

TEST(Wire, WritesOrders) {
  const json a = report_answer(7, {{Verb::stop, "wk-000001", 2, 3, 10}});
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
