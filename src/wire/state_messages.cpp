#include "wire/state_messages.h"

#include <cmath>
#include <utility>

#include "wire/field_names.h"
#include "wire/field_reader.h"
#include "wire/paths.h"
#include "wire/percent_encoding.h"

namespace rookdyke::wire {

namespace {

json encode_condition(const ledger::Condition& condition) {
  return {{field::state_service::kKey, condition.key},
          {field::state_service::kVersion, condition.version}};
}

json encode_change(const ledger::Change& change) {
  if (change.erase) return {{field::state_service::kDelete, change.key}};
  json message = {{field::state_service::kWrite, change.key},
                  {field::state_service::kValue, change.value}};
  if (change.lease) message[field::state_service::kLease] = change.lease;
  return message;
}

void read_value(const json& message, Row& row) {
  if (const json* value = find_field(message, field::state_service::kValue)) row.value = *value;
}

std::optional<Row> parse_event(const json& message) {
  const auto version = find_unsigned(message, field::state_service::kVersion);
  if (!version) return std::nullopt;
  Row row;
  row.version = *version;
  const json* written = find_field(message, field::state_service::kWrite);
  const json* deleted = find_field(message, field::state_service::kDelete);
  if (written && written->is_string()) {
    row.key = written->get<std::string>();
    read_value(message, row);
  } else if (deleted && deleted->is_string()) {
    row.key = deleted->get<std::string>();
    row.deleted = true;
  } else {
    return std::nullopt;
  }
  return row;
}

// Parses all entries of a list with `parse`. Returns false if any of them is invalid.
template <class Parse>
bool parse_entries(const json& list, const Parse& parse, std::vector<Row>& rows) {
  if (!list.is_array()) return false;
  for (const json& entry : list) {
    auto row = parse(entry);
    if (!row) return false;
    rows.push_back(std::move(*row));
  }
  return true;
}

}  // namespace

std::string key_path(const std::string& key) { return "/keys/" + percent_encode(key); }

std::string range_path(const std::string& prefix, const std::string& after, int max_count) {
  std::string path = "/keys?under=" + percent_encode(prefix) + "&most=" + std::to_string(max_count);
  if (!after.empty()) path += "&after=" + percent_encode(after);
  return path;
}

std::string watch_path(const std::string& prefix, uint64_t after, int hold_ms) {
  return "/watch?under=" + percent_encode(prefix) + "&after=" + std::to_string(after) +
         "&hold_ms=" + std::to_string(hold_ms);
}

std::string lease_path(uint64_t lease_id) {
  return std::string(kLeasesPath) + "/" + std::to_string(lease_id);
}

std::string renewal_path(uint64_t lease_id) { return lease_path(lease_id) + "/renew"; }

json encode_transaction(const ledger::Transaction& transaction) {
  json conditions = json::array();
  for (const ledger::Condition& condition : transaction.conditions)
    conditions.push_back(encode_condition(condition));
  json changes = json::array();
  for (const ledger::Change& change : transaction.changes) changes.push_back(encode_change(change));
  return {{field::state_service::kConditions, std::move(conditions)},
          {field::state_service::kChanges, std::move(changes)}};
}

std::optional<uint64_t> parse_revision(const json& message) {
  return find_unsigned(message, field::state_service::kRevision);
}

std::vector<std::string> parse_failed_keys(const json& message) {
  std::vector<std::string> keys;
  const json* list = find_field(message, field::state_service::kFailedKeys);
  if (!is_list(list)) return keys;
  for (const json& key : *list)
    if (key.is_string()) keys.push_back(key.get<std::string>());
  return keys;
}

std::optional<Row> parse_row(const json& message) {
  const json* key = find_field(message, field::state_service::kKey);
  const auto version = find_unsigned(message, field::state_service::kVersion);
  if (!key || !key->is_string() || !version) return std::nullopt;
  Row row;
  row.key = key->get<std::string>();
  row.version = *version;
  read_value(message, row);
  return row;
}

std::optional<Rows> parse_rows(const json& message) {
  const json* list = find_field(message, field::state_service::kRows);
  const auto revision = parse_revision(message);
  if (!list || !revision) return std::nullopt;
  Rows rows;
  rows.revision = *revision;
  rows.more = flag_or(message, field::state_service::kMore);
  if (!parse_entries(*list, parse_row, rows.rows)) return std::nullopt;
  return rows;
}

std::optional<Rows> parse_events(const json& message) {
  const json* list = find_field(message, field::state_service::kEvents);
  const auto revision = parse_revision(message);
  if (!revision) return std::nullopt;
  Rows events;
  events.revision = *revision;
  if (list && !parse_entries(*list, parse_event, events.rows)) return std::nullopt;
  return events;
}

json encode_lease_request(double ttl_s) {
  constexpr double kMillisecondsPerSecond = 1000;
  return {{field::state_service::kLeaseTtlMs,
           static_cast<int64_t>(std::lround(ttl_s * kMillisecondsPerSecond))}};
}

std::optional<uint64_t> parse_lease_id(const json& message) {
  return find_unsigned(message, field::state_service::kLease);
}

}  // namespace rookdyke::wire
