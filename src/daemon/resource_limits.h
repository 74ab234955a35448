#pragma once
// Logs warnings when the configured limits on sockets and memory are too low for the fleet.

#include <cstddef>

#include "config/config.h"

namespace rookdyke {

// Logs at most one warning per limit. Not thread-safe.
class ResourceLimitWarnings {
 public:
  // `config` must outlive this object.
  explicit ResourceLimitWarnings(const Config& config) : config_(config) {}

  // Checks the limits for a fleet of `machines` machines. Reads a file, so it must not be called
  // under SharedState's lock.
  void check(size_t machines);

 private:
  void check_sockets(size_t machines);
  void check_memory();

  const Config& config_;
  bool socket_warning_logged_ = false;
  bool memory_warning_logged_ = false;
};

}  // namespace rookdyke
