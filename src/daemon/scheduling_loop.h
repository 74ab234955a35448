#pragma once
// Runs the scheduler's rounds while this controller leads, and steps down when the scheduler can
// lead no longer.

#include <cstddef>
#include <optional>

#include "config/config.h"
#include "daemon/resource_limits.h"
#include "daemon/shared_state.h"

namespace rookdyke {

class SchedulingLoop {
 public:
  // Both must outlive this object.
  SchedulingLoop(const Config& config, SharedState& shared);

  // The thread's loop; returns after SharedState::stop.
  void run();

 private:
  // All return how long to wait before the next step, in seconds, unless it is woken.
  double step(ControllerState& state);
  double lead(ControllerState& state);
  double run_round(ControllerState& state, double now);
  void log_summary(const Scheduler& scheduler, double now);

  const Config& config_;
  SharedState& shared_;
  ResourceLimitWarnings limit_warnings_;
  double round_at_ = 0;  // the last round was begun
  double next_summary_ = 0;
  std::optional<size_t> machines_to_check_;  // against the limits, once the lock is released
};

}  // namespace rookdyke
