#pragma once
// The named states of the scheduler's state machines. Each has exactly one function that changes it
// (states.cpp); it refuses and logs a step that the machine does not allow.

#include <cstdint>
#include <string_view>

namespace rookdyke {

// open -> done | aborted. Terminal states never change (rule went_back).
enum class JobState : uint8_t { open, closing, done, cancelled };

// A task's attempt.
//   proposed  reserved in memory, its start is not durable yet
//   placed    durable; the start may be ordered
//   pulling, gathering, running, saving   as the worker reports
//   ended     proven off its machine; its removal is not durable yet
enum class AttemptState : uint8_t {
  proposed,
  placed,
  fetching,
  gang_waiting,
  running,
  checkpointing,
  ended
};

// A machine.
//   booting   rented, its worker has not reported yet
//   ready     reports; takes work
//   draining  reports; takes nothing new and is returned once empty
//   terminating to be returned as soon as the cloud takes the call
//   gone      the cloud answered 200 to its return
enum class MachineState : uint8_t { booting, ready, draining, terminating, terminated };

std::string_view to_string(JobState s);
std::string_view to_string(AttemptState s);
std::string_view to_string(MachineState s);

bool allowed(JobState from, JobState to);
bool allowed(AttemptState from, AttemptState to);
bool allowed(MachineState from, MachineState to);

}  // namespace rookdyke
