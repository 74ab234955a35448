#include "core/mirror.h"

#include <spdlog/spdlog.h>

#include <charconv>
#include <string_view>

namespace rookdyke {

namespace {
bool starts_with(const std::string& s, std::string_view p) {
  return s.compare(0, p.size(), p) == 0;
}
}  // namespace

bool Mirror::split_chunk_key(const std::string& key, std::string& job, uint32_t& chunk) {
  const size_t from = std::string_view(ledger::kTaskPrefix).size();
  const size_t slash = key.rfind('/');
  if (slash == std::string::npos || slash <= from) return false;
  job = key.substr(from, slash - from);
  const char* end = key.data() + key.size();
  auto [p, ec] = std::from_chars(key.data() + slash + 1, end, chunk);
  return ec == std::errc() && p == end;
}

void Mirror::put(const std::string& key, const nlohmann::json& value, uint64_t stamp) {
  if (reloading_) seen_.insert(key);
  if (starts_with(key, ledger::kJobPrefix)) {
    const std::string id = key.substr(std::string_view(ledger::kJobPrefix).size());
    MirrorJob& job = jobs_[id];
    if (stamp <= job.stamp) return;
    auto row = ledger::decode_job(id, value);
    if (!row) {
      spdlog::error("ledger: row {} cannot be read", key);
      return;
    }
    job.stamp = stamp;
    job.row = std::move(*row);
  } else if (starts_with(key, ledger::kTaskPrefix)) {
    std::string id;
    uint32_t n = 0;
    if (!split_chunk_key(key, id, n)) return;
    MirrorChunk& chunk = jobs_[id].chunks[n];
    if (stamp <= chunk.stamp) return;
    auto c = ledger::decode_chunk(value);
    if (!c) {
      spdlog::error("ledger: row {} cannot be read", key);
      return;
    }
    chunk.stamp = stamp;
    chunk.chunk = std::move(*c);
  } else if (key == ledger::kLeaderKey) {
    if (stamp <= leader_stamp_) return;
    leader_stamp_ = stamp;
    leader_ = value.is_object() ? value.value("label", "") : "";
  } else if (key == ledger::kTypesKey) {
    if (stamp <= types_stamp_) return;
    types_stamp_ = stamp;
    types_ = ledger::decode_types(value);
  } else if (starts_with(key, ledger::kFleetPrefix)) {
    auto& row = fleet_[key];
    if (stamp > row.first) row = {stamp, value};
  }
}

void Mirror::erase(const std::string& key, uint64_t stamp) {
  if (starts_with(key, ledger::kTaskPrefix)) {
    std::string id;
    uint32_t n = 0;
    if (!split_chunk_key(key, id, n)) return;
    auto it = jobs_.find(id);
    if (it == jobs_.end()) return;
    auto c = it->second.chunks.find(n);
    if (c != it->second.chunks.end() && c->second.stamp < stamp) it->second.chunks.erase(c);
  } else if (key == ledger::kLeaderKey) {
    if (leader_stamp_ >= stamp) return;
    leader_.clear();
    leader_stamp_ = stamp;
  } else if (starts_with(key, ledger::kFleetPrefix)) {
    auto it = fleet_.find(key);
    if (it != fleet_.end() && it->second.first < stamp) fleet_.erase(it);
  }
  // Job rows are never deleted: a final state must be kept.
}

void Mirror::begin_reload() {
  reloading_ = true;
  seen_.clear();
}

void Mirror::end_reload() {
  reloading_ = false;
  for (auto& [id, job] : jobs_)
    for (auto c = job.chunks.begin(); c != job.chunks.end();)
      c = seen_.count(ledger::chunk_key(id, c->first)) ? std::next(c) : job.chunks.erase(c);
  if (!seen_.count(ledger::kLeaderKey)) leader_.clear();
  for (auto f = fleet_.begin(); f != fleet_.end();)
    f = seen_.count(f->first) ? std::next(f) : fleet_.erase(f);
  seen_.clear();
}

const MirrorJob* Mirror::job(const std::string& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() || it->second.stamp == 0 ? nullptr : &it->second;
}

std::optional<JobAnswer> Mirror::answer(const std::string& id) const {
  const MirrorJob* j = job(id);
  if (!j) return std::nullopt;
  JobAnswer out;
  out.standing = j->row.standing;
  if (out.standing == ledger::Standing::done) {
    out.done = j->row.tasks;
    return out;
  }
  for (const auto& [n, c] : j->chunks) {
    out.done += c.chunk.done.count();
    if (out.standing == ledger::Standing::open) out.running += c.chunk.live.size();
  }
  return out;
}

}  // namespace rookdyke
