#include "ledger/rented_list.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

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

bool is_valid_group(const json& group) {
  return group.is_array() && group.size() >= 4 && group[0].is_string() && group[1].is_string() &&
         group[2].is_boolean() && group[3].is_array();
}

// Appends the machines of one group: [type, zone, spot, [names]].
void decode_group(const json& group, const NameTable& types, NameTable& zones,
                  std::vector<RentedMachine>& machines) {
  if (!is_valid_group(group)) return;
  for (const json& name : group[3]) {
    if (!name.is_string() || name.get_ref<const std::string&>().empty()) continue;
    RentedMachine machine;
    machine.name = name.get<std::string>();
    machine.type = types.find(group[0].get<std::string>());
    machine.zone = zones.intern(group[1].get<std::string>());
    machine.spot = group[2].get<bool>();
    machines.push_back(std::move(machine));
  }
}

}  // namespace

RentedList::RentedList(size_t value_bytes)
    : machines_per_row_(static_cast<uint32_t>(
          std::max<size_t>(1, ledger::page_capacity(value_bytes) / kReservedMachineBytes))) {}

std::vector<RentedMachine> RentedList::load(const Rows& rows, const NameTable& types,
                                            NameTable& zones) {
  std::vector<RentedMachine> machines;
  for (const auto& [key, row] : rows) {
    const auto number = ledger::rented_list_row_number(key);
    if (!number) continue;
    const json& value = row.value;
    row_versions_[key] = row.version;
    if (!value.is_object() || !value.contains("machines") || !value["machines"].is_array()) {
      spdlog::error("ledger: row {} cannot be decoded", key);
      unreadable_rows_.insert(*number);
      continue;
    }
    changed_rows_.insert(*number);
    for (const json& group : value["machines"]) decode_group(group, types, zones, machines);
  }
  return machines;
}

void RentedList::mark_changed(Index machine) { changed_rows_.insert(machine / machines_per_row_); }

bool RentedList::can_write(double now) const {
  if (changed_rows_.empty() || in_flight_) return false;
  return !write_began_at_ || now - *write_began_at_ >= kWriteIntervalS;
}

bool RentedList::overdue(double now) const {
  return !write_began_at_ || now - *write_began_at_ > kMaxWriteDelayS;
}

json RentedList::encode_row(uint32_t row, const Lookup& machine, const NameTable& types,
                            const NameTable& zones) const {
  std::map<std::tuple<Index, Index, bool>, json> groups;  // names by type, zone and spot
  const Index first = row * machines_per_row_;
  for (Index i = first; i < first + machines_per_row_; ++i)
    if (const auto m = machine(i)) groups[{m->type, m->zone, m->spot}].push_back(m->name);
  json encoded = json::array();
  for (auto& [key, names] : groups) {
    const auto& [type, zone, spot] = key;
    encoded.push_back(json::array({types.name(type), zones.name(zone), spot, std::move(names)}));
  }
  return encoded;
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
    if (unreadable_rows_.count(row)) continue;
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
  for (const ledger::Change& change : transaction.changes) {
    if (result.outcome == ledger::Outcome::applied)
      row_versions_[change.key] = result.revision;
    else
      changed_rows_.insert(ledger::rented_list_row_number(change.key).value());
  }
}

}  // namespace rookdyke
