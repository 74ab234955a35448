#pragma once
// Messages between a replica and the state service: rows, transactions, events and leases. Called
// by src/state/. Decoding never throws; an answer is either valid as a whole or refused, since a
// row left out would be taken for one that does not exist.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "ledger/rows.h"

namespace rookdyke::wire {

using nlohmann::json;

// A row as it was read, or the event of its last change.
struct Row {
  std::string key;
  json value;
  uint64_t version = 0;  // the revision of its last change
  bool erased = false;   // only in events
};

// Rows or events, in the order of the answer.
struct Rows {
  std::vector<Row> rows;
  bool more = false;      // the range goes on after the last of them
  uint64_t revision = 0;  // of the state service as it answered
};

// Paths: one key; the keys under a prefix, after a key (empty: from the first); the events under a
// prefix after a revision, waiting up to hold_ms for the first.
std::string key_path(const std::string& key);
std::string range_path(const std::string& prefix, const std::string& after, int max_count);
std::string watch_path(const std::string& prefix, uint64_t after, int hold_ms);
// Paths: a lease, and its renewal.
std::string lease_path(uint64_t lease);
std::string renewal_path(uint64_t lease);

// The request to execute a transaction, the revision that an executed one made (empty: invalid),
// and the keys whose conditions failed.
json transaction(const ledger::Transaction& transaction);
std::optional<uint64_t> parse_revision(const json& message);
std::vector<std::string> parse_failed(const json& message);

// Reads; empty: invalid.
std::optional<Row> parse_row(const json& message);
std::optional<Rows> parse_rows(const json& message);
std::optional<Rows> parse_events(const json& message);

// The request for a lease, and the lease that was granted (empty: invalid).
json lease(double ttl_s);
std::optional<uint64_t> parse_lease(const json& message);

}  // namespace rookdyke::wire
