// Rows of the ledger: encoding, size estimates, and rows with invalid values, which are not
// decoded.

#include <gtest/gtest.h>

#include <cmath>
#include <string>
#include <utility>
#include <vector>

#include "ledger/rows.h"
#include "scheduler/scheduler_fixtures.h"

namespace rookdyke {
namespace {

using namespace test;
using ledger::TaskSet;

TEST(TaskSet, MergesRangesAndSurvivesEncoding) {
  TaskSet task_set;
  for (uint32_t t : {5u, 1u, 3u, 2u, 9u, 4u, 5u}) task_set.add(t);
  EXPECT_EQ(task_set.count(), 6u);
  EXPECT_EQ(task_set.ranges().size(), 2u);
  EXPECT_TRUE(task_set.has(4));
  EXPECT_FALSE(task_set.has(6));
  const TaskSet decoded = TaskSet::decode(task_set.encode());
  EXPECT_EQ(decoded.ranges(), task_set.ranges());
}

TEST(Ledger, SizesAreNotUnderestimated) {
  ledger::PageRow page;
  page.transaction_id = "18446744073709551615.18446744073709551615";
  size_t estimated_size = 0;
  for (const std::string id : {"wk-000001", "wk-123456789012345678"}) {
    ledger::PageEntry entry;
    entry.job = id;
    entry.n = 1234;
    entry.chunk.highest_attempt = 123456789;
    for (uint32_t t = 0; t < 200; ++t) {
      if (t % 2 == 0) {
        entry.chunk.done.add(99999 - t);
      } else {
        entry.chunk.live.push_back({99999 - t, 1000000, "m-000000012345", 1000});
        estimated_size += ledger::encoded_size(entry.chunk.live.back());
      }
    }
    estimated_size += ledger::encoded_size(entry.job, entry.chunk.done);
    page.entries.push_back(std::move(entry));
  }
  const size_t actual_size = ledger::encode(page).dump().size();
  EXPECT_LE(actual_size, estimated_size + (8192 - ledger::page_capacity(8192)));
  EXPECT_GE(actual_size, estimated_size * 8 / 10) << "the estimate wastes page capacity";
  const auto decoded = ledger::decode_page(ledger::encode(page));
  ASSERT_TRUE(decoded);
  ASSERT_EQ(decoded->entries.size(), 2u);
  EXPECT_EQ(decoded->entries[1].chunk.live.size(), 100u);
  EXPECT_EQ(decoded->entries[1].chunk.done.ranges(), page.entries[1].chunk.done.ranges());
  EXPECT_FALSE(ledger::decode_page({{"e", 3}}));
}

TEST(Ledger, AChunkFitsAPage) {
  for (const size_t bytes : {1024u, 8192u, 65536u}) {
    const uint32_t tasks_per_chunk = ledger::tasks_per_chunk(bytes);
    EXPECT_GE(tasks_per_chunk, 8u);
    EXPECT_LE(ledger::estimated_chunk_size("wk-000000000000000001", tasks_per_chunk),
              ledger::page_capacity(bytes));
  }
}

TEST(Ledger, JobRowsSurviveEncoding) {
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
  const auto decoded = ledger::decode_job("wk-000001", ledger::encode(row));
  ASSERT_TRUE(decoded && decoded->spec);
  EXPECT_EQ(decoded->spec->id, "wk-000001");
  EXPECT_EQ(decoded->spec->tasks, 7u);
  EXPECT_EQ(decoded->spec->priority, Priority::urgent);
  EXPECT_EQ(decoded->spec->types, row.spec->types);
  EXPECT_DOUBLE_EQ(decoded->spec->per_task.cpus, 1.5);
  EXPECT_FALSE(ledger::decode_job("wk-000001", {{"standing", "open"}}));
}

TEST(Ledger, AJobRowWithAnInvalidValueIsNotDecoded) {
  ASSERT_TRUE(ledger::decode_job("wk-000001", open_job_row()));
  const std::vector<std::pair<const char*, nlohmann::json>> invalid = {
      {"standing", 9},   {"standing", -1}, {"standing", true}, {"standing", 1.5},
      {"tasks", -1},     {"tasks", 0},     {"tasks", 100001},  {"tasks", 4294967298},
      {"tasks", 2.5},    {"tasks", "7"},   {"per", -1},        {"per", 4294967295},
      {"at", NAN},       {"at", INFINITY}, {"at", "noon"},     {"w", 3},
      {"spec", nullptr}, {"spec", {1, 2}}, {"per", 0}};
  for (const auto& [k, v] : invalid) {
    nlohmann::json j = open_job_row();
    j[k] = v;
    EXPECT_FALSE(ledger::decode_job("wk-000001", j)) << k << " = " << v;
  }
  const std::vector<std::pair<const char*, nlohmann::json>> invalid_spec = {
      {"cpus", NAN}, {"gpus", -1},   {"mem", INFINITY}, {"mem", 1e300}, {"image_gb", true},
      {"rank", 7},   {"rank", -1},   {"rank", "idle"},  {"types", 3},   {"types", {1}},
      {"zone", 1},   {"due", "now"}, {"gang", 1},       {"save", NAN}};
  for (const auto& [k, v] : invalid_spec) {
    nlohmann::json j = open_job_row();
    j["spec"][k] = v;
    EXPECT_FALSE(ledger::decode_job("wk-000001", j)) << k << " = " << v;
  }
  for (const nlohmann::json& v : {nlohmann::json(), nlohmann::json(3), nlohmann::json("x"),
                                  nlohmann::json::array({1}), nlohmann::json::object()})
    EXPECT_FALSE(ledger::decode_job("wk-000001", v)) << v;
}

TEST(Ledger, APageWithAnInvalidValueIsNotDecoded) {
  const auto page = [](const std::string& entry) {
    return ledger::decode_page(nlohmann::json::parse(R"({"e":[)" + entry + R"(],"w":"x"})"));
  };
  EXPECT_TRUE(page(R"(["wk-000001",0,4,[0,1,5,5],[[2,4,"m-1",1]]])"));
  for (const char* invalid : {R"(["wk-000001",0,4,7,[]])",
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
    EXPECT_FALSE(page(invalid)) << invalid;
  EXPECT_FALSE(ledger::decode_page({{"e", {{"a", 1}}}}));
  EXPECT_FALSE(ledger::decode_page({{"e", nlohmann::json::array()}, {"w", 3}}));
}

TEST(Ledger, MachineTypesWithAnInvalidValueAreNotDecoded) {
  MachineType type;
  type.name = "box";
  type.size = {16, 4, 64};
  type.boot_s = 50;
  type.zones = {"a"};
  const nlohmann::json valid = ledger::encode_types({type});
  EXPECT_EQ(ledger::decode_types(valid).size(), 1u);
  const std::vector<std::pair<const char*, nlohmann::json>> invalid = {
      {"name", ""},   {"name", 3},         {"cpus", -1},    {"cpus", "16"},       {"mem", NAN},
      {"gpus", true}, {"price", INFINITY}, {"fetch", -1.0}, {"boot_s", 0},        {"boot_s", NAN},
      {"zones", "a"}, {"zones", {1}},      {"cpus", 1e300}, {"cache_gb", nullptr}};
  for (const auto& [k, v] : invalid) {
    nlohmann::json j = valid;
    j["types"][0][k] = v;
    EXPECT_TRUE(ledger::decode_types(j).empty()) << k << " = " << v;
  }
  EXPECT_TRUE(ledger::decode_types(3).empty());
  EXPECT_TRUE(ledger::decode_types(ledger::encode_types({type, type})).empty());
}

}  // namespace
}  // namespace rookdyke
