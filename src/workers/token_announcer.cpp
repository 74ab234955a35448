#include "workers/token_announcer.h"

#include <algorithm>
#include <cstdint>

namespace rookdyke {

namespace {

// After a leader's start, in seconds: until then workers whose leader ended with a closed
// connection begin to come by themselves.
constexpr double kFirstAnnouncementAfter = 1;
// In seconds, between two calls to a machine.
constexpr double kRetryAfter = 3;
// In seconds, between two searches that find no machine.
constexpr double kSearchInterval = 0.5;
constexpr int kMaxAnnouncements = 4;
// With so many machines called in vain the others are left to come by themselves for a while: each
// such call keeps a thread that direct commands need.
constexpr int kMaxCalledInVain = 10;
// When workers are expected after a leader's start: in heartbeat intervals, and seconds on top.
constexpr double kExpectedHeartbeats = 1.3;
constexpr double kExpectedMargin = 1.5;

}  // namespace

double TokenAnnouncer::heartbeats_expected_by() const {
  return started_ + kExpectedHeartbeats * settings_.heartbeat_interval_s + kExpectedMargin;
}

TokenAnnouncer::Announcements TokenAnnouncer::announcements_to(const Machine& machine) const {
  const auto found = announcements_.find(machine.index);
  return found == announcements_.end() ? Announcements{} : found->second;
}

bool TokenAnnouncer::waits_for_heartbeats(double now) const {
  if (now >= heartbeats_expected_by()) return false;
  const auto in_vain =
      std::count_if(machines_.begin(), machines_.end(), [this](const auto& machine) {
        return announcements_to(*machine).count > 0 && !machine->registered &&
               !machine->direct_in_flight;
      });
  return in_vain >= kMaxCalledInVain;
}

bool TokenAnnouncer::is_due(const Machine& machine, double now) const {
  if (machine.registered || machine.addr.empty() || machine.direct_in_flight) return false;
  const Announcements announcements = announcements_to(machine);
  if (announcements.count >= kMaxAnnouncements) return false;
  if (machine.state != MachineState::booting || now < announcements.not_before) return false;
  return machine.was_up || machine.heartbeats_with_older_token > 0;
}

std::optional<DirectCommand> TokenAnnouncer::next_announcement(double now) {
  if (now - started_ < kFirstAnnouncementAfter || now < next_search_at_) return std::nullopt;
  if (waits_for_heartbeats(now)) return std::nullopt;
  const auto found =
      std::find_if(machines_.begin(), machines_.end(),
                   [this, now](const auto& machine) { return is_due(*machine, now); });
  if (found == machines_.end()) {
    next_search_at_ = now + kSearchInterval;
    return std::nullopt;
  }
  Machine& machine = **found;
  Announcements& announcements = announcements_[machine.index];
  ++announcements.count;
  announcements.not_before = std::max(now + kRetryAfter, heartbeats_expected_by());
  machine.direct_in_flight = true;
  return DirectCommand{machine.index, machine.addr, std::max<uint64_t>(1, machine.epoch), {}};
}

}  // namespace rookdyke
