#include "state/rate_limiters.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "net/steady_clock.h"

namespace rookdyke::state {

namespace {

// Duration for which a peer controller's report of a lowered limit is valid. Peer controllers
// report every second.
constexpr double kPeerReportValidS = 3;

}  // namespace

void RateLimiters::on_write_refused() {
  std::lock_guard lock(mutex_);
  write_limit_.on_refused(steady_now());
  update_locked(steady_now());
}

void RateLimiters::on_peer_refused() {
  std::lock_guard lock(mutex_);
  peer_refused_at_ = steady_now();
  update_locked(steady_now());
}

bool RateLimiters::sees_lowered_write_rate() {
  std::lock_guard lock(mutex_);
  return write_limit_.is_lowered(steady_now());
}

double RateLimiters::update_write_rate() {
  std::lock_guard lock(mutex_);
  return update_locked(steady_now());
}

double RateLimiters::update_locked(double now) {
  const bool peer_sees_it = now - peer_refused_at_ < kPeerReportValidS;
  const bool lowered = write_limit_.is_lowered(now) || peer_sees_it;
  const double write_rps = lowered ? std::min(write_rps_, next_write_rps_) : write_rps_;
  if (write_rps != current_write_rps_) {
    writes.set_total_rate(write_rps);
    current_write_rps_ = write_rps;
    spdlog::info("state: write rate limit is now {} changes per second", write_rps);
  }
  return write_rps;
}

}  // namespace rookdyke::state
