#include "daemon/resource_limits.h"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <fstream>
#include <optional>

namespace rookdyke {

namespace {

constexpr double kMemoryWarningFraction = 0.8;
constexpr double kBytesPerMb = 1 << 20;

// The resident memory of this process in MB; empty if unknown.
std::optional<double> resident_mb() {
  std::ifstream statm("/proc/self/statm");
  double total_pages = 0;
  double resident_pages = 0;
  if (!(statm >> total_pages >> resident_pages)) return std::nullopt;
  return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / kBytesPerMb;
}

}  // namespace

void ResourceLimitWarnings::check(size_t machines) {
  check_sockets(machines);
  check_memory();
}

void ResourceLimitWarnings::check_sockets(size_t machines) {
  const size_t available_connections = connections_from_outside(config_);
  if (machines <= available_connections || socket_warning_logged_) return;
  socket_warning_logged_ = true;
  spdlog::warn("max_sockets leaves {} connections for workers and users, fewer than {} machines",
               available_connections, machines);
}

void ResourceLimitWarnings::check_memory() {
  const std::optional<double> used_mb = resident_mb();
  if (!used_mb || config_.memory_mb <= 0 || memory_warning_logged_) return;
  if (*used_mb <= kMemoryWarningFraction * config_.memory_mb) return;
  memory_warning_logged_ = true;
  spdlog::warn("memory use is {:.0f} MB of the {:.0f} MB set by memory_mb", *used_mb,
               config_.memory_mb);
}

}  // namespace rookdyke
