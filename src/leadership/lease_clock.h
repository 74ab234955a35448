#pragma once
// Detects that this process was suspended while the steady clock advanced, and tells whether the
// last known state of the leader lease may still be relied on. A process can be suspended at any
// point for many times the length of its lease, so what was read, decided or queued before a
// suspension is valid only after another attempt to renew the lease. No function reads a clock:
// times are passed in, in seconds of the steady clock. Not thread-safe: the owner's lock must be
// held.

#include <algorithm>

namespace rookdyke {

class LeaseClock {
 public:
  // The process was suspended if detect_stall(), which runs several times a second, was not called
  // for this long.
  static constexpr double kStallThresholdS = 1;
  // The part of the lease that is relied on. Steady clocks drift apart by up to 0.05%; this leaves
  // a larger margin.
  static constexpr double kUsableLeaseFraction = 0.998;

  explicit LeaseClock(double now = 0) : last_stall_check_(now), resumed_at_(now) {}

  // Returns the length in seconds of a suspension that ended just now, or 0.
  double detect_stall(double now) {
    const double unchecked_s = now - last_stall_check_;
    last_stall_check_ = std::max(last_stall_check_, now);
    if (unchecked_s < kStallThresholdS) return 0;
    resumed_at_ = now;
    return unchecked_s;
  }
  // The request sent at `sent_at` has granted or renewed the lease.
  void on_renewed(double sent_at) {
    renewed_at_ = std::max(renewed_at_, sent_at);
    on_renewal_attempted(sent_at);
  }
  // The renewal sent at `sent_at` has succeeded or failed.
  void on_renewal_attempted(double sent_at) {
    if (sent_at > resumed_at_) attempted_at_ = sent_at;
  }
  // When the last successful request was sent.
  double renewed_at() const { return renewed_at_; }
  // Whether the lease of `ttl` seconds has not expired, so that no other controller leads.
  bool is_unexpired(double now, double ttl) const {
    return now - renewed_at_ < ttl * kUsableLeaseFraction;
  }
  // Whether a leader may continue to reply to heartbeats. After the lease has expired it may if
  // renewals failed while the process was running (an outage of the state service), but not if the
  // process was suspended after the last attempt: another leader may have been elected.
  bool lease_state_is_current(double now, double ttl) const {
    return is_unexpired(now, ttl) || attempted_at_ > resumed_at_;
  }

 private:
  static constexpr double kNever = -1e9;

  double last_stall_check_;
  double resumed_at_;
  double renewed_at_ = kNever;
  double attempted_at_ = kNever;  // when the last renewal with an outcome was sent
};

}  // namespace rookdyke
