#include "config/config.h"

namespace rookdyke {

namespace {

// Of one peer controller: one, and further ones after it restarted or timed out, until the end of
// the earlier ones is noticed.
constexpr size_t kConnectionsPerPeer = 3;
constexpr size_t kSparePeerConnections = 4;
// What this process opens itself: listening sockets, epoll, and clients of the state service, the
// cloud and the workers; some thirty.
constexpr size_t kOwnSockets = 40;
// Of all sockets, the part left for connections that the kernel has accepted and the server has
// not yet, while many arrive at once.
constexpr size_t kBacklogFraction = 32;

}  // namespace

size_t connections_from_peers(const Config& config) {
  return kSparePeerConnections + kConnectionsPerPeer * config.peers.size();
}

size_t connections_from_outside(const Config& config) {
  const size_t to_peers = config.peers.size();
  const size_t reserved = kOwnSockets + to_peers + connections_from_peers(config) +
                          config.max_sockets / kBacklogFraction;
  if (config.max_sockets <= 2 * reserved) return config.max_sockets / 2;
  return config.max_sockets - reserved;
}

}  // namespace rookdyke
