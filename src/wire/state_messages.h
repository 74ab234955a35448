#pragma once
// Messages between a controller and the state service: rows, transactions, events and leases. The
// functions are used by src/state/ only. Decoding never throws. A response with an invalid row or
// event is invalid as a whole, since a row that is left out would appear not to exist.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "ledger/rows.h"

namespace rookdyke::wire {

using nlohmann::json;

// A row of the state service, or an event that reports a change of a row.
struct Row {
  std::string key;
  json value;
  uint64_t version = 0;  // revision of the last change, or of the change that the event reports
  bool deleted = false;  // the event reports a deletion; always false in reads
};

// The rows or events of a response, in the order of the response.
struct Rows {
  std::vector<Row> rows;
  bool more = false;      // whether more rows of the range follow; always false for events
  uint64_t revision = 0;  // of the state service at the time of the response
};

// Returns the path of one key.
std::string key_path(const std::string& key);
// Returns the path of the keys under a prefix that follow `after` (empty: from the first key).
std::string range_path(const std::string& prefix, const std::string& after, int max_count);
// Returns the path of the events under a prefix after revision `after`. The state service waits for
// the first event for up to `hold_ms`.
std::string watch_path(const std::string& prefix, uint64_t after, int hold_ms);
// Return the path of a lease, and the path of the request that renews it.
std::string lease_path(uint64_t lease_id);
std::string renewal_path(uint64_t lease_id);

// Encodes a request to execute a transaction.
json encode_transaction(const ledger::Transaction& transaction);
// Decodes the revision of the state service in a response. In the response to an executed
// transaction, it is the revision that the transaction created. Returns nullopt if it is missing or
// invalid.
std::optional<uint64_t> parse_revision(const json& message);
// Decodes the keys whose conditions failed.
std::vector<std::string> parse_failed_keys(const json& message);

// Decode the responses to reads and watches; nullopt if the response is invalid.
std::optional<Row> parse_row(const json& message);
std::optional<Rows> parse_rows(const json& message);
std::optional<Rows> parse_events(const json& message);

// Encodes a request for a lease.
json encode_lease_request(double ttl_s);
// Decodes the id of a granted lease; nullopt if it is invalid.
std::optional<uint64_t> parse_lease_id(const json& message);

}  // namespace rookdyke::wire
