#pragma once
// Which page of the ledger holds which chunk of which job, and which pages have something to be
// written. Owns the pages and the places of chunks (Job::chunks); the ledger writer writes them.

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
  // The page of that number; pages up to it are added if there were fewer.
  Page& at_least(Index page);

  // A page without chunks that nothing is under way for.
  Index empty_page(PageKind kind);
  // Puts the chunk that begins with task `first` into a page, or takes it out of its page.
  void add_chunk(Job& job, uint32_t first, Index page);
  void remove_chunk(Job& job, uint32_t first);
  // Takes out all chunks of a job that is over. Pages need not be written for that alone.
  void remove_job(Job& job);
  // What the ledger has of the task is out of date: its chunk's page is to be written, which that
  // much urgency waits for. A chunk without a page gets one.
  void mark_changed(Job& job, uint32_t task, WriteUrgency urgency, double now);

  // The last write of a page that cannot be read: it may hold tasks of any job of before.
  uint64_t unreadable_revision = 0;

 private:
  // A page of that kind with room for so many bytes.
  Index page_for(size_t bytes, PageKind kind);

  const Settings& settings_;
  std::vector<Page> pages_;
};

}  // namespace rookdyke
