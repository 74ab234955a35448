#pragma once
// What must be durable, and in which rows of the state service it lies.
//
//   rd/leader        who leads; hangs on the leader's lease, its version is the token
//   rd/read_to       the revision up to which the leader has read, where siblings cannot be told
//   rd/types         machine sizes, so that every node decides 422 alike
//   rd/j/<job>       a job: its description until it is done, its final state for ever
//   rd/t/<n>         a page: chunks of several jobs' tasks. A chunk is the tasks [k*per, (k+1)*per)
//                    of a job: which are done, which attempts may be on which machine, the
//                    highest attempt number ever used. Of two pages that hold the same tasks, the
//                    one that was written last counts: a chunk moves by being written elsewhere.
//   rd/f/<n>         names of rented machines (the design's rented list)
//
// A job's tasks are chunked because jobs go to 100,000 tasks and a value has a size limit; chunks
// share pages because the state service counts changed rows, not bytes: one row a job's start and
// one more its end would be the whole rate of a large deployment.

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
inline constexpr const char* kTaskPrefix = "rd/t/";
inline constexpr const char* kFleetPrefix = "rd/f/";

std::string job_key(const std::string& job);
std::string page_key(uint32_t n);
std::string fleet_key(uint32_t n);
// The n of such a key; empty: it has none.
std::optional<uint32_t> fleet_row(const std::string& key);

// No job has more tasks, no ledger of ours more pages, and no attempt a higher number: what a row
// says beyond is not believed, for it would take all memory or time to follow.
inline constexpr uint32_t kMostTasks = 100'000;
inline constexpr uint32_t kMostPages = 1 << 17;
inline constexpr uint64_t kMostAttempts = uint64_t{1} << 53;

// Tasks of a chunk as sorted disjoint closed ranges.
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

// Some of a chunk's tasks: [first, first + count).
struct TaskRange {
  uint32_t first = 0, count = 0;
};

struct PageEntry {
  std::string job;
  uint32_t n = 0;
  Chunk chunk;
  // Only this part of the chunk lies here; empty: all of it. Written only once the state service
  // has lowered its limits, which it does after all replicas know of parts: version 0.1 would take
  // a part for the whole.
  std::optional<TaskRange> range;
};
struct Page {
  std::vector<PageEntry> entries;
  std::string transaction_id;  // names the transaction that wrote it
};

enum class JobStatus : uint8_t { open, done, cancelled };

struct JobRow {
  JobStatus status = JobStatus::open;
  uint32_t tasks = 0;
  uint32_t chunk_size = 0;  // tasks per chunk
  double timestamp_s = 0;   // time of day: accepted; of a cancelled job, cancelled
  // Kept by a cancelled job: its tasks count for limits and zones until they are proven gone.
  std::optional<JobSpec> spec;
  std::string transaction_id;
};

// How many tasks a chunk takes so that it fits a page of that many bytes, and what is set aside of
// a page for a chunk of so many tasks. Both are estimates; encoded_size() is what decides.
uint32_t tasks_per_chunk(size_t value_bytes);
size_t chunk_reserve(const std::string& job, uint32_t tasks);
// What a page may hold besides its frame.
size_t page_room(size_t value_bytes);
// At least the bytes that these take in a page.
size_t encoded_size(const LiveAttempt& live);
size_t encoded_size(const std::string& job, const TaskSet& done);

json encode(const JobRow& row);
json encode(const Page& page);
// Whether a row's value was written by that transaction.
bool is_written_by(const json& value, const std::string& transaction_id);
// The bytes that a value takes, as the state service counts them.
size_t value_size(const json& value);
// Leaves out of a cancelled job's description what limits and zones do not need, if the row would
// be larger than that: rows that were written under larger limits can still be cancelled.
void shorten_cancelled(JobRow& row, size_t value_bytes);
// Empty: it cannot be read, and nothing of it is believed.
std::optional<JobRow> decode_job(const std::string& id, const json& v);
std::optional<Page> decode_page(const json& v);

json encode_types(const std::vector<MachineType>& types);
std::vector<MachineType> decode_types(const json& v);

// A transaction in the scheduler's terms; the state client puts it into the protocol's.
struct Condition {
  std::string key;
  uint64_t version = 0;  // 0: must not exist
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
  std::string transaction_id;  // also inside the first written value
};

enum class Outcome : uint8_t {
  applied,   // it was executed
  conflict,  // a condition failed; it never will be executed
  refused,   // it was not executed
  rejected,  // as refused, and no repeat will ever be executed: it is too large or malformed
  unknown    // it may have been executed, or may be later
};
struct Result {
  Outcome outcome = Outcome::unknown;
  uint64_t revision = 0;
  std::vector<std::string> failed;
};

}  // namespace rookdyke::ledger
