#pragma once
// A controller's cache of the ledger's rows, kept up to date by a watch. Guarded by the
// controller's mutex. Serves users' status requests, but only after a read barrier (invariant 5),
// and initializes the scheduler of a new leader. Rows that cannot be decoded are logged; jobs and
// pages are also marked unreadable.

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

// Identifies a chunk of a job, or a part of one, as held by an entry of a page.
struct ChunkKey {
  uint32_t n = 0;                       // number of the chunk in its job
  std::optional<uint32_t> range_first;  // empty: the whole chunk

  bool operator<(const ChunkKey& o) const {
    return std::tie(n, range_first) < std::tie(o.n, o.range_first);
  }
};

struct CachedChunk {
  uint32_t page = 0;
  uint64_t version = 0;  // of the page
  ledger::Chunk chunk;
  std::optional<ledger::TaskRange> range;
};

// Identifies a chunk, or a part of one, of any job.
struct CachedChunkRef {
  std::string job;
  ChunkKey key;
};

struct CachedPage {
  uint64_t version = 0;
  bool readable = true;
  std::vector<CachedChunkRef> chunks;
  std::vector<ledger::MachineGroup> machines;
};

// A row of the rented list, not yet decoded.
struct CachedRentedListRow {
  uint64_t version = 0;
  nlohmann::json value;
};

struct CachedJob {
  uint64_t version = 0;  // 0: the job's row is not known, only its chunks
  ledger::JobRow row;
  std::map<ChunkKey, CachedChunk> chunks;
  bool readable = true;
};

// A job's status and task counts, as reported to users.
struct JobProgress {
  ledger::JobStatus status = ledger::JobStatus::open;
  uint32_t done = 0;     // tasks
  uint32_t running = 0;  // tasks
};

// Not thread-safe.
class LedgerCache {
 public:
  // Apply a row, or the deletion of one, from a read or a watch. A row or deletion that is not
  // newer than the cached row is ignored.
  void put(const std::string& key, const nlohmann::json& value, uint64_t version);
  void erase(const std::string& key, uint64_t version);

  // Called before and after a full read of the ledger, during which every row is passed to put().
  // end_reload() removes the leader and the rows of the rented list if the read did not contain
  // them; rows of jobs and pages are never deleted.
  void begin_reload();
  void end_reload();

  // Both return empty (null) if the job is not known.
  std::optional<JobProgress> job_progress(const std::string& job) const;
  const CachedJob* job(const std::string& id) const;
  // Whether the job has a row that cannot be decoded. User requests for the job must then be
  // refused: its state is not known, and a 404 would be wrong.
  bool is_unreadable(const std::string& id) const;
  const std::unordered_map<std::string, CachedJob>& jobs() const { return jobs_; }

  const std::string& leader() const { return leader_; }  // label; empty: no leader
  uint64_t leader_version() const { return leader_version_; }
  // The revision up to which a leader has read the ledger, as published in rd/read_to.
  uint64_t read_to() const { return read_to_; }
  // The highest version of a cancelled job's row.
  uint64_t last_cancellation_version() const { return last_cancellation_version_; }
  const std::vector<MachineType>& types() const { return types_; }
  uint64_t types_version() const { return types_version_; }
  const std::map<std::string, CachedRentedListRow>& rented_list_rows() const {
    return rented_list_rows_;
  }
  const std::map<uint32_t, CachedPage>& pages() const { return pages_; }

 private:
  void put_job(const std::string& id, const nlohmann::json& value, uint64_t version);
  void put_leader(const nlohmann::json& value, uint64_t version);
  void put_types(const nlohmann::json& value, uint64_t version);
  void put_rented_list_row(const std::string& key, const nlohmann::json& value, uint64_t version);
  void put_page_row(const std::string& key, const nlohmann::json& value, uint64_t version);
  void remove_chunks(uint32_t page_number, CachedPage& page);
  void put_page(uint32_t n, const nlohmann::json& value, uint64_t version);

  std::unordered_map<std::string, CachedJob> jobs_;
  std::map<uint32_t, CachedPage> pages_;
  std::string leader_;
  uint64_t leader_version_ = 0;
  uint64_t read_to_ = 0;
  uint64_t last_cancellation_version_ = 0;
  std::vector<MachineType> types_;
  uint64_t types_version_ = 0;
  std::map<std::string, CachedRentedListRow> rented_list_rows_;  // by key
  bool reloading_ = false;
  std::unordered_set<std::string> reloaded_keys_;  // keys put since begin_reload()
};

}  // namespace rookdyke
