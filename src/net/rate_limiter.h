#pragma once
// A node's part of a rate limit that all nodes share. Takers wait their turn in order of asking.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <mutex>
#include <thread>
#include <utility>

namespace rookdyke::net {

class RateLimiter {
 public:
  using Clock = std::chrono::steady_clock;

  explicit RateLimiter(double per_s) : total_(per_s), rate_(per_s) {}

  // The node's share changes with its role: the leader has most.
  void set_share(double share) {
    std::lock_guard lock(mutex_);
    refill();
    rate_ = std::max(0.01, total_ * share);
  }
  // The limit for all nodes together has become this.
  void set_total(double per_s) {
    std::lock_guard lock(mutex_);
    refill();
    rate_ *= per_s / total_;
    total_ = per_s;
    level_ = std::min(level_, burst());
  }
  // Takes n without waiting for its turn, and leaves the others to wait: for what is rare and must
  // not be late.
  void take_first(double n) {
    std::lock_guard lock(mutex_);
    refill();
    asked_ += n;
    level_ -= n;
  }
  // How long until n are there.
  double wait_for(double n) {
    std::lock_guard lock(mutex_);
    refill();
    const double need = std::min(n, burst());
    return level_ >= need ? 0 : (need - level_) / rate_;
  }
  // What is there now, whole numbers only.
  double there() {
    std::lock_guard lock(mutex_);
    refill();
    return std::max(0.0, std::floor(level_));
  }
  // What was asked for since the last call, given or not.
  double asked() {
    std::lock_guard lock(mutex_);
    return std::exchange(asked_, 0.0);
  }
  // After a 429: everything waits a little.
  void penalty(double s) {
    std::lock_guard lock(mutex_);
    refill();
    level_ = std::min(level_, -s * rate_);
  }
  // Takes n; sleeps until they are there, unless that takes longer than max_wait_s.
  bool take(double n, double max_wait_s) {
    double wait = 0;
    {
      std::lock_guard lock(mutex_);
      refill();
      asked_ += n;
      // One that asks for more than a second's worth passes once the bucket is full.
      const double need = std::min(n, burst());
      if (level_ < need) wait = (need - level_) / rate_;
      if (wait > max_wait_s) return false;
      level_ -= n;
    }
    if (wait > 0) std::this_thread::sleep_for(std::chrono::duration<double>(wait));
    return true;
  }

 private:
  // A small share still lets a few through at once: the limit itself bears a second's worth.
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
