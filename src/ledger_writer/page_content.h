#pragma once
// What of the jobs' chunks goes into a page, and how many bytes that takes. Reads the tables and
// changes nothing; used by PageWriter and PageSplitter.

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

// At least the bytes that these take in a page.
size_t entry_size(const std::string& job, const ledger::Chunk& chunk);
size_t entries_size(const std::vector<ledger::PageEntry>& entries);

class PageContent {
 public:
  // Both must outlive this object.
  PageContent(const JobTable& jobs, const MachineTable& machines)
      : jobs_(jobs), machines_(machines) {}

  // What is durable of the job's tasks [first, first + count), or is to be with the next write:
  // everything but proposed starts.
  ledger::Chunk durable_chunk(const Job& job, uint32_t first, uint32_t count) const;
  // The attempt as a page has it.
  ledger::LiveAttempt live_attempt(const Attempt& attempt) const;

  // The bytes that the chunk that begins with task `first` takes with its proposed starts. They
  // count too: in a page that has no room for them they would wait until others end.
  size_t wanted_size(const Job& job, uint32_t first) const;
  // The same for all entries of a page.
  size_t wanted_size(const Page& page) const;

 private:
  const JobTable& jobs_;
  const MachineTable& machines_;
};

}  // namespace rookdyke
