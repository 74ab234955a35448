#pragma once
// Serves the workers' heartbeats: the leader replies with its commands, the other controllers
// redirect the worker to the leader.

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "config/config.h"
#include "daemon/reachability.h"
#include "daemon/shared_state.h"

namespace rookdyke {

// Thread-safe.
class HeartbeatEndpoint {
 public:
  // All arguments must outlive this object.
  HeartbeatEndpoint(const Config& config, SharedState& shared, const Reachability& reachability)
      : config_(config), shared_(shared), reachability_(reachability) {}

  void serve(const httplib::Request& request, httplib::Response& response);

 private:
  struct Reply {
    int status = 0;  // HTTP
    nlohmann::json body;
  };

  struct LeaderReply {
    Reply reply;
    bool needs_round = false;  // the heartbeat calls for a scheduling round soon
  };

  Reply process(const Heartbeat& heartbeat);
  static std::optional<Reply> refusal(ControllerState& state, double now);
  static std::optional<LeaderReply> reply_as_leader(ControllerState& state,
                                                    const Heartbeat& heartbeat, double now);
  std::string leader_for_redirect(const ControllerState& state, double now) const;

  const Config& config_;
  SharedState& shared_;
  const Reachability& reachability_;
};

}  // namespace rookdyke
