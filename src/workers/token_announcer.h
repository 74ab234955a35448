#pragma once
// Tells the leader's fencing token to machines that have not sent it a heartbeat with that token.
// Owns when and how often each of them was told; the calls go out as direct commands without
// commands. Called by DirectCommands.
//
// Workers keep to the controller that answers them: a deposed leader that is cut off from its
// siblings and the state service, but not from its workers, would keep them. The call, though it
// carries only the token, makes the worker's next heartbeat tell that leader of it. Workers of a
// leader that hangs or crashed wait for its reply first, and then perhaps for that of another
// controller that is down; until they come, the calls tell what runs there and start what waits.

#include <map>
#include <optional>

#include "model/machine.h"
#include "model/scheduler_messages.h"
#include "model/settings.h"
#include "scheduler/machine_table.h"

namespace rookdyke {

class TokenAnnouncer {
 public:
  // `settings` and `machines` must outlive this object. `started`: when this leader began.
  TokenAnnouncer(const Settings& settings, MachineTable& machines, double started)
      : settings_(settings), machines_(machines), started_(started) {}

  // The next machine to be told; it counts as told, and its direct call as in flight.
  std::optional<DirectCommand> next_announcement(double now);
  // The machine's answer was not from the epoch that the call named: it is told once more.
  void announce_again(const Machine& machine, double now) {
    announcements_[machine.index].not_before = now;
  }
  // By when workers that find their way to this leader by themselves have mostly come.
  double heartbeats_expected_by() const;

 private:
  struct Announcements {
    int count = 0;
    double not_before = 0;
  };

  bool is_due(const Machine& machine, double now) const;
  Announcements announcements_to(const Machine& machine) const;
  bool waits_for_heartbeats(double now) const;

  const Settings& settings_;
  MachineTable& machines_;
  const double started_;
  std::map<Index, Announcements> announcements_;  // by machine
  double next_search_at_ = 0;
};

}  // namespace rookdyke
