#pragma once
// Announces the leader's fencing token to machines that have sent it no heartbeat with that token.
// Decides when and how often each machine is called; an announcement is a direct command call
// without commands. Called by DirectCommands.
//
// Announcements serve two purposes:
// - Workers send their heartbeats to the controller that replies to them. A deposed leader that is
//   partitioned from its peers and the state service, but not from its workers, would keep them.
//   After an announcement, the worker's next heartbeat carries the new token to that leader.
// - Workers of a leader that hangs or has crashed first wait for its reply, and then perhaps for
//   that of another controller that is down. Until they send heartbeats to the new leader, the
//   responses to announcements show it the tasks on the machines, and direct commands can start
//   tasks there.

#include <map>
#include <optional>

#include "leadership/leadership_claim.h"
#include "model/machine.h"
#include "model/scheduler_messages.h"
#include "model/settings.h"
#include "scheduler/machine_table.h"

namespace rookdyke {

class TokenAnnouncer {
 public:
  // All references must outlive this object. `term_started_at`: when this leader's term began.
  TokenAnnouncer(const Settings& settings, const LeadershipClaim& claim, MachineTable& machines,
                 double term_started_at)
      : settings_(settings),
        claim_(claim),
        machines_(machines),
        term_started_at_(term_started_at) {}

  // Returns the next announcement to send, if any, and marks the machine's call as in flight.
  std::optional<DirectCommand> next_announcement(double now);
  // Allows another announcement to the machine at once, because the worker refused a call that
  // named another epoch.
  void announce_again(const Machine& machine, double now) {
    announcements_[machine.index].next_at = now;
  }
  // The time by which most workers that need no announcement have sent this leader a heartbeat.
  double heartbeats_expected_by() const;

 private:
  struct Announcements {
    int count = 0;
    double next_at = 0;
  };

  bool is_due(const Machine& machine, double now) const;
  Announcements announcements_to(const Machine& machine) const;
  bool waits_for_heartbeats(double now) const;

  const Settings& settings_;
  const LeadershipClaim& claim_;
  MachineTable& machines_;
  const double term_started_at_;
  std::map<Index, Announcements> announcements_;  // by machine
  double next_search_at_ = 0;
};

}  // namespace rookdyke
