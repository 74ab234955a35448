#pragma once
// Splits pages that exceed the state service's lowered limits and so can no longer be written. Some
// of their chunks are moved to other pages, which are written first: until then, the stored version
// of the page is the only durable copy of the moved chunks. Called by LedgerWriter before a page is
// written.

#include <cstdint>

#include "ledger/page_table.h"
#include "ledger_writer/ledger_limits.h"
#include "ledger_writer/page_content.h"
#include "model/settings.h"
#include "scheduler/job_table.h"

namespace rookdyke {

class PageSplitter {
 public:
  // All must outlive this object.
  PageSplitter(const Settings& settings, const LedgerLimits& limits, const PageContent& content,
               JobTable& jobs, PageTable& pages)
      : settings_(settings), limits_(limits), content_(content), jobs_(jobs), pages_(pages) {}

  // Moves chunks out of a page that is too large for the lowered limits. Returns whether any were
  // moved; the page must then not be written before the pages that took them.
  bool split(Index page, double now);

 private:
  // A page that receives chunks of the page being split.
  struct Destination {
    Index page = kNone;
    size_t filled_bytes = 0;  // bytes of the chunks moved into it
  };

  bool fits(const Destination& destination, const Job& job, uint32_t first, size_t bytes) const;
  Destination open_destination(Index source, double now);
  void split_oversized_chunks(Index page);
  void split_chunk(Job& job, uint32_t first);

  const Settings& settings_;
  const LedgerLimits& limits_;
  const PageContent& content_;
  JobTable& jobs_;
  PageTable& pages_;
};

}  // namespace rookdyke
