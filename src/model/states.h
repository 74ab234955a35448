#pragma once
// The states of jobs, attempts and machines, and the steps that are allowed between them. Each
// state machine has exactly one function that changes a state (JobTable::set_state,
// TaskLifecycle::set_state, MachineTable::set_state), which refuses and logs any other step.

#include <cstdint>
#include <string_view>

namespace rookdyke {

// A job.
//   open       its tasks may start
//   closing    all tasks are done; the transaction that says so is not durable yet
//   done, cancelled  final: they never change (rule went_back)
enum class JobState : uint8_t { open, closing, done, cancelled };

// A task's attempt.
//   proposed  reserved in memory, its start is not durable yet
//   placed    durable; its start may be sent
//   fetching, gang_waiting, running, checkpointing   as the worker reports
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
//   booting      rented, its worker has not sent a heartbeat yet
//   ready        takes work
//   draining     takes nothing new and is returned once empty
//   terminating  to be returned as soon as the cloud takes the call
//   terminated   returned
enum class MachineState : uint8_t { booting, ready, draining, terminating, terminated };

// The enumerator's name, for log lines.
std::string_view to_string(JobState state);
std::string_view to_string(AttemptState state);
std::string_view to_string(MachineState state);

// Whether the state machine has the step. A state may follow itself only where this says so.
bool allowed(JobState from, JobState to);
bool allowed(AttemptState from, AttemptState to);
bool allowed(MachineState from, MachineState to);

}  // namespace rookdyke
