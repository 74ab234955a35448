#pragma once
// Runs scheduling rounds while this controller leads, and steps down when the scheduler has lost
// leadership or no worker can reach this controller.

#include <cstddef>
#include <optional>

#include "config/config.h"
#include "daemon/resource_limits.h"
#include "daemon/shared_state.h"

namespace rookdyke {

class SchedulingLoop {
 public:
  // The arguments must outlive this object.
  SchedulingLoop(const Config& config, SharedState& shared);

  // The thread's loop; returns after SharedState::stop.
  void run();

 private:
  // These return the longest time to wait before the next step, in seconds.
  double run_step(ControllerState& state);
  double run_leader_step(ControllerState& state);
  double run_round(ControllerState& state, double now);
  void log_summary(const Scheduler& scheduler, double now);

  const Config& config_;
  SharedState& shared_;
  ResourceLimitWarnings limit_warnings_;
  double last_round_at_ = 0;  // start of the last round
  double next_summary_at_ = 0;
  // Passed to limit_warnings_ once the lock is released.
  std::optional<size_t> machine_count_to_check_;
};

}  // namespace rookdyke
