#pragma once
// The leader's in-memory state of a ledger page (see ledger/rows.h for the stored format): the
// chunks assigned to it and whether they have changes to write. PageTable owns the pages;
// ledger_writer/ updates their state as they are written.

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "ledger/rows.h"
#include "model/types.h"

namespace rookdyke {

// Kind of the jobs whose chunks share a page: services, other jobs that need a prompt start, and
// all others. Kinds are kept apart so that urgent writes neither wait for other chunks nor carry
// their bytes.
enum class PageKind : uint8_t { regular, prompt_start, service };

// Urgency of a page write, most urgent first: starts and ends of a service's replicas, starts of
// other jobs that need a prompt start, other starts, ends of tasks that have to run again, changes
// that nothing waits for.
enum class WriteUrgency : uint8_t { replica, prompt_start, start, restart, none };

// Identifies a chunk (consecutive tasks of a job) by the job and its first task.
struct ChunkRef {
  Index job = kNone;
  uint32_t first = 0;

  bool operator<(const ChunkRef& other) const {
    return std::tie(job, first) < std::tie(other.job, other.first);
  }
};

// A ledger row that holds chunks of several jobs. At most one write of it is in flight.
struct Page {
  uint64_t version = 0;
  bool in_flight = false;
  size_t reserved_bytes = 0;  // estimated size of its chunks
  std::set<ChunkRef> chunks;
  // Entries of jobs whose rows cannot be decoded. They are kept as they are.
  std::vector<ledger::PageEntry> unreadable_jobs;
  bool readable = true;  // false: no new chunks are assigned to it, so that it is not overwritten
  // Number of pages that took chunks from this page and are not durable yet. Until they are, the
  // stored version of this page is the only durable copy of those chunks.
  uint32_t pending_split_pages = 0;
  Index split_from = kNone;                         // page whose chunks were moved into this one
  std::optional<double> dirty_since;                // empty: no changes to write
  WriteUrgency write_urgency = WriteUrgency::none;  // of the unwritten changes
  PageKind kind = PageKind::regular;
  double retry_at = 0;  // earliest time of the next write

  // Records unwritten changes of the given urgency.
  void mark_dirty(WriteUrgency urgency, double now) {
    if (!dirty_since) dirty_since = now;
    write_urgency = std::min(write_urgency, urgency);
  }
  // Records that no changes are left to write.
  void mark_clean() {
    dirty_since.reset();
    write_urgency = WriteUrgency::none;
  }
};

}  // namespace rookdyke
