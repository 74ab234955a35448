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

// Whether the worker's state is what it would be after the command.
bool reflects(const Heartbeat& heartbeat, const WorkerCommand& command) {
  const TaskStatus* status = find_status(heartbeat, command.attempt_ref());
  switch (command.verb) {
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
  const bool any_reflected =
      std::any_of(unacknowledged_.begin(), unacknowledged_.end(),
                  [&](const WorkerCommand& command) { return reflects(heartbeat, command); });
  unacknowledged_.clear();
  if (any_reflected) {
    if (is_unreachable())
      spdlog::info("machine {}: its worker receives our replies again", machine);
    heartbeats_without_acknowledgement_ = 0;
  } else if (++heartbeats_without_acknowledgement_ == kUnreachableAfterHeartbeats) {
    spdlog::info("machine {}: its worker executes no command of our replies", machine);
  }
}

void CommandAcknowledgement::mark_unreachable() {
  heartbeats_without_acknowledgement_ = kUnreachableAfterHeartbeats;
}

bool CommandAcknowledgement::is_unreachable() const {
  return heartbeats_without_acknowledgement_ >= kUnreachableAfterHeartbeats;
}

}  // namespace rookdyke
