#pragma once
// The clock that all time limits of this process are measured by.

#include <chrono>

namespace rookdyke {

// Seconds of the steady clock: they mean something to this process alone. Thread-safe.
inline double steady_now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

}  // namespace rookdyke
