#pragma once
// The states of jobs, attempts and machines, and the allowed transitions. Each state machine has
// one function that changes a state (JobTable::set_state, TaskLifecycle::set_state,
// MachineTable::set_state); it rejects and logs any transition that is not allowed.

#include <cstdint>
#include <string_view>

namespace rookdyke {

// States of a job.
//   open             its tasks may start
//   closing          all tasks are done, but the job's final state is not durable yet
//   done, cancelled  final states, which never change (rule went_back)
enum class JobState : uint8_t { open, closing, done, cancelled };

// States of an attempt.
//   proposed  holds resources in memory; its start is not durable yet
//   placed    its start is durable, so the start command may be sent
//   fetching, gang_waiting, running, checkpointing
//             as reported by the worker, see TaskPhase
//   ended     it is known not to run any more; its removal from the ledger is not durable yet
enum class AttemptState : uint8_t {
  proposed,
  placed,
  fetching,
  gang_waiting,
  running,
  checkpointing,
  ended
};

// States of a machine.
//   booting      its worker has not sent a heartbeat with this leader's fencing token yet
//   ready        accepts tasks
//   draining     accepts no new tasks and is returned once it is empty
//   terminating  is being returned; the request is repeated until the cloud has executed it
//   terminated   has been returned
enum class MachineState : uint8_t { booting, ready, draining, terminating, terminated };

// Names of the states for log lines.
std::string_view to_string(JobState state);
std::string_view to_string(AttemptState state);
std::string_view to_string(MachineState state);

// Whether the transition is allowed. A transition to the same state is allowed only where these
// functions say so.
bool is_transition_allowed(JobState from, JobState to);
bool is_transition_allowed(AttemptState from, AttemptState to);
bool is_transition_allowed(MachineState from, MachineState to);

}  // namespace rookdyke
