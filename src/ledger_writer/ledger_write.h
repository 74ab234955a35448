#pragma once
// A transaction that writes to the ledger, with the data needed to apply its result. Created by
// PageWriter, JobCloser and RentedListWriter; sent by LedgerWriter, which keeps it until its
// outcome is known.

#include <cstdint>
#include <variant>
#include <vector>

#include "ledger/rows.h"
#include "model/types.h"

namespace rookdyke {

// Identifies a task by its job's index and its number.
struct TaskRef {
  Index job = kNone;
  uint32_t task = 0;
};

// Writes one page.
struct PageWrite {
  Index page = kNone;
  std::vector<TaskRef> started;  // tasks whose starts become durable
  std::vector<TaskRef> ended;    // tasks whose ends become durable
};

// Writes the final states of jobs.
struct FinalStateWrite {};

// Writes rows of the list of rented machines.
struct RentedListWrite {};

struct LedgerWrite {
  ledger::Transaction transaction;
  // Jobs whose row or attempts the transaction contains, without duplicates. They are not erased
  // while it is in flight.
  std::vector<Index> jobs;
  std::variant<PageWrite, FinalStateWrite, RentedListWrite> content;
};

}  // namespace rookdyke
