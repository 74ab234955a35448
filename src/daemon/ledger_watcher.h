#pragma once
// Follows the ledger: reads it, keeps the ledger cache up to date by watches, and answers the read
// barriers. A watch that holds nothing back is a read of the current revision and of all changes
// up to it in one request: each is a barrier for every caller that waited when it was sent.

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
  void read_and_watch(ReadBarrier::Read read);
  bool read_rows_if_needed();
  bool reload();
  void apply_changes(const wire::Rows& changes, double sent);

  const Config& config_;
  SharedState& shared_;
  ReadBarrier& read_barrier_;
  Reachability& reachability_;
  state::Client client_;

  uint64_t revision_ = 0;   // the ledger cache holds all changes up to here
  bool loaded_ = false;     // all rows were read; only changes are missing
  double read_at_ = 0;      // the last read was begun
  double answered_at_ = 0;  // a watch was answered last
};

}  // namespace rookdyke
