#pragma once
// Whether a machine's worker receives the replies to its heartbeats. Each Machine has one. A
// heartbeat that reflects no command of the reply to its predecessor shows that this reply was
// lost; after several in a row the machine counts as unreachable, however regularly its heartbeats
// arrive. Without commands nothing is concluded.
//
// Fed by HeartbeatHandler; Machine::unreachable() passes the answer on.

#include <string>
#include <vector>

#include "model/types.h"

namespace rookdyke {

class CommandAcknowledgement {
 public:
  // The commands of the reply to the machine's latest heartbeat.
  void on_commands_sent(const std::vector<WorkerCommand>& commands) { unacknowledged_ = commands; }
  // The machine's next heartbeat in the same epoch. `machine` is its name, for the log.
  void on_heartbeat(const Heartbeat& heartbeat, const std::string& machine);
  // The worker is in a new epoch: what it was sent in an earlier one is void.
  void on_new_epoch() { unacknowledged_.clear(); }
  // The worker lost its lease although its heartbeats were answered.
  void mark_unreachable();

  bool is_unreachable() const;

 private:
  std::vector<WorkerCommand> unacknowledged_;
  int heartbeats_without_acknowledgement_ = 0;  // in a row
};

}  // namespace rookdyke
