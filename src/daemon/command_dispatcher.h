#pragma once
// Sends the scheduler's direct commands to workers: commands sent on a connection of the leader's
// own instead of in a heartbeat reply. Reports their results to the scheduler if the term still
// runs.

#include <cstdint>
#include <optional>

#include "daemon/shared_state.h"

namespace rookdyke {

class CommandDispatcher {
 public:
  // `shared` must outlive this object.
  explicit CommandDispatcher(SharedState& shared) : shared_(shared) {}

  // The loop of each of its threads; returns after SharedState::stop. Thread-safe.
  void run();

 private:
  struct Work {
    DirectCommand command;
    uint64_t fencing_token = 0;  // of the term in which the command was issued
  };
  struct Result {
    // The worker executed or refused the command, or never received it: it is not executed later.
    bool outcome_known = false;
    bool sent = true;                    // false: withheld because the term is no longer confirmed
    std::optional<Heartbeat> heartbeat;  // the worker's state, if the response carries it
  };

  std::optional<Work> wait_for_work();
  Result send(const Work& work);
  void report(const Work& work, const Result& result);

  SharedState& shared_;
};

}  // namespace rookdyke
