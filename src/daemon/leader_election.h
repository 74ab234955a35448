#pragma once
// Campaigns for the leader key, renews its lease, and drops the lease when the controller stops or
// no longer leads. The state service deletes the key when its lease ends. ControllerState performs
// the resulting role transitions.

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

  // The thread's loop. Resigns and returns after SharedState::stop.
  void run();

 private:
  // The state that one iteration of the loop acts on, read under one lock.
  struct Snapshot {
    Role role = Role::follower;
    bool vacant = false;               // a recent read of the ledger shows no leader key
    bool machine_types_known = false;  // machine types are required to lead
  };
  // A lease and the leader key that was written under it.
  struct LeaderKey {
    uint64_t lease = 0;
    uint64_t revision = 0;    // of the key; it is the fencing token
    double requested_at = 0;  // when the lease was requested, before its TTL began
  };

  Snapshot take_snapshot();
  void wait_for_next_step();
  void renew_lease();
  void campaign_after_delay();
  bool campaign();
  std::optional<LeaderKey> acquire_leader_key();
  bool take_leadership(const LeaderKey& key);
  void resign();

  const Config& config_;
  SharedState& shared_;
  ReadBarrier& read_barrier_;
  const Reachability& reachability_;
  TransactionIds& ids_;
  state::Client client_;

  std::mt19937 random_engine_;
  uint64_t lease_ = 0;       // of the last leader key written
  bool lease_held_ = false;  // `lease_` must be dropped once this controller no longer leads
  double next_renewal_at_ = 0;
};

}  // namespace rookdyke
