// The rows of the rented list: what is written when, and what a successor reads.

#include "ledger/rented_list.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace rookdyke {
namespace {

using nlohmann::json;

constexpr size_t kValueBytes = 8192;

class RentedListTest : public testing::Test {
 protected:
  RentedListTest() {
    types.intern("large");
    types.intern("small");
    zones.intern("east");
    zones.intern("west");
  }

  std::optional<RentedMachine> machine(Index index) const {
    if (index >= machines.size()) return std::nullopt;
    return machines[index];
  }

  void add(const std::string& name, Index type, Index zone, bool spot) {
    list.mark_changed(static_cast<Index>(machines.size()));
    machines.emplace_back(RentedMachine{name, {type, zone, spot}});
  }

  // More machines than a row takes, so that a second one begins.
  void fill_a_row() {
    for (int i = 0; i < 400; ++i) add("m-" + std::to_string(i), 0, 0, false);
  }

  ledger::Transaction write(double now, size_t rows = 8) {
    ledger::Transaction transaction;
    transaction.transaction_id = "7.1";
    list.write(
        now, rows, [this](Index i) { return machine(i); }, types, zones, transaction);
    return transaction;
  }

  void settle(const ledger::Transaction& transaction, ledger::Outcome outcome,
              uint64_t revision = 0) {
    list.on_result(transaction, {outcome, revision, {}});
  }

  NameTable types, zones;
  std::vector<std::optional<RentedMachine>> machines;
  RentedList list{kValueBytes};
};

TEST_F(RentedListTest, ARowGroupsItsMachinesByTypeZoneAndKind) {
  add("m-1", 1, 0, true);
  add("m-2", 0, 1, false);
  add("m-3", 1, 0, true);
  machines.emplace_back(std::nullopt);  // gone
  const ledger::Transaction transaction = write(1);
  ASSERT_EQ(transaction.changes.size(), 1u);
  EXPECT_EQ(transaction.changes[0].key, ledger::rented_list_key(0));
  EXPECT_FALSE(transaction.changes[0].erase);
  EXPECT_EQ(transaction.changes[0].value, json::parse(R"({"w": "7.1", "machines": [
      ["large", "west", false, ["m-2"]], ["small", "east", true, ["m-1", "m-3"]]]})"));
}

TEST_F(RentedListTest, ARowIsWrittenOnTheRevisionItWasLeftAt) {
  add("m-1", 0, 0, false);
  const ledger::Transaction first = write(1);
  ASSERT_EQ(first.conditions.size(), 1u);
  EXPECT_EQ(first.conditions[0].key, ledger::rented_list_key(0));
  EXPECT_EQ(first.conditions[0].version, 0u) << "it must not exist yet";
  settle(first, ledger::Outcome::applied, 12);
  list.mark_changed(0);
  EXPECT_EQ(write(5).conditions.at(0).version, 12u);
}

TEST_F(RentedListTest, OneWriteAtATimeAndNoMoreOftenThanEveryFourSeconds) {
  EXPECT_FALSE(list.can_write(1)) << "nothing has changed";
  add("m-1", 0, 0, false);
  EXPECT_TRUE(list.can_write(1));
  const ledger::Transaction first = write(1);
  add("m-2", 0, 0, false);
  EXPECT_FALSE(list.can_write(10)) << "the first is under way";
  settle(first, ledger::Outcome::applied, 12);
  EXPECT_FALSE(list.can_write(4.9));
  EXPECT_TRUE(list.can_write(5));
  EXPECT_FALSE(list.overdue(7));
  EXPECT_TRUE(list.overdue(7.1));
}

TEST_F(RentedListTest, WhatWasNotWrittenIsWrittenAgain) {
  add("m-1", 0, 0, false);
  settle(write(1), ledger::Outcome::not_executed);
  EXPECT_TRUE(list.can_write(5));
  const ledger::Transaction again = write(5);
  ASSERT_EQ(again.changes.size(), 1u);
  EXPECT_EQ(again.conditions.at(0).version, 0u);
  settle(again, ledger::Outcome::applied, 12);
  EXPECT_FALSE(list.can_write(9));
}

TEST_F(RentedListTest, OnlyChangedRowsAreWrittenSoManyAtATime) {
  fill_a_row();
  const ledger::Transaction first = write(1, 1);
  ASSERT_EQ(first.changes.size(), 1u);
  EXPECT_EQ(first.changes[0].key, ledger::rented_list_key(0));
  EXPECT_LE(first.changes[0].value.dump().size(), kValueBytes);
  settle(first, ledger::Outcome::applied, 12);
  const ledger::Transaction second = write(5, 1);
  ASSERT_EQ(second.changes.size(), 1u);
  EXPECT_EQ(second.changes[0].key, ledger::rented_list_key(1));
  settle(second, ledger::Outcome::applied, 13);
  list.mark_changed(399);
  const ledger::Transaction third = write(9);
  ASSERT_EQ(third.changes.size(), 1u);
  EXPECT_EQ(third.changes[0].key, ledger::rented_list_key(1));
}

TEST_F(RentedListTest, ASuccessorReadsWhatItsPredecessorWrote) {
  add("m-1", 1, 0, true);
  add("m-2", 0, 1, false);
  const ledger::Transaction transaction = write(1);
  RentedList successor(kValueBytes);
  RentedList::Rows rows;
  for (const ledger::Change& change : transaction.changes) rows[change.key] = {12, change.value};
  const auto machines = successor.load(rows, types, zones);
  ASSERT_EQ(machines.size(), 2u);
  EXPECT_EQ(machines[0].name, "m-2");
  EXPECT_EQ(machines[0].attributes.type, 0u);
  EXPECT_EQ(machines[0].attributes.zone, 1u);
  EXPECT_FALSE(machines[0].attributes.spot);
  EXPECT_EQ(machines[1].name, "m-1");
  EXPECT_EQ(machines[1].attributes.type, 1u);
  EXPECT_EQ(machines[1].attributes.zone, 0u);
  EXPECT_TRUE(machines[1].attributes.spot);
  EXPECT_TRUE(successor.can_write(2)) << "it writes the list as it knows it";
  ledger::Transaction own;
  successor.write(
      2, 8, [](Index) { return std::nullopt; }, types, zones, own);
  EXPECT_EQ(own.conditions.at(0).version, 12u);
}

