#pragma once
// Types that the classes of placement exchange within one scheduling round. Placement creates a
// PlacementRound at the start of each round; it is not kept beyond the round.

#include <cstddef>
#include <cstdint>

namespace rookdyke {

struct PlacementRound {
  double now = 0;               // seconds on the leader's steady clock
  int budget = 0;               // tasks that may still be started; negative after a large gang
  size_t ready_machines = 0;    // machines in state `ready`, including those that accept no tasks
  bool preemption_due = false;  // whether this round may preempt tasks and reserve machines
};

// Result of placing a job's waiting tasks. Only insufficient_capacity justifies preemption.
enum class PlacementOutcome : uint8_t {
  placed,                // the job has no waiting tasks left
  limited,               // by the round's budget, the team's limit, or the state of the job
  insufficient_capacity  // no machine has enough free capacity for the tasks that still wait
};

enum class ImageLocality : uint8_t {
  preferred,  // any machine; a machine that has the image scores better
  required    // only machines that have the image
};

}  // namespace rookdyke
