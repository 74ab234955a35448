#include "ledger_writer/page_splitter.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace rookdyke {

bool PageSplitter::split(Index source, double now) {
  const size_t capacity = limits_.page_capacity();
  if (!limits_.are_lowered() || content_.size_with_proposals(pages_[source]) <= capacity)
    return false;
  split_oversized_chunks(source);
  const auto chunks = pages_[source].chunks;
  size_t remaining_bytes = content_.size_with_proposals(pages_[source]);
  Destination destination;
  for (const ChunkRef& chunk : chunks) {
    if (remaining_bytes <= capacity) break;
    Job& job = jobs_[chunk.job];
    const size_t bytes = content_.size_with_proposals(job, chunk.first);
    if (!fits(destination, job, chunk.first, bytes)) destination = open_destination(source, now);
    pages_.remove_chunk(job, chunk.first);
    pages_.add_chunk(job, chunk.first, destination.page);
    destination.filled_bytes += bytes;
    remaining_bytes -= bytes;
  }
  spdlog::debug("page {}: chunks moved to {} other pages", source,
                pages_[source].pending_split_pages);
  return pages_[source].pending_split_pages > 0;
}

bool PageSplitter::fits(const Destination& destination, const Job& job, uint32_t first,
                        size_t bytes) const {
  if (destination.page == kNone) return false;
  const size_t capacity = limits_.page_capacity();
  return destination.filled_bytes + bytes <= capacity &&
         pages_[destination.page].reserved_bytes + job.chunk_bytes(first) <= capacity;
}

PageSplitter::Destination PageSplitter::open_destination(Index source, double now) {
  const Index number = pages_.find_or_add_empty_page(pages_[source].kind);
  Page& page = pages_[number];
  page.split_from = source;
  page.dirty_since = now;
  page.write_urgency = WriteUrgency::prompt_start;
  ++pages_[source].pending_split_pages;
  return {number, 0};
}

void PageSplitter::split_oversized_chunks(Index page) {
  const auto is_oversized = [this](const ChunkRef& chunk) {
    const Job& job = jobs_[chunk.job];
    return job.chunks.at(chunk.first).count > 1 &&
           content_.size_with_proposals(job, chunk.first) > limits_.page_capacity();
  };
  while (true) {
    const auto& chunks = pages_[page].chunks;
    const auto oversized = std::find_if(chunks.begin(), chunks.end(), is_oversized);
    if (oversized == chunks.end()) return;
    const ChunkRef chunk = *oversized;
    split_chunk(jobs_[chunk.job], chunk.first);
  }
}

void PageSplitter::split_chunk(Job& job, uint32_t first) {
  const ChunkLocation whole = job.chunks.at(first);
  const uint32_t max_tasks = ledger::tasks_per_chunk(settings_.min_value_bytes());
  const uint32_t tasks_per_piece = std::max(1u, std::min(max_tasks, whole.count / 2));
  pages_.remove_chunk(job, first);
  job.chunks.erase(first);
  const uint32_t end = first + whole.count;
  for (uint32_t from = first; from < end; from += tasks_per_piece) {
    job.chunks[from] = {std::min(tasks_per_piece, end - from), kNone};
    pages_.add_chunk(job, from, whole.page);
  }
}

}  // namespace rookdyke
