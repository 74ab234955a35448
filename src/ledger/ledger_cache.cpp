#include "ledger/ledger_cache.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace rookdyke {

namespace {
bool starts_with(const std::string& s, std::string_view p) {
  return s.compare(0, p.size(), p) == 0;
}
}  // namespace

// Removes the chunks of a page, except those that have since moved to another page.
void LedgerCache::remove_chunks(uint32_t page_number, CachedPage& page) {
  for (const CachedChunkRef& reference : page.chunks) {
    const auto job = jobs_.find(reference.job);
    if (job == jobs_.end()) continue;
    const auto chunk = job->second.chunks.find(reference.key);
    if (chunk != job->second.chunks.end() && chunk->second.page == page_number)
      job->second.chunks.erase(chunk);
  }
  page.chunks.clear();
}

void LedgerCache::put_page(uint32_t n, const nlohmann::json& value, uint64_t version) {
  CachedPage& page = pages_[n];
  if (version <= page.version) return;
  // The version of an unreadable page is recorded too. With an older version, a leader's
  // conditional write of the page would fail and the leader would step down, as would each of its
  // successors.
  page.version = version;
  auto decoded = ledger::decode_page(value);
  page.readable = decoded.has_value();
  if (!decoded) {
    spdlog::error("ledger: page {} cannot be decoded", n);
    return;
  }
  remove_chunks(n, page);
  page.machines = std::move(decoded->machines);
  for (ledger::PageEntry& entry : decoded->entries) {
    ChunkKey key{entry.n, std::nullopt};
    if (entry.range) key.range_first = entry.range->first;
    CachedChunk& chunk = jobs_[entry.job].chunks[key];
    // The chunk was moved to another page after this page was written (see ledger/rows.h).
    if (chunk.page != n && chunk.version > version) continue;
    chunk = {n, version, std::move(entry.chunk), entry.range};
    page.chunks.push_back({entry.job, key});
  }
}

void LedgerCache::put_page_row(const std::string& key, const nlohmann::json& value,
                               uint64_t version) {
  const std::string_view number =
      std::string_view(key).substr(std::string_view(ledger::kPagePrefix).size());
  uint32_t n = 0;
  const char* end = number.data() + number.size();
  const auto [parsed_to, error] = std::from_chars(number.data(), end, n);
  if (error == std::errc() && parsed_to == end && n < ledger::kMaxPages)
    put_page(n, value, version);
  else
    spdlog::error("ledger: key {} does not name a page", key);
}

void LedgerCache::put_job(const std::string& id, const nlohmann::json& value, uint64_t version) {
  CachedJob& job = jobs_[id];
  if (version <= job.version) return;
  auto row = ledger::decode_job(id, value);
  job.readable = row.has_value();
  if (!row) {
    spdlog::error("ledger: row {} cannot be decoded", ledger::job_key(id));
    return;
  }
  job.version = version;
  job.row = std::move(*row);
  if (job.row.status == ledger::JobStatus::cancelled)
    last_cancellation_version_ = std::max(last_cancellation_version_, version);
}

void LedgerCache::put_leader(const nlohmann::json& value, uint64_t version) {
  if (version <= leader_version_) return;
  leader_version_ = version;
  const auto label = value.is_object() ? value.find("label") : value.end();
  const bool readable = label != value.end() && label->is_string();
  if (!readable) spdlog::error("ledger: the value of the leader key cannot be decoded");
  leader_ = readable ? label->get<std::string>() : "";
}

void LedgerCache::put_types(const nlohmann::json& value, uint64_t version) {
  if (version <= types_version_) return;
  types_version_ = version;
  types_ = ledger::decode_types(value);
  if (types_.empty()) spdlog::error("ledger: the machine types cannot be decoded");
}

void LedgerCache::put_rented_list_row(const std::string& key, const nlohmann::json& value,
                                      uint64_t version) {
  if (!ledger::rented_list_row_number(key)) {
    spdlog::error("ledger: key {} does not name a row of the rented list", key);
    return;
  }
  CachedRentedListRow& row = rented_list_rows_[key];
  if (version > row.version) row = {version, value};
}

void LedgerCache::put(const std::string& key, const nlohmann::json& value, uint64_t version) {
  if (reloading_) reloaded_keys_.insert(key);
  if (starts_with(key, ledger::kJobPrefix)) {
    put_job(key.substr(std::string_view(ledger::kJobPrefix).size()), value, version);
  } else if (starts_with(key, ledger::kPagePrefix)) {
    put_page_row(key, value, version);
  } else if (key == ledger::kLeaderKey) {
    put_leader(value, version);
  } else if (key == ledger::kReadToKey) {
    if (value.is_number_unsigned()) read_to_ = std::max(read_to_, value.get<uint64_t>());
  } else if (key == ledger::kTypesKey) {
    put_types(value, version);
  } else if (starts_with(key, ledger::kRentedListPrefix)) {
    put_rented_list_row(key, value, version);
  }
}

void LedgerCache::erase(const std::string& key, uint64_t version) {
  if (key == ledger::kLeaderKey) {
    if (leader_version_ >= version) return;
    leader_.clear();
    leader_version_ = version;
  } else if (starts_with(key, ledger::kRentedListPrefix)) {
    auto it = rented_list_rows_.find(key);
    if (it != rented_list_rows_.end() && it->second.version < version) rented_list_rows_.erase(it);
  }
  // Rows of jobs and pages are never deleted: final states of jobs must be kept.
}

void LedgerCache::begin_reload() {
  reloading_ = true;
  reloaded_keys_.clear();
}

void LedgerCache::end_reload() {
  reloading_ = false;
  if (!reloaded_keys_.count(ledger::kLeaderKey)) leader_.clear();
  for (auto f = rented_list_rows_.begin(); f != rented_list_rows_.end();)
    f = reloaded_keys_.count(f->first) ? std::next(f) : rented_list_rows_.erase(f);
  reloaded_keys_.clear();
}

const CachedJob* LedgerCache::job(const std::string& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() || it->second.version == 0 ? nullptr : &it->second;
}

bool LedgerCache::is_unreadable(const std::string& id) const {
  auto it = jobs_.find(id);
  return it != jobs_.end() && !it->second.readable;
}

std::optional<JobProgress> LedgerCache::job_progress(const std::string& id) const {
  const CachedJob* j = job(id);
  if (!j) return std::nullopt;
  JobProgress out;
  out.status = j->row.status;
  if (out.status == ledger::JobStatus::done) {
    out.done = j->row.tasks;
    return out;
  }
  for (const auto& [n, c] : j->chunks) {
    out.done += c.chunk.done.count();
    if (out.status == ledger::JobStatus::open) out.running += c.chunk.live.size();
  }
  // A malformed page may hold tasks outside the job.
  out.done = std::min(out.done, j->row.tasks);
  out.running = std::min(out.running, j->row.tasks);
  return out;
}

}  // namespace rookdyke
