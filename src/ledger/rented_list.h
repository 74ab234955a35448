#pragma once
// The list of rented machines that a leader keeps in the ledger for its successor. A machine's row
// follows from its index, so that a change touches one row, and only changed rows are written.
// Pure and single-threaded: told the time, like the scheduler.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ledger/rows.h"
#include "model/types.h"

namespace rookdyke {

// A machine as the list has it; a type that is not known any more is kNone.
struct RentedMachine {
  std::string name;
  Index type = kNone, zone = kNone;
  bool spot = false;
};

class RentedList {
 public:
  // By row key: the row's revision and its value.
  using Rows = std::map<std::string, std::pair<uint64_t, nlohmann::json>>;
  // The machine of that index; empty: there is none, or it does not belong on the list.
  using Lookup = std::function<std::optional<RentedMachine>(Index)>;

  // value_bytes: the most that the state service takes in one value.
  explicit RentedList(size_t value_bytes);

  // Takes over the list as a predecessor left it. All its rows will be written anew. Entries that
  // cannot be read are passed over; zones that are not known yet get an index.
  std::vector<RentedMachine> load(const Rows& rows, const NameTable& types, NameTable& zones);

  // What the list says of this machine has changed.
  void mark_changed(Index machine);

  // Whether a write may begin: there are changes, none is under way, and the last is long enough
  // ago.
  bool can_write(double now) const;
  // Whether the last write began so long ago that the next one goes before all else.
  bool overdue(double now) const;
  // Begins a write: adds changed rows, as many as one transaction may take of at most
  // transaction_rows, and their conditions. Only if can_write(now).
  void write(double now, size_t transaction_rows, const Lookup& machine, const NameTable& types,
             const NameTable& zones, ledger::Transaction& transaction);
  // The write that is under way has come to this outcome. Rows that were not written are changed
  // still.
  void on_result(const ledger::Transaction& transaction, const ledger::Result& result);

 private:
  nlohmann::json encode_row(uint32_t row, const Lookup& machine, const NameTable& types,
                            const NameTable& zones) const;

  uint32_t machines_per_row_;
  std::set<uint32_t> changed_;     // rows
  std::set<uint32_t> unreadable_;  // rows that are never written
  std::map<std::string, uint64_t> revisions_;
  std::optional<double> written_at_;  // when the last write began
  bool in_flight_ = false;
};

}  // namespace rookdyke
