#pragma once
// Stores the type, zone and kind of machines that the rented list does not durably contain yet in
// the pages that hold attempts on them. The list is written every few seconds, but a machine gets
// tasks as soon as it is up: without this, a successor would not know in which zones these tasks
// are.

#include <cstddef>
#include <set>
#include <vector>

#include "ledger/ledger_cache.h"
#include "ledger/rented_list.h"
#include "ledger/rows.h"
#include "scheduler/catalog.h"
#include "scheduler/machine_table.h"

namespace rookdyke {

class UnlistedMachines {
 public:
  // All must outlive this object.
  UnlistedMachines(Catalog& catalog, MachineTable& machines, const RentedList& rented_list)
      : catalog_(catalog), machines_(machines), rented_list_(rented_list) {}

  // Reads the attributes that pages hold for machines in the table whose zone is unknown.
  void load(const LedgerCache& ledger);

  // Whether a page with an attempt on the machine has to hold the machine's attributes.
  bool is_unlisted(Index machine) const;
  // Upper bound of the bytes that the machine's attributes take in a page.
  size_t encoded_size(Index machine) const;
  // The form in which a page holds the attributes of the machines.
  std::vector<ledger::MachineGroup> groups(const std::set<Index>& machines) const;

 private:
  Catalog& catalog_;
  MachineTable& machines_;
  const RentedList& rented_list_;
};

}  // namespace rookdyke
