#pragma once
// Whether this process was suspended while its clocks ran on, and whether what it knows of its
// lease may still be acted on. A process may be suspended in any line of its code for many times
// its lease: what was read, decided or queued before that counts only once a renewal was tried
// again. Pure: all moments are passed in, in seconds of the steady clock. Not thread-safe: used
// under the owner's lock.

#include <algorithm>

namespace rookdyke {

class LeaseClock {
 public:
  // The process counts as suspended if `stall` was not called for so many seconds; it is called
  // several times a second.
  static constexpr double kStall = 1;
  // Steady clocks drift apart by up to 0.05%: the lease is taken to end early by more than that.
  static constexpr double kDrift = 0.998;

  explicit LeaseClock(double now = 0) : last_stall_check_(now), resumed_at_(now) {}

  // For how many seconds the process was suspended until now; 0: it was not.
  double stall(double now) {
    const double unchecked_s = now - last_stall_check_;
    last_stall_check_ = std::max(last_stall_check_, now);
    if (unchecked_s < kStall) return 0;
    resumed_at_ = now;
    return unchecked_s;
  }
  // A renewal that was sent then succeeded; so did a grant that was asked for then.
  void kept(double sent) {
    kept_at_ = std::max(kept_at_, sent);
    asked(sent);
  }
  // A renewal that was sent then had some outcome.
  void asked(double sent) {
    if (sent > resumed_at_) asked_at_ = sent;
  }
  // When the last successful renewal was sent.
  double kept_at() const { return kept_at_; }
  // The lease of `ttl` seconds has not expired: nobody else leads.
  bool runs(double now, double ttl) const { return now - kept_at_ < ttl * kDrift; }
  // Whether a leader may go on answering its workers. Past the lease's expiry it may if renewals
  // failed while the process ran: that is an outage. It may not if the process was suspended since
  // the last renewal: another may have been elected.
  bool lease_confirmed(double now, double ttl) const {
    return runs(now, ttl) || asked_at_ > resumed_at_;
  }

 private:
  static constexpr double kNever = -1e9;

  double last_stall_check_;
  double resumed_at_;
  double kept_at_ = kNever;
  double asked_at_ = kNever;  // not before resumed_at_
};

}  // namespace rookdyke
