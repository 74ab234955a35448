// Rows and messages as version 0.1 writes them (tests/data/version_0_1.json, made by the code of
// the commit that it names) are read and rewritten here; and what this version writes before there
// is any service is what that version would have written. docs/operations.md, "Upgrading".

#include <gtest/gtest.h>

#include <fstream>

#include "ledger/rented_list.h"
#include "mesh/mesh.h"
#include "scheduler/scheduler.h"
#include "scheduler/scheduler_fixtures.h"

namespace rookdyke {
namespace {

using namespace test;
using ledger::Outcome;
using nlohmann::json;

constexpr uint64_t kToken = 60;

json read_old_rows() {
  std::ifstream in(std::string(ROOKDYKE_SOURCE) + "/tests/data/version_0_1.json");
  return json::parse(in, nullptr, false);
}

class Compatibility : public testing::Test {
 protected:
  Compatibility() {
    EXPECT_FALSE(old.is_discarded());
    settings = bare_settings();
    settings.teams = {{"team-02", 0, 0, 0, 0}};
    settings.txn_ops = 16;
    StateLimits next;
    next.value_bytes = 2048;
    next.txn_ops = 5;
    settings.next_limits = next;
  }

  // A replica's copy of the ledger as version 0.1 left it.
  LedgerCache old_ledger() const {
    LedgerCache ledger_cache;
    uint64_t version = 10;
    for (const auto& [id, row] : old.at("jobs").items())
      ledger_cache.put(ledger::job_key(id), row, ++version);
    for (const auto& [n, page] : old.at("pages").items())
      ledger_cache.put(ledger::kPagePrefix + n, page, ++version);
    ledger_cache.put(ledger::kTypesKey, old.at("types"), ++version);
    ledger_cache.put(ledger::rented_list_key(0), old.at("rented"), ++version);
    ledger_cache.put(ledger::kLeaderKey, old.at("leader"), ++version);
    return ledger_cache;
  }

