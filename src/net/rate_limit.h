#pragma once
// Detects whether the state service has lowered its limit of changes per second.

#include <algorithm>

namespace rookdyke::net {

// A 429 response has two possible causes: the state service has lowered the limit, or the
// controllers that share the limit exceeded it together, for example because all of them started at
// the same time. A 429 therefore lowers the rate at once, but only for a limited period; after
// that, the normal rate is tried again. If that soon causes another 429, the next period is longer.
// The kPeriodsUntilPermanent-th consecutive period does not end.
//
// No function reads a clock: times are passed in, in seconds of the steady clock. Not thread-safe.
class RateLimit {
 public:
  // To be called when a write was rejected with 429.
  void on_refused(double now) {
    if (is_lowered(now)) return;
    const bool consecutive = consecutive_periods_ > 0 && now - lowered_until_ < kConsecutiveWithinS;
    consecutive_periods_ = consecutive ? consecutive_periods_ + 1 : 1;
    lowered_until_ = now + std::min(kInitialPeriodS * consecutive_periods_, kMaxPeriodS);
  }
  bool is_lowered(double now) const {
    return consecutive_periods_ >= kPeriodsUntilPermanent || now < lowered_until_;
  }

 private:
  static constexpr double kInitialPeriodS = 10;  // the n-th consecutive period is n times as long
  static constexpr double kMaxPeriodS = 60;
  // A period that starts within this time after the end of the previous one is consecutive.
  static constexpr double kConsecutiveWithinS = 15;
  static constexpr int kPeriodsUntilPermanent = 4;

  double lowered_until_ = -1e9;
  int consecutive_periods_ = 0;
};

}  // namespace rookdyke::net
