#pragma once
// A token bucket for a controller's share of a rate limit that applies to the whole deployment.
// Used by the clients of the state service and the cloud. Callers that have to wait are served in
// the order in which they called.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <mutex>
#include <thread>
#include <utility>

namespace rookdyke::net {

// Thread-safe.
class RateLimiter {
 public:
  using Clock = std::chrono::steady_clock;

  explicit RateLimiter(double per_s) : total_rate_(per_s), rate_(per_s) {}

  // Sets this controller's share of the limit, 0 to 1. It depends on the role: the leader has the
  // largest share.
  void set_share(double share) {
    std::lock_guard lock(mutex_);
    refill();
    rate_ = std::max(0.01, total_rate_ * share);
  }
  // Sets the limit of the whole deployment.
  void set_total_rate(double per_s) {
    std::lock_guard lock(mutex_);
    refill();
    rate_ *= per_s / total_rate_;
    total_rate_ = per_s;
    tokens_ = std::min(tokens_, capacity());
  }
  // Takes n tokens without waiting, ahead of all waiting callers; the number of tokens may become
  // negative. For rare requests that must not be delayed, such as lease renewals.
  void take_without_waiting(double n) {
    std::lock_guard lock(mutex_);
    refill();
    requested_ += n;
    tokens_ -= n;
  }
  // Seconds until n tokens are available.
  double wait_time_s(double n) {
    std::lock_guard lock(mutex_);
    refill();
    const double need = std::min(n, capacity());
    return tokens_ >= need ? 0 : (need - tokens_) / rate_;
  }
  // The number of tokens available now, rounded down.
  double available() {
    std::lock_guard lock(mutex_);
    refill();
    return std::max(0.0, std::floor(tokens_));
  }
  // Returns the number of tokens requested since the previous call of this function, granted or
  // not.
  double take_requested_count() {
    std::lock_guard lock(mutex_);
    return std::exchange(requested_, 0.0);
  }
  // Makes no tokens available for the next s seconds. To be called after a 429 response.
  void pause_for(double s) {
    std::lock_guard lock(mutex_);
    refill();
    tokens_ = std::min(tokens_, -s * rate_);
  }
  // Takes n tokens and sleeps until they are available. Returns false at once, without taking any,
  // if that would take longer than `max_wait_s`.
  bool take(double n, double max_wait_s) {
    double wait = 0;
    {
      std::lock_guard lock(mutex_);
      refill();
      requested_ += n;
      // A request for more tokens than the bucket can hold is granted once the bucket is full.
      const double need = std::min(n, capacity());
      if (tokens_ < need) wait = (need - tokens_) / rate_;
      if (wait > max_wait_s) return false;
      tokens_ -= n;
    }
    if (wait > 0) std::this_thread::sleep_for(std::chrono::duration<double>(wait));
    return true;
  }

 private:
  // The size of the bucket. Even a small share allows a few requests at once, since the limit of
  // the deployment admits bursts of a second's worth of requests.
  double capacity() const {
    return std::max({1.0, std::min(4.0, 0.15 * total_rate_), 0.8 * rate_});
  }
  void refill() {
    const auto now = Clock::now();
    if (refilled_at_ != Clock::time_point{})
      tokens_ += rate_ * std::chrono::duration<double>(now - refilled_at_).count();
    else
      tokens_ = capacity();
    refilled_at_ = now;
    tokens_ = std::min(tokens_, capacity());
  }

  std::mutex mutex_;
  double total_rate_, rate_, tokens_ = 0, requested_ = 0;
  Clock::time_point refilled_at_{};
};

}  // namespace rookdyke::net
