#pragma once
// Answers the workers' heartbeats: as leader with its commands, else with where to find the leader.

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
  struct Answer {
    int status = 0;
    nlohmann::json body;
  };

  struct LeaderAnswer {
    Answer answer;
    bool needs_round = false;  // the scheduler is to look soon at what the heartbeat told
  };

  Answer answer(const Heartbeat& heartbeat);
  static std::optional<Answer> refusal(ControllerState& state, double now);
  static std::optional<LeaderAnswer> lead(ControllerState& state, const Heartbeat& heartbeat,
                                          double now);
  std::string leader_for_redirect(const ControllerState& state, double now) const;

  const Config& config_;
  SharedState& shared_;
  const Reachability& reachability_;
};

}  // namespace rookdyke
