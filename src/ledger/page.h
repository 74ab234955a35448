#pragma once
// A page of the ledger as the leader keeps it: which chunks of jobs it holds, and what of them is
// still to be written (ledger/rows.h). PageTable owns the pages; ledger_writer/ changes their state
// as they are written.

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "ledger/rows.h"
#include "model/types.h"

namespace rookdyke {

// Whose chunks share a page: those that are written in a hurry are not held up by, or do not have
// to carry, those that are not.
enum class PageKind : uint8_t { regular, prompt_start, service };

// Who waits for a change to become durable, most impatient first: replicas of services, tasks
// promised a prompt start, other starts, tasks that have to start again, nobody.
enum class WriteUrgency : uint8_t { replica, prompt_start, start, restart, none };

// A chunk of a job: some consecutive tasks, by the first of them.
struct ChunkRef {
  Index job = kNone;
  uint32_t first = 0;

  bool operator<(const ChunkRef& other) const {
    return std::tie(job, first) < std::tie(other.job, other.first);
  }
};

// A row of the ledger that holds chunks of several jobs; at most one write of it is under way.
struct Page {
  uint64_t version = 0;
  bool in_flight = false;
  size_t reserved = 0;  // bytes set aside for its chunks
  std::set<ChunkRef> members;
  std::vector<ledger::PageEntry> unreadable_jobs;  // of jobs whose rows can't be read: kept as is
  bool readable = true;                            // one that can't be read is never written
  // Chunks that do not fit it any more were moved to so many pages, and are durable only here until
  // these are written.
  uint32_t unwritten_splits = 0;
  Index split_from = kNone;                         // the page that it took such chunks from
  std::optional<double> dirty_since;                // empty: nothing to write
  WriteUrgency write_urgency = WriteUrgency::none;  // for what is to be written
  PageKind kind = PageKind::regular;
  double retry_at = 0;  // not written before

  // Something of it is to be written, which that much urgency waits for.
  void mark_dirty(WriteUrgency urgency, double now) {
    if (!dirty_since) dirty_since = now;
    write_urgency = std::min(write_urgency, urgency);
  }
  // Nothing of it is to be written.
  void mark_clean() {
    dirty_since.reset();
    write_urgency = WriteUrgency::none;
  }
};

}  // namespace rookdyke