TEST_F(RentedListTest, EntriesOfAnyShapeAreOutlived) {
  const json odd = json::parse(R"({"machines": [3, ["large", "east", false], ["large", "east", 1,
      ["m-1"]], ["large", "east", false, [7, "", "m-2"]], ["former", "north", true, ["m-3"]]]})");
  RentedList::Rows rows;
  rows[ledger::rented_list_key(0)] = {3, odd};
  rows[ledger::rented_list_key(1)] = {4, json(5)};
  rows[ledger::rented_list_key(2)] = {5, json::parse(R"({"machines": "none"})")};
  rows["elsewhere"] = {6, odd};
  const auto machines = list.load(rows, types, zones);
  ASSERT_EQ(machines.size(), 2u);
  EXPECT_EQ(machines[0].name, "m-2");
  EXPECT_EQ(machines[1].name, "m-3");
  EXPECT_EQ(machines[1].attributes.type, kNone);
  EXPECT_EQ(zones.name(machines[1].attributes.zone), "north");
  const ledger::Transaction transaction = write(1);
  ASSERT_EQ(transaction.conditions.size(), 1u);
  EXPECT_EQ(transaction.conditions[0].key, ledger::rented_list_key(0));
  settle(transaction, ledger::Outcome::applied, 12);
  fill_a_row();
  list.mark_changed(static_cast<Index>(machines.size()) + 400);
  while (list.can_write(5)) {
    const ledger::Transaction later = write(5);
    for (const ledger::Change& change : later.changes) {
      EXPECT_NE(change.key, ledger::rented_list_key(1))
          << "it cannot be read, so it is not written";
      EXPECT_NE(change.key, ledger::rented_list_key(2));
    }
    settle(later, ledger::Outcome::applied, 13);
  }
}

// A leader that ended between two writes of its predecessor's list left machines on no row, so that
// its successor did not know their zones.
TEST_F(RentedListTest, NoWriteOfASuccessorTakesAMachineOffTheList) {
  constexpr int kMachines = 12 * 400;  // more than ten rows
  for (int i = 0; i < kMachines; ++i)
    if (i % 7 == 0)
      machines.emplace_back(std::nullopt), list.mark_changed(static_cast<Index>(i));
    else
      add("m-" + std::to_string(i), 0, i % 2, false);
  RentedList::Rows rows;
  uint64_t revision = 1;
  for (double now = 1; list.can_write(now); now += 5) {
    const ledger::Transaction transaction = write(now);
    settle(transaction, ledger::Outcome::applied, ++revision);
    for (const ledger::Change& change : transaction.changes)
      rows[change.key] = {revision, change.value};
  }
  ASSERT_GT(rows.size(), 10u);
  rows[ledger::rented_list_key(3)].value = "noise";
  RentedList successor(kValueBytes);
  const std::vector<RentedMachine> loaded = successor.load(rows, types, zones);
  const auto stored = [&] {
    std::set<std::string> names;
    for (const auto& [key, row] : rows)
      if (row.value.is_object())
        for (const ledger::MachineGroup& group :
             ledger::decode_machine_groups(row.value.at("machines")))
          names.insert(group.names.begin(), group.names.end());
    return names;
  };
  const std::set<std::string> before = stored();
  ASSERT_EQ(before.size(), loaded.size());
  const auto lookup = [&](Index i) {
    return i < loaded.size() ? std::optional(loaded[i]) : std::nullopt;
  };
  for (double now = 1; successor.can_write(now); now += 5) {
    ledger::Transaction transaction;
    successor.write(now, 3, lookup, types, zones, transaction);
    successor.on_result(transaction, {ledger::Outcome::applied, ++revision, {}});
    for (const ledger::Change& change : transaction.changes)
      rows[change.key] = {revision, change.value};
    ASSERT_EQ(stored(), before) << "after the write at " << now;
  }
  for (Index i = 0; i < loaded.size(); ++i) EXPECT_TRUE(successor.is_durable(i)) << i;
}

// A type that the cloud no longer offers is written as an empty name.
TEST_F(RentedListTest, MachinesOfAnUnknownTypeKeepTheirZone) {
  add("m-1", kNone, 1, true);
  EXPECT_EQ(write(1).changes.at(0).value.at("machines"),
            json::parse(R"([["", "west", true, ["m-1"]]])"));
}

TEST_F(RentedListTest, AMachineIsDurableOnceAWriteWithItWasApplied) {
  add("m-1", 0, 0, false);
  const ledger::Transaction refused = write(1);
  add("m-2", 0, 0, false);
  EXPECT_FALSE(list.is_durable(0));
  settle(refused, ledger::Outcome::not_executed);
  EXPECT_FALSE(list.is_durable(0));
  const ledger::Transaction applied = write(5);
  add("m-3", 0, 0, false);
  settle(applied, ledger::Outcome::applied, 12);
  EXPECT_TRUE(list.is_durable(0));
  EXPECT_TRUE(list.is_durable(1));
  EXPECT_FALSE(list.is_durable(2)) << "added after the write began";
}

}  // namespace
}  // namespace rookdyke
