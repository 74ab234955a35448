#include "ledger_writer/page_content.h"

#include <algorithm>

namespace rookdyke {

size_t entry_size(const std::string& job, const ledger::Chunk& chunk) {
  size_t size = ledger::encoded_size(job, chunk.done);
  for (const ledger::LiveAttempt& live : chunk.live) size += ledger::encoded_size(live);
  return size;
}

size_t entries_size(const std::vector<ledger::PageEntry>& entries) {
  size_t size = 0;
  for (const ledger::PageEntry& entry : entries) size += entry_size(entry.job, entry.chunk);
  return size;
}

ledger::LiveAttempt PageContent::live_attempt(const Attempt& attempt) const {
  return {attempt.task, attempt.number, machines_[attempt.machine].name, attempt.epoch};
}

ledger::Chunk PageContent::durable_chunk(const Job& job, uint32_t first, uint32_t count) const {
  ledger::Chunk chunk;
  chunk.highest_attempt = job.highest_attempt;
  const uint32_t end = first + count;
  for (const auto& [range_first, range_last] : job.done.ranges()) {
    if (range_last < first || range_first >= end) continue;
    const uint32_t last = std::min(range_last, end - 1);
    for (uint32_t task = std::max(range_first, first); task <= last; ++task) chunk.done.add(task);
  }
  for (auto it = job.attempts.lower_bound(first); it != job.attempts.end() && it->first < end;
       ++it) {
    const Attempt& attempt = it->second;
    if (attempt.state == AttemptState::ended || attempt.state == AttemptState::proposed) continue;
    chunk.live.push_back(live_attempt(attempt));
  }
  return chunk;
}

size_t PageContent::size_with_proposals(const Job& job, uint32_t first) const {
  const uint32_t count = job.chunks.at(first).count;
  const uint32_t end = first + count;
  size_t size = entry_size(job.spec.id, durable_chunk(job, first, count));
  for (auto it = job.attempts.lower_bound(first); it != job.attempts.end() && it->first < end;
       ++it) {
    const Attempt& attempt = it->second;
    if (attempt.state == AttemptState::proposed)
      size += ledger::encoded_size(live_attempt(attempt));
  }
  return size;
}

size_t PageContent::size_with_proposals(const Page& page) const {
  size_t size = entries_size(page.unreadable_jobs);
  for (const ChunkRef& chunk : page.chunks)
    size += size_with_proposals(jobs_[chunk.job], chunk.first);
  return size;
}

}  // namespace rookdyke
