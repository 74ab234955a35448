#pragma once
// Rate limiters shared by all state service clients of a controller: its share of the deployment's
// requests per second and changes per second. The state service may lower the limit of changes at
// an unannounced time; this is detected from 429 responses to this controller and to its peer
// controllers.

#include <mutex>
#include <optional>

#include "net/rate_limit.h"
#include "net/rate_limiter.h"

namespace rookdyke::state {

// Thread-safe.
class RateLimiters {
 public:
  // `rps` and `write_rps` are the limits of requests and changes per second for the whole
  // deployment. `next_write_rps` is the limit of changes after the state service has lowered it;
  // empty if it will not change.
  RateLimiters(double rps, double write_rps, std::optional<double> next_write_rps = std::nullopt)
      : requests(rps),
        writes(write_rps),
        write_rps_(write_rps),
        next_write_rps_(next_write_rps.value_or(write_rps)) {}

  // To be called when the state service has rejected a write because of its rate (429).
  void on_write_refused();
  // To be called when a peer controller reports that it sees the limit lowered.
  void on_peer_refused();
  // Whether this controller's own 429 responses indicate that the limit of changes is lowered.
  bool sees_lowered_write_rate();
  // Applies the limit of changes that is currently assumed, lowered or not, and returns it. To be
  // called about once per second.
  double update_write_rate();

  net::RateLimiter requests;
  net::RateLimiter writes;

 private:
  double update_locked(double now);

  const double write_rps_;
  const double next_write_rps_;
  std::mutex mutex_;  // guards the members below
  net::RateLimit write_limit_;
  double peer_refused_at_ = -1e9;  // in seconds of steady_now()
  double current_write_rps_ = write_rps_;
};

}  // namespace rookdyke::state
