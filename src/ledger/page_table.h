#pragma once
// Assigns chunks of jobs to pages of the ledger and tracks which pages have unwritten changes. Owns
// the pages and the assignment (Job::chunks); LedgerWriter writes the pages.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "ledger/page.h"
#include "model/job.h"
#include "model/settings.h"
#include "model/types.h"

namespace rookdyke {

class PageTable {
 public:
  // `settings` must outlive the table.
  explicit PageTable(const Settings& settings) : settings_(settings) {}

  Page& operator[](Index page) { return pages_[page]; }
  const Page& operator[](Index page) const { return pages_[page]; }
  Index size() const { return static_cast<Index>(pages_.size()); }
  const std::vector<Page>& all() const { return pages_; }
  // Returns the page with the given number, adding pages up to it if necessary.
  Page& get_or_add(Index page);

  // Returns a readable page without entries that is neither in flight nor part of a split.
  Index find_or_add_empty_page(PageKind kind);
  // Adds the chunk that begins with task `first` to a page, or removes it from its page.
  void add_chunk(Job& job, uint32_t first, Index page);
  void remove_chunk(Job& job, uint32_t first);
  // Removes all chunks of a finished job. Pages that become empty are not written for that alone.
  void remove_job(Job& job);
  // Marks the page of the task's chunk dirty with the given urgency, as the ledger's state of the
  // task is out of date. A chunk without a page is assigned one.
  void mark_changed(Job& job, uint32_t task, WriteUrgency urgency, double now);

  // Highest version among unreadable pages. Such a page may hold tasks of any job whose row is
  // older.
  uint64_t highest_unreadable_version = 0;

 private:
  // Returns a page of the given kind with at least `bytes` bytes of free capacity.
  Index find_or_add_page(size_t bytes, PageKind kind);

  const Settings& settings_;
  std::vector<Page> pages_;
};

}  // namespace rookdyke
