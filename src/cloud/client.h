#pragma once
// The cloud's client, for one thread; within the node's part of the cloud's rate.

#include <httplib.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "net/rate_limiter.h"
#include "scheduler/scheduler.h"

namespace rookdyke::cloud {

class Client {
 public:
  Client(const Endpoint& at, net::RateLimiter& limiter);

  std::optional<std::vector<MachineType>> types();
  struct RentalResult {
    CloudOutcome outcome = CloudOutcome::unknown;
    std::vector<std::string> machines;
  };
  // Asked right before the request goes out, after any wait for the budget: a rental request or a
  // return that was decided by a leader which is none any more is not sent.
  using MaySend = std::function<bool()>;
  RentalResult rent(const RentalRequest& h, const MaySend& may_send);
  CloudOutcome return_machines(const std::vector<std::string>& names, const MaySend& may_send);
  // All pages; empty on any failure.
  std::optional<std::vector<ListedMachine>> list();

 private:
  struct Answer {
    int status = 0;
    bool sent = false;
    nlohmann::json body;
  };
  Answer call(bool post, const std::string& path, const nlohmann::json* body,
              const MaySend& may_send = nullptr);

  httplib::Client http_;
  net::RateLimiter& limiter_;
};

}  // namespace rookdyke::cloud
