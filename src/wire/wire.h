#pragma once
// The only place that knows the protocol's field names and values. Inside, the field's terms are
// used: job, task, gang, machine, spot, lease, token.

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "ledger/ledger_cache.h"
#include "ledger/rows.h"
#include "model/types.h"
#include "scheduler/scheduler.h"

namespace rookdyke::wire {

using nlohmann::json;

// Paths.
inline constexpr const char* kJobs = "/v2/runs";
inline constexpr const char* kAbortEnd = "/abort";
inline constexpr const char* kHealth = "/healthz";
inline constexpr const char* kReport = "/hello";

// MessagePack bodies. Nesting beyond any real message is refused before it can exhaust a stack.
std::string pack(const json& j);
std::optional<json> unpack(const std::string& body);

bool valid_job_id(const std::string& id);
// The id of a submission, if that much is valid.
std::optional<std::string> job_id(const json& body);
// Empty error: valid.
std::optional<JobSpec> parse_job(const json& body, std::string& error);
json job_answer(const std::string& id, const JobAnswer& a, bool with_counts);

std::optional<Heartbeat> parse_heartbeat(const json& body);
json report_answer(uint64_t fencing_token, const std::vector<WorkerCommand>& commands);
inline constexpr const char* kDirect = "/do";
json direct(uint64_t fencing_token, const DirectCommand& d);
json redirect(const std::string& leader_label);  // empty: no leader known

// Cloud.
std::optional<std::vector<MachineType>> parse_types(const json& body);
json rent(const RentalRequest& h);
std::optional<std::vector<std::string>> parse_hired(const json& body);
json return_machines(const std::vector<std::string>& names);
std::string list_path(const std::string& after, int most);
std::optional<std::vector<ListedMachine>> parse_machines(const json& body, bool& more);

// State service.
struct Row {
  std::string key;
  json value;
  uint64_t version = 0;
  bool erased = false;
};
struct Rows {
  std::vector<Row> rows;
  bool more = false;
  uint64_t revision = 0;
};
std::string key_path(const std::string& key);
std::string range_path(const std::string& prefix, const std::string& after, int most);
std::string watch_path(const std::string& prefix, uint64_t after, int hold_ms);
json transaction(const ledger::Transaction& t);
std::optional<uint64_t> parse_revision(const json& body);
std::vector<std::string> parse_failed(const json& body);
std::optional<Row> parse_row(const json& body);
std::optional<Rows> parse_rows(const json& body);
std::optional<Rows> parse_events(const json& body);
json lease(double ttl_s);
std::optional<uint64_t> parse_lease(const json& body);

}  // namespace rookdyke::wire
