#pragma once
// Warns of the limits of the settings (sockets, memory) that do not carry the fleet.

#include <cstddef>

#include "config/config.h"

namespace rookdyke {

// One warning in the log for each limit, however often it is checked. For one thread.
class ResourceLimitWarnings {
 public:
  // Must outlive this object.
  explicit ResourceLimitWarnings(const Config& config) : config_(config) {}

  // For a fleet of so many machines. Reads a file: not to be called under SharedState's lock.
  void check(size_t machines);

 private:
  void check_sockets(size_t machines);
  void check_memory();

  const Config& config_;
  bool warned_of_sockets_ = false;
  bool warned_of_memory_ = false;
};

}  // namespace rookdyke
