#pragma once
// Keeps the ledger cache up to date: loads all rows, then polls the state service's watch for
// changes, and completes read barriers. The watch requests have a hold time of 0: the state service
// responds at once with the current revision and all changes up to it. Each response therefore
// completes the barrier of every caller that was waiting when the request was sent.

#include <cstdint>

#include "config/config.h"
#include "daemon/reachability.h"
#include "daemon/read_barrier.h"
#include "daemon/shared_state.h"
#include "state/client.h"

namespace rookdyke {

class LedgerWatcher {
 public:
  // All arguments must outlive this object.
  LedgerWatcher(const Config& config, SharedState& shared, state::RateLimiters& limiters,
                ReadBarrier& read_barrier, Reachability& reachability);

  // The thread's loop; returns after SharedState::stop and ReadBarrier::stop.
  void run();

 private:
  void wait_for_next_read();
  void read_and_watch(ReadBarrier::ReadId read);
  bool reload_if_needed();
  bool reload();
  void apply_changes(const wire::Rows& changes, double sent_at);

  const Config& config_;
  SharedState& shared_;
  ReadBarrier& read_barrier_;
  Reachability& reachability_;
  state::Client client_;

  uint64_t revision_ = 0;        // the ledger cache contains all changes up to it
  bool loaded_ = false;          // all rows were read; false requests a reload
  double last_read_at_ = 0;      // start of the last read
  double last_response_at_ = 0;  // the last response to a watch
};

}  // namespace rookdyke
