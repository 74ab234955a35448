#pragma once
// What the threads of one controller share: the guarded ControllerState, the condition variables
// that wake their loops, and whether the controller is stopping.
//
// There is one mutex. Nothing blocks while it is held: no request is sent, no file is read, no
// other wait than those below is made. ReadBarrier, RateLimiter and ConnectionPool have mutexes of
// their own; under those this one is never taken.

#include <atomic>
#include <condition_variable>
#include <cstdint>

#include "daemon/controller_state.h"
#include "daemon/guarded.h"
#include "daemon/wakeups.h"

namespace rookdyke {

class SharedState {
 public:
  using Lock = Guarded<ControllerState>::Lock;

  // All arguments must outlive this object.
  SharedState(const Config& config, state::RateLimiters& state_limiters,
              net::RateLimiter& cloud_limiter, const Reachability& reachability)
      : state_(config, state_limiters, cloud_limiter, reachability, wakeups_) {}

  // Access to the state, until the lock ends.
  Lock lock() { return state_.lock(); }
  // Releases the lock until `wakeup` is notified, for `longest_s` seconds at most. Returns at once
  // while the controller is stopping.
  void wait_for(Lock& lock, std::condition_variable& wakeup, double longest_s);
  Wakeups& wakeups() { return wakeups_; }
  // Whether this controller still leads with that token and a confirmed lease. Takes the lock; to
  // be asked right before something that was decided in that term is sent.
  bool term_confirmed(uint64_t fencing_token);

  // Lock-free.
  bool stopping() const { return stopping_; }
  // Ends all waits, now and later. False: it was called before.
  bool stop();

 private:
  std::atomic<bool> stopping_{false};
  Wakeups wakeups_;
  Guarded<ControllerState> state_;
};

}  // namespace rookdyke
