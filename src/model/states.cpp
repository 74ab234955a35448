#include "model/states.h"

#include <array>
#include <cstddef>

namespace rookdyke {

std::string_view to_string(JobState state) {
  static constexpr std::array<std::string_view, 4> kNames{"open", "closing", "done", "cancelled"};
  return kNames[static_cast<size_t>(state)];
}
std::string_view to_string(AttemptState state) {
  static constexpr std::array<std::string_view, 7> kNames{
      "proposed", "placed", "fetching", "gang_waiting", "running", "checkpointing", "ended"};
  return kNames[static_cast<size_t>(state)];
}
std::string_view to_string(MachineState state) {
  static constexpr std::array<std::string_view, 5> kNames{"booting", "ready", "draining",
                                                          "terminating", "terminated"};
  return kNames[static_cast<size_t>(state)];
}

bool is_transition_allowed(JobState from, JobState to) {
  switch (from) {
    case JobState::open:
      return to == JobState::closing || to == JobState::cancelled;
    case JobState::closing:  // the closing transaction may lose a conflict with a cancellation
      return to == JobState::done || to == JobState::cancelled || to == JobState::open;
    case JobState::done:
    case JobState::cancelled:
      return false;
  }
  return false;
}

bool is_transition_allowed(AttemptState from, AttemptState to) {
  switch (from) {
    case AttemptState::proposed:
      return to == AttemptState::placed;
    case AttemptState::placed:
    case AttemptState::fetching:
    case AttemptState::gang_waiting:
    case AttemptState::running:
    case AttemptState::checkpointing:
      // A new leader may first see an attempt in any phase, so any phase may follow any other.
      return to >= AttemptState::fetching;
    case AttemptState::ended:
      return false;
  }
  return false;
}

bool is_transition_allowed(MachineState from, MachineState to) {
  switch (from) {
    case MachineState::booting:
      return to == MachineState::ready || to == MachineState::terminating ||
             to == MachineState::terminated;
    case MachineState::ready:
      return to == MachineState::draining || to == MachineState::terminating ||
             to == MachineState::terminated;
    case MachineState::draining:
      return to == MachineState::ready || to == MachineState::terminating ||
             to == MachineState::terminated;
    case MachineState::terminating:
      return to == MachineState::terminated;
    case MachineState::terminated:
      return false;
  }
  return false;
}

}  // namespace rookdyke
