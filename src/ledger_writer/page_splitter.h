#pragma once
// Splits pages that were laid out under larger limits than those that hold now: such a page cannot
// be written any more as it is. Chunks of it are moved to pages of their own, which are written
// first; until then the page itself is not, for what was moved is durable only there. Asked by
// LedgerWriter before a page is written.

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

  // Moves chunks out of a page that is too large for the lowered limits. True: there are such
  // chunks, and the page is not to be written before the pages that took them.
  bool split(Index page, double now);

 private:
  // A page that takes chunks of the page being split.
  struct Destination {
    Index page = kNone;
    size_t filled = 0;  // bytes of the chunks moved into it
  };

  bool has_room(const Destination& destination, const Job& job, uint32_t first, size_t bytes) const;
  Destination open_destination(Index source, double now);
  void split_large_chunks(Index page);
  void split_chunk(Job& job, uint32_t first);

  const Settings& settings_;
  const LedgerLimits& limits_;
  const PageContent& content_;
  JobTable& jobs_;
  PageTable& pages_;
};

}  // namespace rookdyke
