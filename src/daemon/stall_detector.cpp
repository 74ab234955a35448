#include "daemon/stall_detector.h"

#include <chrono>
#include <thread>

#include "net/steady_clock.h"

namespace rookdyke {

namespace {
constexpr std::chrono::milliseconds kCheckInterval(250);
static_assert(kCheckInterval < std::chrono::duration<double>(LeaseClock::kStallThresholdS) / 2);
}  // namespace

void StallDetector::run() {
  while (!shared_.stopping()) {
    shared_.lock()->check_for_stall(steady_now());
    std::this_thread::sleep_for(kCheckInterval);
  }
}

}  // namespace rookdyke
