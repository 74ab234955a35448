#pragma once
// The data shared by the threads of one controller: the guarded ControllerState, the condition
// variables that wake their loops, and the stop flag.
//
// One mutex guards the state. No thread blocks while it holds the mutex: it sends no request, reads
// no file, and waits only on condition variables that release the mutex. ReadBarrier, RateLimiter
// and ConnectionPool have their own mutexes; this mutex is never acquired while one of those is
// held.

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

  // Locks the mutex and gives access to the state until the lock is destroyed.
  Lock lock() { return state_.lock(); }
  // Releases the lock and waits until `wakeup` is notified or `timeout_s` has elapsed. Returns
  // immediately while the controller is stopping.
  void wait_for(Lock& lock, std::condition_variable& wakeup, double timeout_s);
  Wakeups& wakeups() { return wakeups_; }
  // Whether the term with this fencing token has not ended and its lease state is current
  // (ControllerState::lease_state_is_current). Takes the lock. Must be checked right before sending
  // anything that was decided in that term.
  bool term_is_current(uint64_t fencing_token);

  // Lock-free.
  bool stopping() const { return stopping_; }
  // Wakes all waiting threads and makes later waits return immediately. Returns false if it was
  // already called.
  bool stop();

 private:
  std::atomic<bool> stopping_{false};
  Wakeups wakeups_;
  Guarded<ControllerState> state_;
};

}  // namespace rookdyke
