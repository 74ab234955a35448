#include "config/config.h"

namespace rookdyke {

namespace {

// A peer controller uses one connection. After it restarts or a request times out it opens another
// one, while the earlier ones remain open until their closing is detected.
constexpr size_t kConnectionsPerPeer = 3;
constexpr size_t kSparePeerConnections = 4;
// File descriptors that this process opens itself, about thirty: listening sockets, epoll, and the
// clients of the state service, the cloud and the workers.
constexpr size_t kInternalSockets = 40;
// One in this many sockets is reserved for connections that the kernel has accepted but the server
// has not, which accumulate when many arrive at the same time.
constexpr size_t kBacklogDivisor = 32;

}  // namespace

size_t connections_from_peers(const Config& config) {
  return kSparePeerConnections + kConnectionsPerPeer * config.peers.size();
}

size_t connections_from_outside(const Config& config) {
  const size_t to_peers = config.peers.size();
  const size_t reserved = kInternalSockets + to_peers + connections_from_peers(config) +
                          config.max_sockets / kBacklogDivisor;
  if (config.max_sockets <= 2 * reserved) return config.max_sockets / 2;
  return config.max_sockets - reserved;
}

}  // namespace rookdyke
