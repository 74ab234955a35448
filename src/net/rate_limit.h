#pragma once
// Whether the state service's lowered limit of changes a second holds by now.

#include <algorithm>

namespace rookdyke::net {

// A refusal for the rate (429) has two possible causes: the limit was lowered, or the replicas that
// share it exceeded it together, as when all of them start at once. So a refusal lowers the rate at
// once, but only for a limited time; then the former rate is tried again. If that is refused soon,
// the next period is longer, and after some such periods in a row the lowered rate is permanent.
//
// Pure: all times are arguments, in seconds of a steady clock. Not thread-safe: the owner locks.
class RateLimit {
 public:
  void on_refused(double now) {
    if (is_lowered(now)) return;
    const bool soon = lowerings_ > 0 && now - lowered_until_ < kSoonS;
    lowerings_ = soon ? lowerings_ + 1 : 1;
    lowered_until_ = now + std::min(kPeriodS * lowerings_, kMaxPeriodS);
  }
  bool is_lowered(double now) const {
    return lowerings_ >= kPermanentAfter || now < lowered_until_;
  }

 private:
  static constexpr double kPeriodS = 10;
  static constexpr double kMaxPeriodS = 60;
  static constexpr double kSoonS = 15;
  static constexpr int kPermanentAfter = 4;

  double lowered_until_ = -1e9;
  int lowerings_ = 0;  // in a row, each soon after the one before
};

}  // namespace rookdyke::net
