#pragma once
// What the parts of placement pass to each other within one round of decisions. A round object is
// made by Placement and lives no longer than the round.

#include <cstddef>
#include <cstdint>

namespace rookdyke {

struct PlacementRound {
  double now = 0;             // in seconds, on the leader's steady clock
  int budget = 0;             // tasks that may still be started; negative after a large gang
  size_t ready_machines = 0;  // in the state `ready`, whether or not they take work
  bool may_preempt = false;   // preemption and machine reservations are due
};

// How an attempt to place a job's waiting tasks ended. Only a lack of machines is a reason to
// preempt others.
enum class PlacementOutcome : uint8_t {
  placed,         // nothing of the job waits any more
  held_back,      // by the round's budget, its team's limit, or its own state
  lacks_machines  // tasks wait that no machine has room for
};

enum class ImageLocality : uint8_t {
  preferred,  // any machine; one that has the image scores better
  required    // only a machine that has the image
};

}  // namespace rookdyke
