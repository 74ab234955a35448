#pragma once
// What all clients of a replica may ask of the state service: its share of requests and of changes
// a second. The limit of changes may be lowered by the state service at a moment that it does not
// announce; refusals, here and at peer controllers, show it.

#include <mutex>
#include <optional>

#include "net/rate_limit.h"
#include "net/rate_limiter.h"

namespace rookdyke::state {

// Thread-safe.
class RateLimiters {
 public:
  // Limits of the whole deployment, a second. next_write_rps: what the limit of changes will be
  // from some moment on; empty: it stays.
  RateLimiters(double rps, double write_rps, std::optional<double> next_write_rps = std::nullopt)
      : requests(rps),
        writes(write_rps),
        write_rps_(write_rps),
        next_write_rps_(next_write_rps.value_or(write_rps)) {}

  // The state service refused a change for its rate.
  void on_write_refused();
  // A peer controller reports that the same has just happened to it.
  void on_peer_refused();
  // Whether this replica's own refusals show that the limit of changes is lowered.
  bool sees_lowered_write_rate();
  // Applies what is known of the limit of changes by now, and returns it. To be called about every
  // second.
  double update_write_rate();

  net::RateLimiter requests;
  net::RateLimiter writes;

 private:
  double update_locked(double now);

  const double write_rps_;
  const double next_write_rps_;
  std::mutex mutex_;  // guards what follows
  net::RateLimit write_limit_;
  double peer_refused_at_ = -1e9;  // seconds of steady_now()
  double current_write_rps_ = write_rps_;
};

}  // namespace rookdyke::state
