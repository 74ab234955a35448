#pragma once
// Serves the platform's health checks.

#include <httplib.h>

#include "daemon/reachability.h"

namespace rookdyke {

// Thread-safe and lock-free.
class HealthEndpoint {
 public:
  // `reachability` must outlive this object.
  explicit HealthEndpoint(const Reachability& reachability) : reachability_(reachability) {}

  void serve(httplib::Response& response) const;

 private:
  const Reachability& reachability_;
};

}  // namespace rookdyke
