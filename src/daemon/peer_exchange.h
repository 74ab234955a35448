#pragma once
// Exchanges views with the peer controllers every second: sends this controller's view, and
// applies theirs, from their responses as well as from their requests.

#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "config/config.h"
#include "daemon/reachability.h"
#include "daemon/shared_state.h"
#include "daemon/transaction_ids.h"
#include "mesh/mesh.h"
#include "state/client.h"

namespace rookdyke {

class PeerExchange {
 public:
  // All arguments must outlive this object.
  PeerExchange(const Config& config, SharedState& shared, state::RateLimiters& limiters,
               Reachability& reachability, const TransactionIds& ids);

  // The thread's loop; returns after SharedState::stop.
  void run();

  // This controller's view. Thread-safe.
  mesh::View view();
  // Applies a peer controller's view: a leader steps down if the view has a higher fencing token.
  // Thread-safe.
  void on_view(const mesh::View& view);

 private:
  void update_write_demand();
  nlohmann::json image_locations_if_due();
  void exchange_with(mesh::PeerClient& peer, const nlohmann::json& image_locations);

  const Config& config_;
  SharedState& shared_;
  state::RateLimiters& limiters_;
  Reachability& reachability_;
  const TransactionIds& ids_;
  std::vector<std::unique_ptr<mesh::PeerClient>> peers_;
  double next_image_locations_at_ = 0;  // steady_now()
};

}  // namespace rookdyke
