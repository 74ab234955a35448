#pragma once
// A replica's cache of the ledger's rows, kept current by the watch. Owned by the controller, which
// guards it by its mutex. Polls are answered from it, but only after a read barrier (invariant 5);
// a new leader's scheduler is built from it. Rows that cannot be read are logged, and remembered as
// unreadable where that matters.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "ledger/rows.h"

namespace rookdyke {

// Identifies the tasks of a job that an entry of a page holds: a chunk, or a part of one.
struct ChunkKey {
  uint32_t n = 0;
  std::optional<uint32_t> range_first;  // empty: the whole chunk

  bool operator<(const ChunkKey& o) const {
    return std::tie(n, range_first) < std::tie(o.n, o.range_first);
  }
};

struct CachedChunk {
  uint32_t page = 0;
  uint64_t version = 0;  // of the page when it was written
  ledger::Chunk chunk;
  std::optional<ledger::TaskRange> range;
};

// A chunk of one job among those of a page.
struct ChunkReference {
  std::string job;
  ChunkKey key;
};

struct CachedPage {
  uint64_t version = 0;
  bool readable = true;
  std::vector<ChunkReference> chunks;
};

// A row of the rented list, not yet decoded.
struct CachedFleetRow {
  uint64_t version = 0;
  nlohmann::json value;
};

struct CachedJob {
  uint64_t version = 0;  // 0: only its chunks are known
  ledger::JobRow row;
  std::map<ChunkKey, CachedChunk> chunks;
  bool readable = true;
};

// What users are told about a job.
struct JobAnswer {
  ledger::JobStatus status = ledger::JobStatus::open;
  uint32_t done = 0;     // tasks
  uint32_t running = 0;  // tasks
};

// Not thread-safe.
class LedgerCache {
 public:
  // Applies a row as read or watched, or its deletion. An older version than the cached one changes
  // nothing.
  void put(const std::string& key, const nlohmann::json& value, uint64_t version);
  void erase(const std::string& key, uint64_t version);

  // A full read of the ledger: between these two calls every row is put; end_reload() removes the
  // rows that were not.
  void begin_reload();
  void end_reload();

  // Empty, or null: the job is not known.
  std::optional<JobAnswer> answer(const std::string& job) const;
  const CachedJob* job(const std::string& id) const;
  // Whether the job has a row that cannot be read: neither that it exists nor that it does not may
  // be answered.
  bool unreadable(const std::string& id) const;
  const std::unordered_map<std::string, CachedJob>& jobs() const { return jobs_; }

  const std::string& leader() const { return leader_; }  // label, empty: none
  uint64_t leader_version() const { return leader_version_; }
  // The revision up to which a leader has read, as it wrote itself.
  uint64_t read_to() const { return read_to_; }
  uint64_t last_cancelled() const { return last_cancelled_; }  // highest version of such a row
  const std::vector<MachineType>& types() const { return types_; }
  uint64_t types_version() const { return types_version_; }
  const std::map<std::string, CachedFleetRow>& fleet() const { return fleet_; }
  const std::map<uint32_t, CachedPage>& pages() const { return pages_; }

 private:
  void put_job(const std::string& id, const nlohmann::json& value, uint64_t version);
  void put_leader(const nlohmann::json& value, uint64_t version);
  void put_types(const nlohmann::json& value, uint64_t version);
  void put_fleet_row(const std::string& key, const nlohmann::json& value, uint64_t version);
  void put_page_row(const std::string& key, const nlohmann::json& value, uint64_t version);
  void remove_chunks(uint32_t page_number, CachedPage& page);
  void put_page(uint32_t n, const nlohmann::json& value, uint64_t version);

  std::unordered_map<std::string, CachedJob> jobs_;
  std::map<uint32_t, CachedPage> pages_;
  std::string leader_;
  uint64_t leader_version_ = 0;
  uint64_t read_to_ = 0;
  uint64_t last_cancelled_ = 0;
  std::vector<MachineType> types_;
  uint64_t types_version_ = 0;
  std::map<std::string, CachedFleetRow> fleet_;  // by key
  bool reloading_ = false;
  std::unordered_set<std::string> seen_;  // keys of the running reload
};

}  // namespace rookdyke
