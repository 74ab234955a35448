#pragma once
// Detects that a machine's worker does not receive the replies to its heartbeats. Each Machine has
// one instance. A heartbeat that acknowledges no command of the previous reply shows that this
// reply was lost; after several such heartbeats in a row the machine is unreachable, however
// regularly its heartbeats arrive. A reply without commands shows nothing.
//
// Updated by HeartbeatHandler; Machine::is_unreachable() exposes the result.

#include <string>
#include <vector>

#include "model/types.h"

namespace rookdyke {

class CommandAcknowledgement {
 public:
  // The commands of the reply to the machine's latest heartbeat.
  void on_commands_sent(const std::vector<WorkerCommand>& commands) { unacknowledged_ = commands; }
  // The next heartbeat in the same epoch has arrived. `machine` is the machine's name for the log.
  void on_heartbeat(const Heartbeat& heartbeat, const std::string& machine);
  // The worker has begun a new epoch, in which commands of earlier epochs are void.
  void on_new_epoch() { unacknowledged_.clear(); }
  // The worker lost its lease although this controller replied to its heartbeats.
  void mark_unreachable();

  bool is_unreachable() const;

 private:
  std::vector<WorkerCommand> unacknowledged_;
  int heartbeats_without_acknowledgement_ = 0;  // in a row
};

}  // namespace rookdyke
