#pragma once
// Writes the list of rented machines (ledger/rented_list.h) from the machine table, and loads the
// list of a predecessor. LedgerWriter decides when to write, sends the transactions and reports
// their results.

#include <optional>

#include "ledger/ledger_cache.h"
#include "ledger/rented_list.h"
#include "ledger/rows.h"
#include "ledger_writer/ledger_write.h"
#include "model/settings.h"
#include "scheduler/catalog.h"
#include "scheduler/machine_table.h"

namespace rookdyke {

class RentedListWriter {
 public:
  // All must outlive this object.
  RentedListWriter(const Settings& settings, Catalog& catalog, MachineTable& machines,
                   RentedList& rented_list)
      : settings_(settings), catalog_(catalog), machines_(machines), rented_list_(rented_list) {}

  // Adds the machines of the list that a predecessor wrote to the machine table. All rows are
  // written again.
  void load(const LedgerCache& ledger, double now);

  // Whether a write may begin.
  bool can_write(double now) const { return rented_list_.can_write(now); }
  // Whether the last write began so long ago that the next one has priority over page writes.
  bool overdue(double now) const { return rented_list_.overdue(now); }
  // Adds changed rows to a transaction that has its id and the condition on the leader key.
  // Requires can_write(now).
  LedgerWrite begin_write(ledger::Transaction transaction, double now);
  // Handles the result of a write. Its outcome must not be `indeterminate`.
  void on_result(const ledger::Transaction& transaction, const ledger::Result& result) {
    rented_list_.on_result(transaction, result);
  }

 private:
  std::optional<RentedMachine> listed_machine(Index machine) const;

  const Settings& settings_;
  Catalog& catalog_;
  MachineTable& machines_;
  RentedList& rented_list_;
};

}  // namespace rookdyke
