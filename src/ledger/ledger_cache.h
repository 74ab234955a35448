#pragma once
// A node's copy of the ledger's rows, fed by the watch. Polls are answered from it, but only
// after a read barrier (invariant 5); a new leader is built from it.

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

// Which tasks of a job an entry of a page is about.
struct ChunkKey {
  uint32_t n = 0;
  std::optional<uint32_t> range_first;  // empty: the whole chunk

  bool operator<(const ChunkKey& o) const {
    return std::tie(n, range_first) < std::tie(o.n, o.range_first);
  }
};

struct CachedChunk {
  uint32_t page = 0;
  uint64_t version = 0;  // of the page, as this was written
  ledger::Chunk chunk;
  std::optional<ledger::TaskRange> range;
};

struct CachedPage {
  uint64_t version = 0;
  bool readable = true;
  std::vector<std::pair<std::string, ChunkKey>> holds;  // (job, chunk)
};

struct CachedJob {
  uint64_t version = 0;  // 0: only its chunks are known
  ledger::JobRow row;
  std::map<ChunkKey, CachedChunk> chunks;
  bool readable = true;
};

struct JobAnswer {
  ledger::JobStatus status = ledger::JobStatus::open;
  uint32_t done = 0, running = 0;
};

class LedgerCache {
 public:
  // One row as read or watched; an older version than the known one changes nothing.
  void put(const std::string& key, const nlohmann::json& value, uint64_t version);
  void erase(const std::string& key, uint64_t version);

  // A full read: begin, put every row, end drops what was not put.
  void begin_reload();
  void end_reload();

  std::optional<JobAnswer> answer(const std::string& job) const;
  const CachedJob* job(const std::string& id) const;
  // Whether there is such a job, but its row cannot be read: it is neither known nor unknown.
  bool unreadable(const std::string& id) const;
  const std::unordered_map<std::string, CachedJob>& jobs() const { return jobs_; }

  const std::string& leader() const { return leader_; }  // label, empty: none
  uint64_t leader_version() const { return leader_version_; }
  uint64_t read_to() const { return read_to_; }                // by a leader, as it wrote
  uint64_t last_cancelled() const { return last_cancelled_; }  // highest version of such a row
  const std::vector<MachineType>& types() const { return types_; }
  uint64_t types_version() const { return types_version_; }
  const std::map<std::string, std::pair<uint64_t, nlohmann::json>>& fleet() const { return fleet_; }
  const std::map<uint32_t, CachedPage>& pages() const { return pages_; }

 private:
  void put_page(uint32_t n, const nlohmann::json& value, uint64_t version);

  std::unordered_map<std::string, CachedJob> jobs_;
  std::map<uint32_t, CachedPage> pages_;
  std::string leader_;
  uint64_t leader_version_ = 0;
  uint64_t read_to_ = 0, last_cancelled_ = 0;
  std::vector<MachineType> types_;
  uint64_t types_version_ = 0;
  std::map<std::string, std::pair<uint64_t, nlohmann::json>> fleet_;
  bool reloading_ = false;
  std::unordered_set<std::string> seen_;  // keys of the running reload
};

}  // namespace rookdyke
