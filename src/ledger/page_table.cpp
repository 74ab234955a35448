#include "ledger/page_table.h"

#include <algorithm>

#include "ledger/rows.h"

namespace rookdyke {

Page& PageTable::get_or_add(Index page) {
  if (page >= pages_.size()) pages_.resize(page + 1);
  return pages_[page];
}

// Jobs that need a prompt start have pages of their own, so that one write makes many of their
// starts durable. Pages are filled only up to the lowered limits, which the state service may apply
// at any time.
Index PageTable::find_or_add_page(size_t bytes, PageKind kind) {
  const size_t capacity = ledger::page_capacity(settings_.min_value_bytes());
  for (Index i = 0; i < pages_.size(); ++i) {
    Page& page = pages_[i];
    if (!page.readable || page.pending_split_pages > 0) continue;
    if (page.kind != kind && !page.chunks.empty()) continue;
    if (page.reserved_bytes + bytes > capacity) continue;
    page.kind = kind;
    return i;
  }
  pages_.emplace_back();
  pages_.back().kind = kind;
  return static_cast<Index>(pages_.size() - 1);
}

Index PageTable::find_or_add_empty_page(PageKind kind) {
  for (Index i = 0; i < pages_.size(); ++i) {
    Page& page = pages_[i];
    if (!page.chunks.empty() || !page.unreadable_jobs.empty() || !page.readable) continue;
    if (page.in_flight || page.pending_split_pages > 0 || page.split_from != kNone) continue;
    page.kind = kind;
    return i;
  }
  pages_.emplace_back();
  pages_.back().kind = kind;
  return static_cast<Index>(pages_.size() - 1);
}

void PageTable::add_chunk(Job& job, uint32_t first, Index page) {
  job.chunks.at(first).page = page;
  pages_[page].reserved_bytes += job.chunk_bytes(first);
  pages_[page].chunks.insert({job.id, first});
}

void PageTable::remove_chunk(Job& job, uint32_t first) {
  ChunkLocation& location = job.chunks.at(first);
  if (location.page == kNone) return;
  Page& page = pages_[location.page];
  page.chunks.erase({job.id, first});
  page.reserved_bytes -= std::min(page.reserved_bytes, job.chunk_bytes(first));
  location.page = kNone;
}

void PageTable::remove_job(Job& job) {
  for (const auto& [first, location] : job.chunks) {
    const Index i = location.page;
    remove_chunk(job, first);
    if (i == kNone) continue;
    Page& page = pages_[i];
    if (!page.chunks.empty() || page.split_from != kNone || page.pending_split_pages > 0) continue;
    page.mark_clean();
  }
}

void PageTable::mark_changed(Job& job, uint32_t task, WriteUrgency urgency, double now) {
  const uint32_t first = job.first_task_of_chunk(task);
  if (job.chunks.at(first).page == kNone)
    add_chunk(job, first, find_or_add_page(job.chunk_bytes(first), job.page_kind()));
  pages_[job.chunks.at(first).page].mark_dirty(urgency, now);
}

}  // namespace rookdyke
