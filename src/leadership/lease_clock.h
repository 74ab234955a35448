#pragma once
// Whether this process has stood still while its clocks ran on, and whether what it knows of its
// lease may still be acted on. A process may stop in any line of its code for many times its lease:
// what was read, decided or queued before it counts only once the lease has been asked for again.
// Pure: told the time, like the scheduler.

#include <algorithm>

namespace rookdyke {

class LeaseClock {
 public:
  // It has stood still if nobody called this for so long; it is called several times a second.
  static constexpr double kStall = 1;
  // Steady clocks drift apart by up to 0.05%: our count of a lease's time ends early by more.
  static constexpr double kDrift = 0.998;

  explicit LeaseClock(double now = 0) : last_stall_check_(now), woke_at_(now) {}

  // For how long the process stood still before now; 0: it did not.
  double stall(double now) {
    const double still = now - last_stall_check_;
    last_stall_check_ = std::max(last_stall_check_, now);
    if (still < kStall) return 0;
    woke_at_ = now;
    return still;
  }
  // A renewal that was sent then kept the lease.
  void kept(double sent) {
    kept_at_ = std::max(kept_at_, sent);
    asked(sent);
  }
  // A renewal that was sent then came to some outcome.
  void asked(double sent) {
    if (sent > woke_at_) asked_at_ = sent;
  }
  double kept_at() const { return kept_at_; }
  // While the lease's time runs, nobody else leads.
  bool runs(double now, double ttl) const { return now - kept_at_ < ttl * kDrift; }
  // After that, doubt that failed renewals made is an outage that this process lived through. Doubt
  // that it slept through is none: others may have been elected.
  bool lease_confirmed(double now, double ttl) const {
    return runs(now, ttl) || asked_at_ > woke_at_;
  }

 private:
  double last_stall_check_, woke_at_, kept_at_ = -1e9, asked_at_ = -1e9;
};

}  // namespace rookdyke
