#include "daemon/shared_state.h"

#include <algorithm>
#include <chrono>

#include "net/steady_clock.h"

namespace rookdyke {

namespace {
constexpr double kMinWaitS = 0.001;
}  // namespace

void SharedState::wait_for(Lock& lock, std::condition_variable& wakeup, double timeout_s) {
  if (stopping_) return;
  const std::chrono::duration<double> timeout(std::max(kMinWaitS, timeout_s));
  wakeup.wait_for(lock.mutex_lock(), timeout);
}

bool SharedState::term_is_current(uint64_t fencing_token) {
  auto state = lock();
  return state->fencing_token() == fencing_token && state->lease_state_is_current(steady_now());
}

bool SharedState::stop() {
  if (stopping_.exchange(true)) return false;
  // A thread that saw `stopping_` unset in wait_for() released this lock only to wait, so the
  // notifications reach it.
  auto state = lock();
  wakeups_.notify_all();
  state->cancellation_gate().stop();
  return true;
}

}  // namespace rookdyke
