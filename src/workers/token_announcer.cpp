#include "workers/token_announcer.h"

#include <algorithm>
#include <cstdint>

namespace rookdyke {

namespace {

// Delay of the first announcement after the start of the term. By then, workers whose connection to
// the previous leader was closed send heartbeats to this leader without an announcement.
constexpr double kFirstAnnouncementDelayS = 1;
// Between two calls to the same machine.
constexpr double kRetryIntervalS = 3;
// Between two searches for a machine to call that find none.
constexpr double kSearchIntervalS = 0.5;
constexpr int kMaxAnnouncements = 4;
// After this many calls without success, no other machine is called until heartbeats_expected_by():
// each call without a response occupies a thread that direct commands need.
constexpr int kMaxUnsuccessfulCalls = 10;
// Workers that need no announcement are expected to send a heartbeat within this many heartbeat
// intervals plus a margin after the start of the term.
constexpr double kExpectedWithinIntervals = 1.3;
constexpr double kExpectedMarginS = 1.5;

}  // namespace

double TokenAnnouncer::heartbeats_expected_by() const {
  return term_started_at_ + kExpectedWithinIntervals * settings_.heartbeat_interval_s +
         kExpectedMarginS;
}

TokenAnnouncer::Announcements TokenAnnouncer::announcements_to(const Machine& machine) const {
  const auto found = announcements_.find(machine.index);
  return found == announcements_.end() ? Announcements{} : found->second;
}

bool TokenAnnouncer::waits_for_heartbeats(double now) const {
  if (now >= heartbeats_expected_by()) return false;
  const auto unsuccessful =
      std::count_if(machines_.begin(), machines_.end(), [this](const auto& machine) {
        return announcements_to(*machine).count > 0 && !machine->registered &&
               !machine->direct_in_flight;
      });
  return unsuccessful >= kMaxUnsuccessfulCalls;
}

bool TokenAnnouncer::is_due(const Machine& machine, double now) const {
  if (machine.registered || machine.addr.empty() || machine.direct_in_flight) return false;
  const Announcements announcements = announcements_to(machine);
  if (announcements.count >= kMaxAnnouncements) return false;
  if (machine.state != MachineState::booting || now < announcements.next_at) return false;
  return machine.was_up || machine.heartbeats_with_older_token > 0;
}

std::optional<DirectCommand> TokenAnnouncer::next_announcement(double now) {
  if (now - term_started_at_ < kFirstAnnouncementDelayS || now < next_search_at_)
    return std::nullopt;
  if (waits_for_heartbeats(now)) return std::nullopt;
  const auto found =
      std::find_if(machines_.begin(), machines_.end(),
                   [this, now](const auto& machine) { return is_due(*machine, now); });
  if (found == machines_.end()) {
    next_search_at_ = now + kSearchIntervalS;
    return std::nullopt;
  }
  Machine& machine = **found;
  Announcements& announcements = announcements_[machine.index];
  ++announcements.count;
  announcements.next_at = std::max(now + kRetryIntervalS, heartbeats_expected_by());
  machine.direct_in_flight = true;
  return DirectCommand{machine.index,
                       machine.addr,
                       std::max<uint64_t>(1, machine.epoch),
                       machine.fence.token(claim_.fencing_token()),
                       {}};
}

}  // namespace rookdyke
