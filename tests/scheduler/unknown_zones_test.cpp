// Machines whose zone a new leader does not know: nothing starts in a wrong place because of them
// (rule wrong_place, review/5), and nothing waits for them once their zone is known or they are
// gone. And what a leader stores so that its successor knows the zones.

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "scheduler/scheduler.h"
#include "scheduler/scheduler_fixtures.h"

namespace rookdyke {
namespace {

using namespace test;
using ledger::Outcome;
using nlohmann::json;

constexpr const char* kJob = "wk-000001";
// A machine that holds two of the job's four tasks.
constexpr const char* kOldMachine = "m-1";

Settings two_zone_settings() {
  Settings settings = bare_settings();
  settings.zones = {"a", "b"};
  settings.tuning.scale_in_delay_s = 1e6;  // no machine is drained in these tests
  return settings;
}

MachineType two_zone_type() {
  MachineType type = bare_type();
  type.zones = {"a", "b"};
  return type;
}

Heartbeat heartbeat_in(const std::string& zone, int machine, uint64_t seq, uint64_t token) {
  Heartbeat heartbeat = bare_heartbeat(machine, seq, token);
  heartbeat.zone = zone;
  return heartbeat;
}

ListedMachine listed_in(const std::string& zone, const std::string& name) {
  return {name, "10.0.0.1:1", "box", zone, false, ListedMachine::State::running, 5};
}

// A leader that took over a job of four tasks, two of them with attempts on kOldMachine.
class UnknownZones : public testing::Test {
 protected:
  UnknownZones() : leader(two_zone_settings(), {two_zone_type()}, kLeaderToken, 0) {}

  static json page() {
    return json::parse(R"({"w":"x","e":[["wk-000001",0,1,[],[[0,1,"m-1",1],[1,1,"m-1",1]]]]})");
  }
  void take_over(bool single_zone, const json& page_row = page()) {
    ledger::JobRow row;
    row.tasks = row.chunk_size = 4;
    row.spec = JobSpec{};
    row.spec->team = "team";
    row.spec->per_task = {1, 1, 1};
    row.spec->single_zone = single_zone;
    row.spec->spread_zones = !single_zone;
    ledger_cache.put(ledger::job_key(kJob), ledger::encode(row), 3);
    ledger_cache.put(ledger::page_key(0), page_row, 4);
    leader.load(ledger_cache, 0);
  }
  void report(const std::string& zone, int machine, double now) {
    leader.on_heartbeat(heartbeat_in(zone, machine, ++seq, kLeaderToken), now);
  }
  // The machines on which a round at that time starts tasks.
  std::vector<std::string> started_in_round(double now) {
    const auto before = leader.find_job(kJob)->attempts;
    leader.round(now);
    std::vector<std::string> names;
    for (const auto& [task, attempt] : leader.find_job(kJob)->attempts)
      if (!before.count(task)) names.push_back(leader.machines().at(attempt.machine)->name);
    return names;
  }

  // The machines on which tasks start after the cloud's list has named the old machine in `zone`.
  std::vector<std::string> started_after_list_names_old_machine_in(const std::string& zone) {
    report("a", 2, 1);
    report("b", 3, 1);
    EXPECT_TRUE(started_in_round(1).empty());
    leader.on_machine_list(
        {listed_in(zone, kOldMachine), listed_in("a", "m-2"), listed_in("b", "m-3")}, 2, 2);
    return started_in_round(2);
  }

