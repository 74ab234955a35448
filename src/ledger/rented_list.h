#pragma once
// The list of rented machines that a leader keeps in the ledger for its successor. Owned by the
// scheduler. A machine's index determines its row, so that a change affects one row, and only
// changed rows are written. Single-threaded and without I/O: all times are arguments, in seconds of
// a steady clock.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ledger/ledger_cache.h"
#include "ledger/machine_groups.h"
#include "ledger/rows.h"
#include "model/types.h"

namespace rookdyke {

class RentedList {
 public:
  // The list's rows in the ledger, by key.
  using Rows = std::map<std::string, CachedRentedListRow>;
  // Returns the machine with the given index; empty if there is none or it is not to be listed.
  using Lookup = std::function<std::optional<RentedMachine>(Index)>;

  // `value_bytes` is the state service's limit on the size of a value.
  explicit RentedList(size_t value_bytes);

  // Reads the list that a predecessor wrote. All its rows count as changed. Entries that cannot be
  // decoded are skipped; new zones get an index. The machines must be given indices in the order of
  // the result, beginning with 0.
  std::vector<RentedMachine> load(const Rows& rows, const NameTable& types, NameTable& zones);

  // Marks the machine's row as changed.
  void mark_changed(Index machine);
  // Whether the ledger contains the machine, as far as this leader knows: a predecessor listed it,
  // or a write with it was applied. Not defined for machines that are no longer to be listed.
  bool is_durable(Index machine) const { return machine < durable_.size() && durable_[machine]; }
  // Records that a predecessor listed the machine.
  void mark_durable(Index machine);

  // Whether a write may begin: there are changes, no write is in flight, and the minimum interval
  // since the last one has passed.
  bool can_write(double now) const;
  // Whether the last write began so long ago that the next one has priority over page writes.
  bool overdue(double now) const;
  // Begins a write: adds changed rows and their conditions to a transaction of at most
  // transaction_rows changes. Requires can_write(now).
  void write(double now, size_t transaction_rows, const Lookup& machine, const NameTable& types,
             const NameTable& zones, ledger::Transaction& transaction);
  // Handles the result of the write in flight. Rows that were not written still count as changed.
  void on_result(const ledger::Transaction& transaction, const ledger::Result& result);

 private:
  nlohmann::json encode_row(uint32_t row, const Lookup& machine, const NameTable& types,
                            const NameTable& zones);
  uint32_t row_of(Index machine) const;
  Index first_machine_of(uint32_t row) const;

  uint32_t machines_per_row_;
  std::set<uint32_t> changed_rows_;
  std::set<uint32_t> unreadable_rows_;  // never written
  std::map<std::string, uint64_t> row_versions_;
  std::optional<double> write_began_at_;  // of the last write
  bool in_flight_ = false;
  std::vector<Index> machines_in_flight_;  // contained in the write in flight
  std::vector<bool> durable_;              // by machine index
};

}  // namespace rookdyke
