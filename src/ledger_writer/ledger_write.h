#pragma once
// One transaction that writes to the ledger, with what its result will be about. PageWriter,
// JobCloser and RentedListWriter draft them; LedgerWriter sends them and keeps them until they are
// answered.

#include <cstdint>
#include <variant>
#include <vector>

#include "ledger/rows.h"
#include "model/types.h"

namespace rookdyke {

// A task of a job, by the job's index.
struct TaskRef {
  Index job = kNone;
  uint32_t task = 0;
};

// Writes one page.
struct PageWrite {
  Index page = kNone;
  std::vector<TaskRef> started;  // whose starts become durable with it
  std::vector<TaskRef> ended;    // whose ends become durable with it
};

// Writes the final states of jobs.
struct JobClosing {};

// Writes rows of the list of rented machines.
struct RentedListWrite {};

struct LedgerWrite {
  ledger::Transaction transaction;
  // Jobs whose row or attempts it names, each once. None of them is erased while it is in flight.
  std::vector<Index> jobs;
  std::variant<PageWrite, JobClosing, RentedListWrite> content;
};

}  // namespace rookdyke
