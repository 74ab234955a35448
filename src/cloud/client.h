#pragma once
// Client of the cloud: machine types, rentals, returns, and the list of rented machines. Owned by
// the leader's cloud thread. Every call has connect, read and write timeouts and is limited to this
// controller's share of the cloud's rate limit. No function throws.

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

// Not thread-safe.
class Client {
 public:
  // The limiter must outlive this object.
  Client(const Endpoint& endpoint, net::RateLimiter& limiter);

  // Returns the machine types that can be rented, or empty if the request failed.
  std::optional<std::vector<MachineType>> machine_types();

  struct RentalResult {
    CloudOutcome outcome = CloudOutcome::indeterminate;
    std::vector<std::string> machines;  // names of the rented machines
  };
  // Called immediately before a request is sent, after any wait for the rate limit. Returns false,
  // so that the request is not sent, if the leader that decided on it has lost its lease.
  using MaySend = std::function<bool()>;
  RentalResult rent(const RentalRequest& request, const MaySend& may_send);
  CloudOutcome return_machines(const std::vector<std::string>& names, const MaySend& may_send);

  // Returns all rented machines, or empty if a page of the list could not be read.
  std::optional<std::vector<ListedMachine>> list_machines();

 private:
  enum class Method { get, post };
  struct Response {
    int status = 0;                  // HTTP status; 0 if there was no response
    bool may_have_executed = false;  // the request may have reached the cloud
    nlohmann::json body;
  };
  Response call(Method method, const std::string& path, const nlohmann::json& body = nullptr,
                const MaySend& may_send = nullptr);

  httplib::Client http_;
  net::RateLimiter& limiter_;
};

}  // namespace rookdyke::cloud
