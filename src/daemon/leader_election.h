#pragma once
// Campaigns for the leader key, renews its lease, and gives it up when the controller stops or no
// longer leads. The key hangs on the lease: it goes when the lease ends. The transitions of the
// role that follow are those of ControllerState.

#include <cstdint>
#include <optional>
#include <random>

#include "config/config.h"
#include "daemon/reachability.h"
#include "daemon/read_barrier.h"
#include "daemon/shared_state.h"
#include "daemon/transaction_ids.h"
#include "state/client.h"

namespace rookdyke {

class LeaderElection {
 public:
  // All arguments must outlive this object.
  LeaderElection(const Config& config, SharedState& shared, state::RateLimiters& limiters,
                 ReadBarrier& read_barrier, const Reachability& reachability, TransactionIds& ids);

  // The thread's loop; returns after SharedState::stop, having resigned.
  void run();

 private:
  // What one step is decided on, seen under one lock.
  struct View {
    Role role = Role::follower;
    bool vacant = false;       // nobody holds the leader key, by a fresh read of the ledger
    bool types_known = false;  // the machine types, without which nobody can lead
  };
  // A lease and the leader key written under it.
  struct LeaderKey {
    uint64_t lease = 0;
    uint64_t revision = 0;  // of the key: the fencing token
    double granted = 0;     // the lease was asked for; its time runs from here at the earliest
  };

  View view();
  void wait_for_next_step();
  void renew_lease();
  void run_for_leader();
  bool campaign();
  std::optional<LeaderKey> acquire_key();
  bool take_leadership(const LeaderKey& key);
  void resign();

  const Config& config_;
  SharedState& shared_;
  ReadBarrier& read_barrier_;
  const Reachability& reachability_;
  TransactionIds& ids_;
  state::Client client_;

  std::mt19937 random_;
  uint64_t lease_ = 0;       // that of the latest leader key
  bool lease_held_ = false;  // to be dropped once this controller no longer leads
  double next_renewal_ = 0;
};

}  // namespace rookdyke
