#pragma once
// The cloud's client: machine types, rentals, returns, and the list of rented machines. Owned by
// the leader's cloud thread; not thread-safe. Every call has timeouts for connecting, reading and
// writing, and waits for this replica's share of the cloud's rate limit. No function throws.

#include <httplib.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "model/scheduler_messages.h"
#include "model/types.h"
#include "net/rate_limiter.h"

namespace rookdyke::cloud {

class Client {
 public:
  // The limiter must outlive this object.
  Client(const Endpoint& at, net::RateLimiter& limiter);

  // The machine types that can be rented. Empty: it failed.
  std::optional<std::vector<MachineType>> types();

  struct RentalResult {
    CloudOutcome outcome = CloudOutcome::indeterminate;
    std::vector<std::string> machines;  // names of those rented
  };
  // Asked right before a request is sent, after any wait for the rate limit. False: it is not sent,
  // since the leader that decided it has lost its lease.
  using MaySend = std::function<bool()>;
  RentalResult rent(const RentalRequest& request, const MaySend& may_send);
  CloudOutcome return_machines(const std::vector<std::string>& names, const MaySend& may_send);

  // All rented machines. Empty: a page of the list failed.
  std::optional<std::vector<ListedMachine>> list();

 private:
  enum class Method { get, post };
  struct Answer {
    int status = 0;                  // HTTP; 0: none
    bool may_have_executed = false;  // the request reached the cloud, or may have
    nlohmann::json body;
  };
  Answer call(Method method, const std::string& path, const nlohmann::json& body = nullptr,
              const MaySend& may_send = nullptr);

  httplib::Client http_;
  net::RateLimiter& limiter_;
};

}  // namespace rookdyke::cloud
