#pragma once
// Sends the scheduler's direct commands to workers: those that do not wait for the worker's next
// heartbeat. Reports their results to the scheduler of the same term.

#include <cstdint>
#include <optional>

#include "daemon/shared_state.h"

namespace rookdyke {

class CommandDispatcher {
 public:
  // Must outlive this object.
  explicit CommandDispatcher(SharedState& shared) : shared_(shared) {}

  // The loop of each of its threads; returns after SharedState::stop. Thread-safe.
  void run();

 private:
  struct Work {
    DirectCommand command;
    uint64_t fencing_token = 0;  // of the term that it belongs to
  };
  struct Result {
    bool answered = false;  // executed or refused: nothing of it will be executed later
    bool sent = true;       // false: withheld, because the term may be over
    std::optional<Heartbeat> heartbeat;
  };

  std::optional<Work> wait_for_work();
  Result send(const Work& work);
  void report(const Work& work, const Result& result);

  SharedState& shared_;
};

}  // namespace rookdyke
