#pragma once
// Machines for which there are commands worth sending at once, without waiting for their worker's
// next heartbeat. Filled by whoever changes what a machine is to run; emptied by direct commands.

#include <set>

#include "model/types.h"

namespace rookdyke {

class PendingCommands {
 public:
  void add(Index machine) { machines_.insert(machine); }
  // By machine index; the dispatcher removes what it has looked at.
  std::set<Index>& machines() { return machines_; }

 private:
  std::set<Index> machines_;
};

}  // namespace rookdyke
