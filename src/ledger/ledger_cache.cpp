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

void LedgerCache::put_page(uint32_t n, const nlohmann::json& value, uint64_t version) {
  CachedPage& page = pages_[n];
  if (version <= page.version) return;
  // Whoever writes it next has to know its version, also if it cannot be read: a leader whose write
  // fails on it steps down, and so would all its successors.
  page.version = version;
  auto read = ledger::decode_page(value);
  page.readable = read.has_value();
  if (!read) {
    spdlog::error("ledger: page {} cannot be read", n);
    return;
  }
  for (const auto& [id, k] : page.holds) {
    // Another page may have taken it over since.
    auto job = jobs_.find(id);
    if (job == jobs_.end()) continue;
    if (auto c = job->second.chunks.find(k); c != job->second.chunks.end() && c->second.page == n)
      job->second.chunks.erase(c);
  }
  page.holds.clear();
  for (ledger::PageEntry& e : read->entries) {
    ChunkKey key{e.n, std::nullopt};
    if (e.range) key.range_first = e.range->first;
    CachedChunk& chunk = jobs_[e.job].chunks[key];
    // It was moved, and this page not written since (ledger/rows.h).
    if (chunk.page != n && chunk.version > version) continue;
    chunk = {n, version, std::move(e.chunk), e.range};
    page.holds.emplace_back(e.job, key);
  }
}

void LedgerCache::put(const std::string& key, const nlohmann::json& value, uint64_t version) {
  if (reloading_) seen_.insert(key);
  if (starts_with(key, ledger::kJobPrefix)) {
    const std::string id = key.substr(std::string_view(ledger::kJobPrefix).size());
    CachedJob& job = jobs_[id];
    if (version <= job.version) return;
    auto row = ledger::decode_job(id, value);
    job.readable = row.has_value();
    if (!row) {
      spdlog::error("ledger: row {} cannot be read", key);
      return;
    }
    job.version = version;
    job.row = std::move(*row);
    if (job.row.status == ledger::JobStatus::cancelled)
      last_cancelled_ = std::max(last_cancelled_, version);
  } else if (starts_with(key, ledger::kTaskPrefix)) {
    const std::string_view number =
        std::string_view(key).substr(std::string_view(ledger::kTaskPrefix).size());
    uint32_t n = 0;
    auto [p, ec] = std::from_chars(number.data(), number.data() + number.size(), n);
    if (ec == std::errc() && p == number.data() + number.size() && n < ledger::kMostPages)
      put_page(n, value, version);
    else
      spdlog::error("ledger: {} is no page", key);
  } else if (key == ledger::kLeaderKey) {
    if (version <= leader_version_) return;
    leader_version_ = version;
    const auto label = value.is_object() ? value.find("label") : value.end();
    const bool readable = label != value.end() && label->is_string();
    if (!readable) spdlog::error("ledger: the leader key cannot be read");
    leader_ = readable ? label->get<std::string>() : "";
  } else if (key == ledger::kReadToKey) {
    if (value.is_number_unsigned()) read_to_ = std::max(read_to_, value.get<uint64_t>());
  } else if (key == ledger::kTypesKey) {
    if (version <= types_version_) return;
    types_version_ = version;
    types_ = ledger::decode_types(value);
    if (types_.empty()) spdlog::error("ledger: the machine types cannot be read");
  } else if (starts_with(key, ledger::kFleetPrefix)) {
    if (!ledger::fleet_row(key)) {
      spdlog::error("ledger: {} is no row of the rented list", key);
      return;
    }
    auto& row = fleet_[key];
    if (version > row.first) row = {version, value};
  }
}

void LedgerCache::erase(const std::string& key, uint64_t version) {
  if (key == ledger::kLeaderKey) {
    if (leader_version_ >= version) return;
    leader_.clear();
    leader_version_ = version;
  } else if (starts_with(key, ledger::kFleetPrefix)) {
    auto it = fleet_.find(key);
    if (it != fleet_.end() && it->second.first < version) fleet_.erase(it);
  }
  // Job rows are never deleted, since a final state must be kept, nor are pages.
}

void LedgerCache::begin_reload() {
  reloading_ = true;
  seen_.clear();
}

void LedgerCache::end_reload() {
  reloading_ = false;
  if (!seen_.count(ledger::kLeaderKey)) leader_.clear();
  for (auto f = fleet_.begin(); f != fleet_.end();)
    f = seen_.count(f->first) ? std::next(f) : fleet_.erase(f);
  seen_.clear();
}

const CachedJob* LedgerCache::job(const std::string& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() || it->second.version == 0 ? nullptr : &it->second;
}

bool LedgerCache::unreadable(const std::string& id) const {
  auto it = jobs_.find(id);
  return it != jobs_.end() && !it->second.readable;
}

std::optional<JobAnswer> LedgerCache::answer(const std::string& id) const {
  const CachedJob* j = job(id);
  if (!j) return std::nullopt;
  JobAnswer out;
  out.status = j->row.status;
  if (out.status == ledger::JobStatus::done) {
    out.done = j->row.tasks;
    return out;
  }
  for (const auto& [n, c] : j->chunks) {
    out.done += c.chunk.done.count();
    if (out.status == ledger::JobStatus::open) out.running += c.chunk.live.size();
  }
  out.done = std::min(out.done, j->row.tasks);  // a page may name tasks that the job does not have
  out.running = std::min(out.running, j->row.tasks);
  return out;
}

}  // namespace rookdyke