  json old = read_old_rows();
  Settings settings;
};

TEST_F(Compatibility, RowsAreRewrittenAsTheyWere) {
  for (const auto& [id, value] : old.at("jobs").items()) {
    const auto row = ledger::decode_job(id, value);
    ASSERT_TRUE(row) << id;
    EXPECT_EQ(ledger::encode(*row), value) << id;
    EXPECT_TRUE(!row->spec || row->spec->shape != JobShape::service) << id;
  }
  for (const auto& [n, value] : old.at("pages").items()) {
    const auto page = ledger::decode_page(value);
    ASSERT_TRUE(page) << n;
    EXPECT_EQ(ledger::encode(*page), value) << n;
  }
  const auto types = ledger::decode_types(old.at("types"));
  ASSERT_EQ(types.size(), 1u);
  EXPECT_EQ(ledger::encode_types(types), old.at("types"));
}

TEST_F(Compatibility, TheRentedListIsReadAndWrittenInTheSameForm) {
  NameTable types, zones;
  types.intern("box");
  RentedList list(2048);
  const auto machines =
      list.load({{ledger::rented_list_key(0), {12, old.at("rented")}}}, types, zones);
  ASSERT_EQ(machines.size(), 3u);
  EXPECT_EQ(machines[0].attributes.type, 0u);
  EXPECT_EQ(zones.name(machines[0].attributes.zone), "a");
  ledger::Transaction t;
  t.transaction_id = old.at("rented").at("w").get<std::string>();
  list.write(
      1, 5,
      [&](Index i) -> std::optional<RentedMachine> {
        if (i >= machines.size()) return std::nullopt;
        return machines[i];
      },
      types, zones, t);
  ASSERT_EQ(t.changes.size(), 1u);
  EXPECT_EQ(t.changes[0].value, old.at("rented"));
}

// Every field that version 0.1 demands has its type; what is new it reads past.
TEST_F(Compatibility, MessagesBetweenControllersHaveAllThatTheOldOnesHad) {
  const auto view = mesh::decode(old.at("view").dump());
  ASSERT_TRUE(view);
  EXPECT_FALSE(view->rate_lowered);
  EXPECT_FALSE(view->sizes_lowered);
  json again = mesh::encode(*view);
  EXPECT_EQ(again.erase("rate_lowered"), 1u);
  EXPECT_EQ(again.erase("sizes_lowered"), 1u);
  EXPECT_EQ(again, old.at("view"));
  const auto cancelled = mesh::decode_cancellation_notice(old.at("cancelled").dump());
  ASSERT_TRUE(cancelled);
  EXPECT_EQ(mesh::encode(*cancelled), old.at("cancelled"));
}

// It reads past `service` and takes the job for an array; when it rewrites the row, for it was
// cancelled, the shape is of no more use.
TEST_F(Compatibility, AServiceIsAnArrayWithOneMoreField) {
  auto row = ledger::decode_job("wk-000101", old.at("jobs").at("wk-000101"));
  ASSERT_TRUE(row && row->spec);
  row->spec->shape = JobShape::service;
  json value = ledger::encode(*row);
  const auto back = ledger::decode_job("wk-000101", value);
  ASSERT_TRUE(back && back->spec);
  EXPECT_EQ(back->spec->shape, JobShape::service);
  EXPECT_EQ(value.at("spec").erase("service"), 1u);
  EXPECT_EQ(value, old.at("jobs").at("wk-000101"));
}

TEST_F(Compatibility, ANewLeaderTakesOverAllThatAnOldOneLeft) {
  const LedgerCache ledger_cache = old_ledger();
  EXPECT_EQ(ledger_cache.leader(), "node-2");
  Scheduler scheduler(settings, ledger_cache.types(), kToken, 0);
  scheduler.load(ledger_cache, 0);
  const Job* array = scheduler.find_job("wk-000101");
  ASSERT_TRUE(array);
  EXPECT_EQ(array->done_count, 41u);
  EXPECT_EQ(array->attempts.size(), 150u);
  EXPECT_EQ(array->highest_attempt, 3u);
  EXPECT_EQ(array->waiting.size(), 300u - 41u - 150u);
  const Job* gang = scheduler.find_job("wk-000102");
  ASSERT_TRUE(gang);
  EXPECT_TRUE(gang->is_gang());
  EXPECT_EQ(gang->attempts.size(), 4u);
  const Job* cancelled = scheduler.find_job("wk-000103");
  ASSERT_TRUE(cancelled);
  EXPECT_TRUE(cancelled->attempts.at(1).stop_requested);
  EXPECT_FALSE(scheduler.find_job("wk-000104")) << "it is done";
  EXPECT_TRUE(ledger_cache.job_progress("wk-000104"));
}

// Until the state service has lowered its limits an old replica may lead again: all is written in
// the form that it reads, chunks whole and in their pages.
TEST_F(Compatibility, BeforeTheLimitsAreLoweredPagesKeepTheirForm) {
  const LedgerCache ledger_cache = old_ledger();
  Scheduler scheduler(settings, ledger_cache.types(), kToken, 0);
  scheduler.load(ledger_cache, 0);
  // One machine's tasks have ended.
  Heartbeat r = bare_heartbeat(0, 1, kToken);
  r.machine = "m-000112";
  for (uint32_t t = 100; t < 104; ++t)
    r.tasks.push_back({"wk-000101", t, 3, TaskPhase::exited, ExitCause::done, false});
  scheduler.on_heartbeat(r, 1);
  bool written = false;
  for (double now = 1; now < 30; now += 1)
    while (auto p = scheduler.next_transaction(now)) {
      const auto& change = p->transaction.changes.at(0);
      if (change.key == ledger::page_key(0)) {
        written = true;
        for (const json& entry : change.value.at("e")) EXPECT_EQ(entry.size(), 5u);
        EXPECT_EQ(change.value.at("e").at(0).at(1), 0);
        EXPECT_EQ(change.value.at("e").at(0).at(4).size(), 145u);
      }
      scheduler.on_result(p->id, {Outcome::applied, 100, {}}, now);
    }
  EXPECT_TRUE(written);
}

}  // namespace
}  // namespace rookdyke
