#pragma once
// Machines for which there are commands worth sending at once, without waiting for their worker's
// next heartbeat. Filled by whoever changes what a machine is to run; emptied by DirectCommands.

#include <optional>
#include <set>

#include "model/types.h"

namespace rookdyke {

class PendingCommands {
 public:
  void add(Index machine) { machines_.insert(machine); }

  // Removes and returns the first machine, by index and not below `from`, that `accepts` returns
  // true for; the others stay.
  template <typename Predicate>
  std::optional<Index> take_first(Index from, Predicate accepts) {
    for (auto it = machines_.lower_bound(from); it != machines_.end(); ++it) {
      if (!accepts(*it)) continue;
      const Index machine = *it;
      machines_.erase(it);
      return machine;
    }
    return std::nullopt;
  }

 private:
  std::set<Index> machines_;
};

}  // namespace rookdyke
