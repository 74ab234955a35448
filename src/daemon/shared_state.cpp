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

bool SharedState::term_confirmed(uint64_t fencing_token) {
  auto state = lock();
  return state->fencing_token() == fencing_token && state->lease_confirmed(steady_now());
}

bool SharedState::stop() {
  if (stopping_.exchange(true)) return false;
  auto state = lock();  // every thread that saw `stopping_` unset is waiting by now
  wakeups_.notify_all();
  state->cancellation_gate().stop();
  return true;
}

}  // namespace rookdyke
