#include "ledger/rented_list.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

namespace rookdyke {

using nlohmann::json;

namespace {

// The list is written at most this often (the design says: at most every 2 s). Its rows cost writes
// that job starts wait for, and the cloud's list shows a new leader the same a little later.
constexpr double kWriteIntervalS = 4;
// A write is not postponed for longer than this: a successor would count machines that have been
// returned, and rent no others until the cloud's list shows it.
constexpr double kMaxDelayS = 6;
constexpr size_t kNameBytes = 24;          // reserved in a row for a machine
constexpr size_t kMaxTransactionRows = 4;  // a transaction has 64 KiB at most

bool readable(const json& group) {
  return group.is_array() && group.size() >= 4 && group[0].is_string() && group[1].is_string() &&
         group[2].is_boolean() && group[3].is_array();
}

// Appends the machines of one group: [type, zone, spot, [names]].
void decode_group(const json& group, const NameTable& types, NameTable& zones,
                  std::vector<RentedMachine>& machines) {
  if (!readable(group)) return;
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
    : machines_per_row_(
          static_cast<uint32_t>(std::max<size_t>(1, ledger::page_room(value_bytes) / kNameBytes))) {
}

std::vector<RentedMachine> RentedList::load(const Rows& rows, const NameTable& types,
                                            NameTable& zones) {
  std::vector<RentedMachine> machines;
  for (const auto& [key, row] : rows) {
    const auto number = ledger::fleet_row(key);
    if (!number) continue;
    const json& value = row.value;
    revisions_[key] = row.version;
    if (!value.is_object() || !value.contains("machines") || !value["machines"].is_array()) {
      spdlog::error("ledger: row {} cannot be read", key);
      unreadable_.insert(*number);
      continue;
    }
    changed_.insert(*number);
    for (const json& group : value["machines"]) decode_group(group, types, zones, machines);
  }
  return machines;
}

void RentedList::mark_changed(Index machine) { changed_.insert(machine / machines_per_row_); }

bool RentedList::can_write(double now) const {
  if (changed_.empty() || in_flight_) return false;
  return !written_at_ || now - *written_at_ >= kWriteIntervalS;
}

bool RentedList::overdue(double now) const {
  return !written_at_ || now - *written_at_ > kMaxDelayS;
}

json RentedList::encode_row(uint32_t row, const Lookup& machine, const NameTable& types,
                            const NameTable& zones) const {
  std::map<std::tuple<Index, Index, bool>, json> groups;  // names by type, zone and kind
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
  written_at_ = now;
  const size_t max_changes = std::min(transaction_rows, kMaxTransactionRows);
  while (!changed_.empty() && transaction.changes.size() < max_changes) {
    const uint32_t row = *changed_.begin();
    changed_.erase(changed_.begin());
    if (unreadable_.count(row)) continue;
    const std::string key = ledger::fleet_key(row);
    const auto known = revisions_.find(key);
    transaction.conditions.push_back({key, known == revisions_.end() ? 0 : known->second});
    json value = {{"machines", encode_row(row, machine, types, zones)},
                  {"w", transaction.transaction_id}};
    transaction.changes.push_back({key, false, std::move(value), 0});
  }
}

void RentedList::on_result(const ledger::Transaction& transaction, const ledger::Result& result) {
  in_flight_ = false;
  for (const ledger::Change& change : transaction.changes) {
    if (result.outcome == ledger::Outcome::applied)
      revisions_[change.key] = result.revision;
    else
      changed_.insert(ledger::fleet_row(change.key).value());
  }
}

}  // namespace rookdyke
