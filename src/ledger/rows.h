#pragma once
// The ledger's rows in the state service: keys, types and JSON encoding.
//
//   rd/leader        label of the leader, attached to its lease; the version is the fencing token
//   rd/read_to       revision up to which the leader has read the ledger, for peer controllers that
//                    it cannot reach directly
//   rd/types         machine types, so that all controllers reject the same jobs with 422
//   rd/j/<job>       a job: its description until it is done; its final state is kept for ever
//   rd/t/<n>         a page: chunks of tasks of several jobs, and the type, zone and kind of the
//                    machines on which they run, unless the rented list has them. Chunk k of a job
//                    covers its tasks [k*per, (k+1)*per), where `per` is JobRow::chunk_size. It
//                    states which of them are done, the attempts that may be on a machine, and the
//                    highest attempt number used. If two pages hold the same tasks, the one written
//                    last is valid: a chunk is moved by writing it to another page.
//   rd/f/<n>         rented machines with type, zone and kind (the rented list)
//
// Tasks are grouped into chunks because a job has up to 100,000 tasks and values are limited in
// size. Chunks share pages because the state service limits changed rows, not bytes: a row for each
// job's start and another for its end would use up the write rate of a large deployment.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "model/types.h"

namespace rookdyke::ledger {

using nlohmann::json;

inline constexpr const char* kPrefix = "rd/";
inline constexpr const char* kLeaderKey = "rd/leader";
inline constexpr const char* kTypesKey = "rd/types";
inline constexpr const char* kReadToKey = "rd/read_to";
inline constexpr const char* kJobPrefix = "rd/j/";
inline constexpr const char* kPagePrefix = "rd/t/";
inline constexpr const char* kRentedListPrefix = "rd/f/";

std::string job_key(const std::string& job);
std::string page_key(uint32_t n);
std::string rented_list_key(uint32_t n);
// The number in a key of the form rd/f/<n>; empty if the key has none.
std::optional<uint32_t> rented_list_row_number(const std::string& key);

// Upper bounds on the tasks of a job, the pages of a ledger and attempt numbers. Rows with larger
// values are treated as unreadable, since processing them could exhaust memory or time.
inline constexpr uint32_t kMaxTasks = 100'000;
inline constexpr uint32_t kMaxPages = 1 << 17;
inline constexpr uint64_t kMaxAttemptNumber = uint64_t{1} << 53;

// A set of task numbers, stored as sorted disjoint closed ranges.
class TaskSet {
 public:
  void add(uint32_t task);
  bool has(uint32_t task) const;
  uint32_t count() const;
  const std::vector<std::pair<uint32_t, uint32_t>>& ranges() const { return ranges_; }
  json encode() const;
  static TaskSet decode(const json& j);

 private:
  std::vector<std::pair<uint32_t, uint32_t>> ranges_;
};

// An attempt that may be on a machine.
struct LiveAttempt {
  uint32_t task = 0;
  uint64_t attempt = 0;
  std::string machine;
  uint64_t epoch = 0;
};

struct Chunk {
  TaskSet done;
  std::vector<LiveAttempt> live;
  uint64_t highest_attempt = 0;  // highest attempt number used in this chunk
};

// The tasks [first, first + count), a part of a chunk.
struct TaskRange {
  uint32_t first = 0, count = 0;
};

// A chunk, or a part of one, as stored in a page.
struct PageEntry {
  std::string job;
  uint32_t n = 0;  // number of the chunk in its job
  Chunk chunk;
  // The part of the chunk that this entry holds; empty: the whole chunk. Parts are written only
  // after the state service has lowered its limits, which happens once all controllers support
  // them: version 0.1 would read a part as the whole chunk.
  std::optional<TaskRange> range;
};
// Machines of the same type, zone and kind (spot or on-demand). An empty type or zone is unknown.
struct MachineGroup {
  std::string type, zone;
  bool spot = false;
  std::vector<std::string> names;
};

struct PageRow {
  std::vector<PageEntry> entries;
  // Machines that the entries name and that the rented list did not contain when the page was
  // written. Older versions ignore this field.
  std::vector<MachineGroup> machines;
  std::string transaction_id;  // of the transaction that wrote the page
};

enum class JobStatus : uint8_t { open, done, cancelled };

struct JobRow {
  JobStatus status = JobStatus::open;
  uint32_t tasks = 0;
  uint32_t chunk_size = 0;  // tasks per chunk
  double timestamp_s = 0;   // time of day of the submission; of a cancelled job, the cancellation
  // Kept for cancelled jobs too: their tasks count towards quotas and zone constraints until they
  // are known to have ended.
  std::optional<JobSpec> spec;
  std::string transaction_id;
};

// Estimates of the number of tasks whose chunk fits a page of the given size, and of the bytes that
// a chunk of the given number of tasks needs. encoded_size() gives the bound that is enforced.
uint32_t tasks_per_chunk(size_t value_bytes);
size_t estimated_chunk_size(const std::string& job, uint32_t tasks);
// The bytes available for entries in a page whose value is limited to `value_bytes`.
size_t page_capacity(size_t value_bytes);
// Upper bound of the bytes that an attempt takes in a page.
size_t encoded_size(const LiveAttempt& live);
// Upper bound of the bytes that an entry takes in a page, without its attempts.
size_t encoded_size(const std::string& job, const TaskSet& done);

// Upper bound of the bytes that a group takes in a page.
size_t encoded_size(const MachineGroup& group);

json encode(const JobRow& row);
json encode(const PageRow& page);
// Whether a row's value was written by the given transaction.
bool is_written_by(const json& value, const std::string& transaction_id);
// The size of a value in bytes, as the state service counts it.
size_t value_size(const json& value);
// If the row of a cancelled job would exceed `value_bytes`, clears the parts of its description
// that quotas and zone constraints do not need. Jobs whose rows were written under larger limits
// can thus still be cancelled.
void shorten_cancelled(JobRow& row, size_t value_bytes);
// Empty if the value is malformed; a row is never read in part.
std::optional<JobRow> decode_job(const std::string& id, const json& v);
std::optional<PageRow> decode_page(const json& v);

json encode(const std::vector<MachineGroup>& groups);
// Skips what is malformed. Returns no groups if the value is not an array.
std::vector<MachineGroup> decode_machine_groups(const json& v);

json encode_types(const std::vector<MachineType>& types);
std::vector<MachineType> decode_types(const json& v);

// A transaction, independent of the state service's protocol; state/client.h encodes it.
struct Condition {
  std::string key;
  uint64_t version = 0;  // 0: the key must not exist
};
struct Change {
  std::string key;
  bool erase = false;
  json value;
  uint64_t lease = 0;  // 0: none
};
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Change> changes;
  // Also stored (field "w") in the rows that resent transactions write, so that is_written_by() can
  // tell whether an earlier copy was applied.
  std::string transaction_id;
};

enum class Outcome : uint8_t {
  applied,       // committed
  conflict,      // a condition failed; no copy will be executed
  not_executed,  // this copy was not executed (rate limit, service unavailable); it may be resent
  rejected,      // not executed, and neither will a resent copy be: it is too large or malformed
  indeterminate  // it may have been executed or may still be
};
struct Result {
  Outcome outcome = Outcome::indeterminate;
  uint64_t revision = 0;
  std::vector<std::string> failed_keys;  // keys of the conditions that failed
};

}  // namespace rookdyke::ledger
