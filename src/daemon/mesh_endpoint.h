#pragma once
// Serves the requests of peer controllers on mesh_addr: views and notifications of cancellations.

#include <httplib.h>

#include "daemon/peer_exchange.h"
#include "daemon/shared_state.h"
#include "mesh/mesh.h"

namespace rookdyke {

// Thread-safe.
class MeshEndpoint {
 public:
  // Both arguments must outlive this object.
  MeshEndpoint(SharedState& shared, PeerExchange& peers) : shared_(shared), peers_(peers) {}

  void serve(const httplib::Request& request, httplib::Response& response);

 private:
  uint64_t apply_cancellations(const mesh::CancellationNotice& cancelled);

  SharedState& shared_;
  PeerExchange& peers_;
};

}  // namespace rookdyke