  LedgerCache ledger_cache;
  Scheduler leader;
  uint64_t seq = 0;
};

using Names = std::vector<std::string>;

// The failure of review/5: attempts in an unknown zone counted for no zone.
TEST_F(UnknownZones, TasksToBeSpreadDoNotStartBesideAttemptsThatMayBeInTheSameZone) {
  take_over(false);
  report("a", 2, 1);
  report("b", 3, 1);
  EXPECT_EQ(started_in_round(1), Names{});
}

TEST_F(UnknownZones, TasksOfASingleZoneDoNotStartBesideAttemptsInAnUnknownZone) {
  take_over(true);
  report("a", 2, 1);
  report("b", 3, 1);
  EXPECT_EQ(started_in_round(1), Names{});
}

TEST_F(UnknownZones, AHeartbeatEndsTheWait) {
  take_over(false);
  report("a", 2, 1);
  report("b", 3, 1);
  EXPECT_EQ(started_in_round(1), Names{});
  Heartbeat heartbeat = heartbeat_in("a", 1, ++seq, kLeaderToken);
  for (uint32_t task : {0, 1})
    heartbeat.tasks.push_back({kJob, task, 1, TaskPhase::running, ExitCause::none, false});
  leader.on_heartbeat(heartbeat, 2);
  EXPECT_EQ(started_in_round(2), (Names{"m-3", "m-3"}));
}

// A machine to which no reply comes through never registers, but its heartbeats name its zone.
TEST_F(UnknownZones, AHeartbeatWithAnOlderTokenEndsTheWait) {
  take_over(false);
  report("a", 2, 1);
  report("b", 3, 1);
  leader.on_heartbeat(heartbeat_in("b", 1, ++seq, kLeaderToken - 1), 2);
  EXPECT_EQ(started_in_round(2), (Names{"m-2", "m-2"}));
}

TEST_F(UnknownZones, TheCloudsListEndsTheWaitOfTasksToBeSpread) {
  take_over(false);
  EXPECT_EQ(started_after_list_names_old_machine_in("b"), (Names{"m-2", "m-2"}));
}

TEST_F(UnknownZones, TheCloudsListEndsTheWaitOfTasksOfASingleZone) {
  take_over(true);
  EXPECT_EQ(started_after_list_names_old_machine_in("b"), (Names{"m-3", "m-3"}));
}

// A machine that no list names any more is returned, which proves that its tasks have ended.
TEST_F(UnknownZones, AMachineThatIsGoneEndsTheWait) {
  take_over(false);
  const double conclusive_at = 2 * two_zone_settings().list_lag_s + 2;
  for (double now = 1; now <= conclusive_at + 1; now += 1) {
    report("a", 2, now);
    report("b", 3, now);
    leader.on_machine_list({listed_in("a", "m-2"), listed_in("b", "m-3")}, now, now);
    EXPECT_EQ(started_in_round(now), Names{});
  }
  const double now = 2 * two_zone_settings().heartbeat_interval_s + 1;
  report("a", 2, now);
  report("b", 3, now);
  leader.round(now);
  const std::vector<std::string> returned = leader.next_return(now);
  ASSERT_EQ(returned, Names{kOldMachine});
  leader.on_return_result(returned, CloudOutcome::done, now);
  uint64_t revision = 100;
  while (auto pending = leader.next_transaction(now))
    leader.on_result(pending->id, {Outcome::applied, ++revision, {}}, now);
  EXPECT_EQ(started_in_round(now), (Names{"m-2", "m-2", "m-3", "m-3"}));
}

// A machine that does not say where it is runs what may run anywhere, and nothing else.
TEST_F(UnknownZones, AMachineInAnUnknownZoneGetsNoTasksWithZoneConstraints) {
  take_over(false);
  report("a", 1, 1);
  report("", 2, 1);
  EXPECT_EQ(started_in_round(1), Names{});
  CachedJob anywhere = bare_job(1, {1, 1, 1}, 20);
  leader.on_job_row(anywhere, "wk-000002", 2);
  leader.round(2);
  EXPECT_EQ(leader.find_job("wk-000002")->attempts.size(), 1u);
}

TEST_F(UnknownZones, TasksInAnUnreadablePageCountForEveryZone) {
  ledger_cache.put(ledger::page_key(1), "noise", 9);
  json half = page();
  half["e"][0] = json::parse(R"(["wk-000001",0,1,[],[],0,2])");  // the other tasks may be in page 1
  take_over(false, half);
  report("a", 2, 1);
  report("b", 3, 1);
  ASSERT_EQ(leader.find_job(kJob)->waiting.size(), 2u);
  EXPECT_EQ(started_in_round(1), Names{});
}

TEST_F(UnknownZones, PagesNameTheZonesOfMachinesThatNoListContains) {
  json stored = page();
  stored["m"] = json::parse(R"([["box","a",false,["m-1","m-unused"]],3,["box"],[1,2,3,4]])");
  take_over(false, stored);
  EXPECT_EQ(leader.machines().at(0)->attributes(), (MachineAttributes{0, 0, false}));
  EXPECT_EQ(leader.machines().size(), 1u) << "only machines with attempts are added";
  report("a", 2, 1);
  report("b", 3, 1);
  EXPECT_EQ(started_in_round(1), (Names{"m-3", "m-3"}));
}

// A leader with two machines, of which m-1 came up just after the rented list was written.
class MachinesJustUp : public testing::Test {
 protected:
  MachinesJustUp() : leader(two_zone_settings(), {two_zone_type()}, kLeaderToken, 0) {
    leader.on_heartbeat(heartbeat_in("a", 2, ++seq, kLeaderToken), 0.5);
    while (write(0.5)) continue;
    leader.on_heartbeat(heartbeat_in("b", 1, ++seq, kLeaderToken), 1);
  }
  // Starts a job of so many tasks that it needs both machines.
  void start(const std::string& id, double now) {
    leader.on_job_row(bare_job(5, {1, 1, 1}, ++revision), id, now);
    leader.round(now);
  }
  // Applies the next transaction and returns its first change; empty if there is none.
  std::optional<ledger::Change> write(double now, Outcome outcome = Outcome::applied) {
    const auto pending = leader.next_transaction(now);
    if (!pending) return std::nullopt;
    leader.on_result(pending->id, {outcome, ++revision, {}}, now);
    return pending->transaction.changes.at(0);
  }
  // The value of the next page that is written; other rows are written too.
  json written_page(double now) {
    while (auto change = write(now))
      if (change->key.rfind(ledger::kPagePrefix, 0) == 0) return change->value;
    return nullptr;
  }

