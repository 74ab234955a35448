#pragma once
// Builds the contents of pages from the job and machine tables and computes their sizes. Read-only;
// used by PageWriter and PageSplitter.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "ledger/page.h"
#include "ledger/rows.h"
#include "model/job.h"
#include "scheduler/job_table.h"
#include "scheduler/machine_table.h"

namespace rookdyke {

// Upper bounds of the bytes that an entry, or several entries, take in a page.
size_t entry_size(const std::string& job, const ledger::Chunk& chunk);
size_t entries_size(const std::vector<ledger::PageEntry>& entries);

class PageContent {
 public:
  // Both must outlive this object.
  PageContent(const JobTable& jobs, const MachineTable& machines)
      : jobs_(jobs), machines_(machines) {}

  // The state of the job's tasks [first, first + count) as the next write of their page stores it,
  // without proposed starts: done tasks and attempts that are placed and have not ended.
  ledger::Chunk durable_chunk(const Job& job, uint32_t first, uint32_t count) const;
  // The attempt in the form that is stored in a page.
  ledger::LiveAttempt live_attempt(const Attempt& attempt) const;

  // The size in bytes of the chunk that begins with task `first`, including its proposed starts.
  // They are counted because a page without free capacity would defer them until other attempts
  // end.
  size_t size_with_proposals(const Job& job, uint32_t first) const;
  // The size in bytes of all entries of a page, including proposed starts.
  size_t size_with_proposals(const Page& page) const;

 private:
  const JobTable& jobs_;
  const MachineTable& machines_;
};

}  // namespace rookdyke
