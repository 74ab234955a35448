#pragma once
// The JobLedger of this controller: serves the reads of users' requests from the ledger cache, and
// commits their transactions to the state service.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "api/user_api.h"
#include "daemon/reachability.h"
#include "daemon/read_barrier.h"
#include "daemon/shared_state.h"
#include "daemon/transaction_ids.h"
#include "state/connection_pool.h"

namespace rookdyke {

// Thread-safe.
class ReplicaLedger : public JobLedger {
 public:
  // All arguments must outlive this object.
  ReplicaLedger(const Config& config, SharedState& shared, state::RateLimiters& limiters,
                ReadBarrier& read_barrier, const Reachability& reachability, TransactionIds& ids);

  bool wait_for_barrier(double timeout_s) override;
  void read(const std::function<void(const LedgerCache&)>& callback) const override;
  std::vector<MachineType> machine_types() const override;
  std::string new_transaction_id() override;
  std::optional<ledger::Result> commit(const ledger::Transaction& transaction,
                                       double deadline) override;
  void apply_committed(const wire::Row& row) override;
  bool may_confirm_cancellation(const std::string& job, double deadline,
                                uint64_t leader_token) override;
  bool peers_reach_state_service() const override;

 private:
  SharedState& shared_;
  ReadBarrier& read_barrier_;
  const Reachability& reachability_;
  TransactionIds& ids_;
  state::ConnectionPool connections_;
};

}  // namespace rookdyke
