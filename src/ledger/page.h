#pragma once
// A page of the ledger as the leader keeps it: which chunks of jobs it holds, and what of them is
// still to be written (ledger/rows.h, scheduler/transactions.cpp).

#include <cstdint>
#include <set>
#include <utility>
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

// A row of the ledger that holds chunks of several jobs; at most one write of it is under way.
struct Page {
  uint64_t version = 0;
  bool in_flight = false;
  size_t reserved = 0;                             // bytes set aside for its chunks
  std::set<std::pair<Index, uint32_t>> members;    // (job, first task of a chunk)
  std::vector<ledger::PageEntry> unreadable_jobs;  // of jobs whose rows can't be read: kept as is
  bool readable = true;                            // one that can't be read is never written
  // Chunks that do not fit it any more were moved to so many pages, and are durable only here until
  // these are written; and the page that this one took such chunks from.
  uint32_t unwritten_splits = 0;
  Index split_from = kNone;
  double dirty_since = -1;                          // negative: nothing to write
  WriteUrgency write_urgency = WriteUrgency::none;  // for what is to be written
  PageKind kind = PageKind::regular;
  double retry_at = 0;
};

}  // namespace rookdyke