  Scheduler leader;
  uint64_t seq = 0, revision = 100;
};

TEST_F(MachinesJustUp, TheirAttributesAreStoredWithTheirAttemptsUntilTheListContainsThem) {
  start(kJob, 1);
  EXPECT_EQ(written_page(1).at("m"), json::parse(R"([["box","b",false,["m-1"]]])"));
  while (write(5)) continue;  // the rented list among them
  start("wk-000002", 6);
  const json page = written_page(6);
  ASSERT_TRUE(page.contains("e"));
  EXPECT_FALSE(page.contains("m"));
}

TEST_F(MachinesJustUp, AListThatWasNotWrittenDoesNotCount) {
  start(kJob, 1);
  ASSERT_TRUE(written_page(1).contains("m"));
  const auto list = write(5, Outcome::not_executed);
  ASSERT_TRUE(list);
  ASSERT_EQ(list->key, ledger::rented_list_key(0));
  start("wk-000002", 5.5);
  EXPECT_TRUE(written_page(5.5).contains("m"));
}

// What a restored machine's first heartbeat tells reaches the leader after the next one, too.
TEST_F(UnknownZones, AMachineIsListedOnceItsZoneIsKnown) {
  take_over(false);
  const auto written_list = [&](double now) {
    json rows = json::array();
    auto revision = static_cast<uint64_t>(100 * now);
    while (auto pending = leader.next_transaction(now)) {
      for (const ledger::Change& change : pending->transaction.changes)
        if (change.key.rfind(ledger::kRentedListPrefix, 0) == 0) rows = change.value.at("machines");
      leader.on_result(pending->id, {Outcome::applied, ++revision, {}}, now);
    }
    return rows;
  };
  EXPECT_EQ(written_list(1), json::array());
  report("b", 1, 6);
  EXPECT_EQ(written_list(6), json::parse(R"([["box","b",false,["m-1"]]])"));
}

}  // namespace
}  // namespace rookdyke
