#include "workers/command_acknowledgement.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace rookdyke {

namespace {

constexpr int kUnreachableAfterHeartbeats = 2;

const TaskStatus* find_status(const Heartbeat& heartbeat, const AttemptRef& attempt) {
  const auto last = std::find_if(heartbeat.tasks.rbegin(), heartbeat.tasks.rend(),
                                 [&](const TaskStatus& status) { return status.is_of(attempt); });
  return last == heartbeat.tasks.rend() ? nullptr : &*last;
}

// Whether the heartbeat shows the worker in the state that the command leads to.
bool acknowledges(const Heartbeat& heartbeat, const WorkerCommand& command) {
  const TaskStatus* status = find_status(heartbeat, command.attempt_ref());
  switch (command.kind) {
    case CommandKind::start:
      return status != nullptr;
    case CommandKind::forget:
      return status == nullptr;
    case CommandKind::stop:
      return !status || status->phase >= TaskPhase::checkpointing;
  }
  return false;
}

}  // namespace

void CommandAcknowledgement::on_heartbeat(const Heartbeat& heartbeat, const std::string& machine) {
  if (unacknowledged_.empty()) return;
  const bool any_acknowledged =
      std::any_of(unacknowledged_.begin(), unacknowledged_.end(),
                  [&](const WorkerCommand& command) { return acknowledges(heartbeat, command); });
  unacknowledged_.clear();
  if (any_acknowledged) {
    if (is_unreachable())
      spdlog::info("machine {}: worker receives heartbeat replies again", machine);
    heartbeats_without_acknowledgement_ = 0;
  } else if (++heartbeats_without_acknowledgement_ == kUnreachableAfterHeartbeats) {
    spdlog::info(
        "machine {}: worker does not execute the commands of heartbeat replies, marked unreachable",
        machine);
  }
}

void CommandAcknowledgement::mark_unreachable() {
  heartbeats_without_acknowledgement_ = kUnreachableAfterHeartbeats;
}

bool CommandAcknowledgement::is_unreachable() const {
  return heartbeats_without_acknowledgement_ >= kUnreachableAfterHeartbeats;
}

}  // namespace rookdyke
