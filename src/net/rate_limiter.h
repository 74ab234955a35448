#pragma once
// A replica's share of a rate limit that all replicas have in common: a token bucket. Used by the
// clients of the state service and the cloud. Callers that have to wait are served in the order in
// which they called.

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

  explicit RateLimiter(double per_s) : total_(per_s), rate_(per_s) {}

  // This replica's share, 0 to 1; it changes with its role: the leader has most.
  void set_share(double share) {
    std::lock_guard lock(mutex_);
    refill();
    rate_ = std::max(0.01, total_ * share);
  }
  // The limit for all replicas together has changed to this.
  void set_total(double per_s) {
    std::lock_guard lock(mutex_);
    refill();
    rate_ *= per_s / total_;
    total_ = per_s;
    level_ = std::min(level_, burst());
  }
  // Takes n at once, ahead of those that wait; the level may become negative. For requests that are
  // rare and must not be late, such as lease renewals.
  void take_first(double n) {
    std::lock_guard lock(mutex_);
    refill();
    asked_ += n;
    level_ -= n;
  }
  // Seconds until n are available.
  double wait_for(double n) {
    std::lock_guard lock(mutex_);
    refill();
    const double need = std::min(n, burst());
    return level_ >= need ? 0 : (need - level_) / rate_;
  }
  // What is available now, rounded down to a whole number.
  double available() {
    std::lock_guard lock(mutex_);
    refill();
    return std::max(0.0, std::floor(level_));
  }
  // What was asked for since the last call, whether or not it was granted.
  double asked() {
    std::lock_guard lock(mutex_);
    return std::exchange(asked_, 0.0);
  }
  // After a 429: nothing is available for the next s seconds.
  void penalty(double s) {
    std::lock_guard lock(mutex_);
    refill();
    level_ = std::min(level_, -s * rate_);
  }
  // Takes n; sleeps until they are available. False, and nothing taken: that would take longer than
  // max_wait_s.
  bool take(double n, double max_wait_s) {
    double wait = 0;
    {
      std::lock_guard lock(mutex_);
      refill();
      asked_ += n;
      // A request for more than the bucket holds passes once the bucket is full.
      const double need = std::min(n, burst());
      if (level_ < need) wait = (need - level_) / rate_;
      if (wait > max_wait_s) return false;
      level_ -= n;
    }
    if (wait > 0) std::this_thread::sleep_for(std::chrono::duration<double>(wait));
    return true;
  }

 private:
  // The bucket's size. A few may pass at once even with a small share, since the common limit
  // allows a second's worth at once.
  double burst() const { return std::max({1.0, std::min(4.0, 0.15 * total_), 0.8 * rate_}); }
  void refill() {
    const auto now = Clock::now();
    if (last_ != Clock::time_point{})
      level_ += rate_ * std::chrono::duration<double>(now - last_).count();
    else
      level_ = burst();
    last_ = now;
    level_ = std::min(level_, burst());
  }

  std::mutex mutex_;
  double total_, rate_, level_ = 0, asked_ = 0;
  Clock::time_point last_{};
};

}  // namespace rookdyke::net
