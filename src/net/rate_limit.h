#pragma once
// Whether the state service's lowered limit of changes a second holds by now.

#include <algorithm>

namespace rookdyke::net {

// A refusal for its rate (429) has two causes: the limit was lowered, or replicas that share it
// were hasty together, as when all of them start at once. So a refusal lowers the rate at once, but
// only for a while; then the former rate is tried again. Refused again soon, the next while is
// longer, and after some such tries in a row the lowered rate stays for good.
//
// Pure: told the time in seconds of a steady clock. Not thread-safe: the owner locks.
class RateLimit {
 public:
  void on_refused(double now) {
    if (is_lowered(now)) return;
    const bool soon = lowerings_ > 0 && now - until_ < kSoon;
    lowerings_ = soon ? lowerings_ + 1 : 1;
    until_ = now + std::min(kFirst * lowerings_, kLongest);
  }
  bool is_lowered(double now) const { return lowerings_ >= kForGood || now < until_; }

 private:
  static constexpr double kFirst = 10;
  static constexpr double kLongest = 60;
  static constexpr double kSoon = 15;
  static constexpr int kForGood = 4;

  double until_ = -1e9;
  int lowerings_ = 0;  // one soon after another
};

}  // namespace rookdyke::net
