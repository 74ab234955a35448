#include "ledger/rented_list.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>

namespace rookdyke {

using nlohmann::json;

namespace {

// Minimum interval between writes (the design permits one every 2 s). The list shares the write
// rate with job starts, and a new leader gets the same machines from the cloud's list a little
// later.
constexpr double kWriteIntervalS = 4;
// After this interval, a write has priority over page writes. With an outdated list, a successor
// counts returned machines as rented and rents no replacements until the cloud's list shows that
// they are gone.
constexpr double kMaxWriteDelayS = 6;
constexpr size_t kReservedMachineBytes = 24;  // bytes of a row reserved for each machine
constexpr size_t kMaxRowsPerTransaction = 4;  // a transaction is limited to 64 KiB

// The rows in the order of their numbers. Rows whose key has no number are left out.
std::map<uint32_t, const CachedRentedListRow*> sort_by_number(const RentedList::Rows& rows) {
  std::map<uint32_t, const CachedRentedListRow*> sorted;
  for (const auto& [key, row] : rows)
    if (const auto number = ledger::rented_list_row_number(key)) sorted[*number] = &row;
  return sorted;
}

}  // namespace

RentedList::RentedList(size_t value_bytes)
    : machines_per_row_(static_cast<uint32_t>(
          std::max<size_t>(1, ledger::page_capacity(value_bytes) / kReservedMachineBytes))) {}

// Rows are read in the order of their numbers, and the caller gives the machines indices in the
// order of the result. A machine's new row is therefore never behind its old one, and is written
// no later: rows are written in ascending order, so that no write takes a machine off the list.
std::vector<RentedMachine> RentedList::load(const Rows& rows, const NameTable& types,
                                            NameTable& zones) {
  std::vector<RentedMachine> machines;
  for (const auto& [number, row] : sort_by_number(rows)) {
    const json& value = row->value;
    row_versions_[ledger::rented_list_key(number)] = row->version;
    if (!value.is_object() || !value.contains("machines") || !value["machines"].is_array()) {
      spdlog::error("ledger: row {} cannot be decoded", ledger::rented_list_key(number));
      unreadable_rows_.insert(number);
      continue;
    }
    changed_rows_.insert(number);
    for (const ledger::MachineGroup& group : ledger::decode_machine_groups(value["machines"]))
      for (RentedMachine& machine : machines_of_group(group, types, zones))
        machines.push_back(std::move(machine));
  }
  return machines;
}

// Machines fill the rows that can be decoded, machines_per_row_ each, in the order of their
// indices.
uint32_t RentedList::row_of(Index machine) const {
  uint32_t row = machine / machines_per_row_;
  for (const uint32_t unreadable : unreadable_rows_) row += unreadable <= row;
  return row;
}

Index RentedList::first_machine_of(uint32_t row) const {
  const auto skipped = std::distance(unreadable_rows_.begin(), unreadable_rows_.lower_bound(row));
  return (row - static_cast<uint32_t>(skipped)) * machines_per_row_;
}

void RentedList::mark_changed(Index machine) { changed_rows_.insert(row_of(machine)); }

void RentedList::mark_durable(Index machine) {
  if (machine >= durable_.size()) durable_.resize(machine + 1);
  durable_[machine] = true;
}

bool RentedList::can_write(double now) const {
  if (changed_rows_.empty() || in_flight_) return false;
  return !write_began_at_ || now - *write_began_at_ >= kWriteIntervalS;
}

bool RentedList::overdue(double now) const {
  return !write_began_at_ || now - *write_began_at_ > kMaxWriteDelayS;
}

json RentedList::encode_row(uint32_t row, const Lookup& machine, const NameTable& types,
                            const NameTable& zones) {
  std::vector<RentedMachine> machines;
  const Index first = first_machine_of(row);
  for (Index i = first; i < first + machines_per_row_; ++i) {
    auto listed = machine(i);
    if (!listed) continue;
    machines.push_back(std::move(*listed));
    machines_in_flight_.push_back(i);
  }
  return ledger::encode(group_machines(machines, types, zones));
}

void RentedList::write(double now, size_t transaction_rows, const Lookup& machine,
                       const NameTable& types, const NameTable& zones,
                       ledger::Transaction& transaction) {
  in_flight_ = true;
  write_began_at_ = now;
  const size_t max_changes = std::min(transaction_rows, kMaxRowsPerTransaction);
  while (!changed_rows_.empty() && transaction.changes.size() < max_changes) {
    const uint32_t row = *changed_rows_.begin();
    changed_rows_.erase(changed_rows_.begin());
    const std::string key = ledger::rented_list_key(row);
    const auto known = row_versions_.find(key);
    transaction.conditions.push_back({key, known == row_versions_.end() ? 0 : known->second});
    json value = {{"machines", encode_row(row, machine, types, zones)},
                  {"w", transaction.transaction_id}};
    transaction.changes.push_back({key, false, std::move(value), 0});
  }
}

void RentedList::on_result(const ledger::Transaction& transaction, const ledger::Result& result) {
  in_flight_ = false;
  if (result.outcome == ledger::Outcome::applied)
    for (const Index machine : machines_in_flight_) mark_durable(machine);
  machines_in_flight_.clear();
  for (const ledger::Change& change : transaction.changes) {
    if (result.outcome == ledger::Outcome::applied)
      row_versions_[change.key] = result.revision;
    else
      changed_rows_.insert(ledger::rented_list_row_number(change.key).value());
  }
}

}  // namespace rookdyke
