#pragma once
// Notices that this process was suspended while its clocks ran on (leadership/lease_clock.h), also
// when no other thread has anything to do.

#include "daemon/shared_state.h"

namespace rookdyke {

class StallDetector {
 public:
  // Must outlive this object.
  explicit StallDetector(SharedState& shared) : shared_(shared) {}

  // The thread's loop; returns after SharedState::stop.
  void run();

 private:
  SharedState& shared_;
};

}  // namespace rookdyke
