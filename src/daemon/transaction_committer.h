#pragma once
// Commits the scheduler's transactions to the state service, one at a time, and passes their
// results to the scheduler of the same term.

#include <cstdint>
#include <optional>

#include "config/config.h"
#include "daemon/reachability.h"
#include "daemon/shared_state.h"
#include "state/client.h"

namespace rookdyke {

class TransactionCommitter {
 public:
  // All arguments must outlive this object.
  TransactionCommitter(const Config& config, SharedState& shared, state::RateLimiters& limiters,
                       Reachability& reachability);

  // The thread's loop; returns after SharedState::stop.
  void run();

 private:
  struct Work {
    PendingTransaction pending;
    uint64_t fencing_token = 0;  // of the term that the transaction belongs to
  };

  std::optional<Work> wait_for_work();
  void commit(const Work& work);

  SharedState& shared_;
  state::RateLimiters& limiters_;
  Reachability& reachability_;
  state::Client client_;
};

}  // namespace rookdyke
