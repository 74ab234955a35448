#include "ledger_writer/page_splitter.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace rookdyke {

bool PageSplitter::split(Index source, double now) {
  const size_t room = limits_.page_room();
  if (!limits_.are_lowered() || content_.wanted_size(pages_[source]) <= room) return false;
  split_large_chunks(source);
  const auto members = pages_[source].members;
  size_t left = content_.wanted_size(pages_[source]);
  Destination destination;
  for (const ChunkRef& chunk : members) {
    if (left <= room) break;
    Job& job = jobs_[chunk.job];
    const size_t bytes = content_.wanted_size(job, chunk.first);
    if (!has_room(destination, job, chunk.first, bytes))
      destination = open_destination(source, now);
    pages_.remove_chunk(job, chunk.first);
    pages_.add_chunk(job, chunk.first, destination.page);
    destination.filled += bytes;
    left -= bytes;
  }
  spdlog::debug("page {}: chunks moved to {} others", source, pages_[source].unwritten_splits);
  return pages_[source].unwritten_splits > 0;
}

bool PageSplitter::has_room(const Destination& destination, const Job& job, uint32_t first,
                            size_t bytes) const {
  if (destination.page == kNone) return false;
  const size_t room = limits_.page_room();
  return destination.filled + bytes <= room &&
         pages_[destination.page].reserved + job.chunk_bytes(first) <= room;
}

PageSplitter::Destination PageSplitter::open_destination(Index source, double now) {
  const Index number = pages_.empty_page(pages_[source].kind);
  Page& page = pages_[number];
  page.split_from = source;
  page.dirty_since = now;
  page.write_urgency = WriteUrgency::prompt_start;
  ++pages_[source].unwritten_splits;
  return {number, 0};
}

void PageSplitter::split_large_chunks(Index page) {
  const auto is_large = [this](const ChunkRef& chunk) {
    const Job& job = jobs_[chunk.job];
    return job.chunks.at(chunk.first).count > 1 &&
           content_.wanted_size(job, chunk.first) > limits_.page_room();
  };
  while (true) {
    const auto& members = pages_[page].members;
    const auto large = std::find_if(members.begin(), members.end(), is_large);
    if (large == members.end()) return;
    const ChunkRef chunk = *large;
    split_chunk(jobs_[chunk.job], chunk.first);
  }
}

void PageSplitter::split_chunk(Job& job, uint32_t first) {
  const ChunkPlace whole = job.chunks.at(first);
  const uint32_t most = ledger::tasks_per_chunk(settings_.lasting_value_bytes());
  const uint32_t piece = std::max(1u, std::min(most, whole.count / 2));
  pages_.remove_chunk(job, first);
  job.chunks.erase(first);
  const uint32_t end = first + whole.count;
  for (uint32_t from = first; from < end; from += piece) {
    job.chunks[from] = {std::min(piece, end - from), kNone};
    pages_.add_chunk(job, from, whole.page);
  }
}

}  // namespace rookdyke
