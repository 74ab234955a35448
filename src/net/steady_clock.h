#pragma once
// The clock used for all intervals and timeouts of this process.

#include <chrono>

namespace rookdyke {

// Seconds of the steady clock; not comparable between processes. Thread-safe.
inline double steady_now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

}  // namespace rookdyke
