#pragma once
// The machines with commands to be sent at once instead of with the reply to their next heartbeat.
// Code that changes what a machine is to run adds it here; DirectCommands removes it.

#include <optional>
#include <set>

#include "model/types.h"

namespace rookdyke {

class PendingCommands {
 public:
  void add(Index machine) { machines_.insert(machine); }

  // Removes and returns the machine with the lowest index, not below `from`, for which `accepts`
  // returns true.
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
