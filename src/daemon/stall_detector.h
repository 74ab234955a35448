#pragma once
// Detects that this process was suspended while its clocks kept running (leadership/lease_clock.h),
// even when no other thread is active.

#include "daemon/shared_state.h"

namespace rookdyke {

class StallDetector {
 public:
  // `shared` must outlive this object.
  explicit StallDetector(SharedState& shared) : shared_(shared) {}

  // The thread's loop; returns after SharedState::stop.
  void run();

 private:
  SharedState& shared_;
};

}  // namespace rookdyke
