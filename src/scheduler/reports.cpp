// What silent machines tell of this process.

#include <algorithm>
#include <cstddef>

#include "scheduler/scheduler.h"

namespace rookdyke {

// Their reports wait to be read, or went elsewhere: who has fallen silent shows only from now on.
void Scheduler::on_process_stall(double s, double now) {
  const auto later = [&](double& t) {
    if (t >= 0) t = std::min(now, t + s);
  };
  for (const auto& m : machines_) {
    later(m->last_heartbeat);
    later(m->unacknowledged_since);
    later(m->older_token_since);
  }
  mass_silence_until_ = -1;
}

bool Scheduler::receives_no_heartbeats(double now) const {
  size_t registered = 0, silent = 0;
  const double limit = std::max(2.2 * settings_.heartbeat_interval_s, 5.0);
  for (const auto& m : machines_) {
    if (m->state == MachineState::terminated || !m->registered) continue;
    if (m->reclaim_at >= 0 && now > m->reclaim_at) continue;
    ++registered;
    if (now - m->last_heartbeat > limit) ++silent;
  }
  return silent >= 2 && silent * 10 >= registered * 7;
}

}  // namespace rookdyke
