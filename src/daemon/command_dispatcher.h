#pragma once
// Sends the scheduler's direct commands to workers. Direct commands are sent on a connection that
// the leader opens, not in a heartbeat reply. Their results are passed to the scheduler if the term
// has not ended.

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
    DirectCommand call;
    uint64_t fencing_token = 0;  // of the term in which the call was requested
  };
  struct Result {
    // The worker executed or refused the commands, or never received them: they are not executed
    // later.
    bool outcome_known = false;
    bool sent = true;  // false only if the term has ended or its lease state is not current
    std::optional<Heartbeat> heartbeat;  // the worker's state, if the response carries it
  };

  std::optional<Work> wait_for_work();
  Result send(const Work& work);
  void report(const Work& work, const Result& result);

  SharedState& shared_;
};

}  // namespace rookdyke
