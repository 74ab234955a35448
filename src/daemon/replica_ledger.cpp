#include "daemon/replica_ledger.h"

#include <algorithm>

#include "net/steady_clock.h"

namespace rookdyke {

using ledger::Outcome;

namespace {

constexpr size_t kMaxConnections = 4;  // to the state service
// Longest wait for a connection, and for each attempt to send under the rate limits. A request that
// waits longer exceeds this controller's capacity; it is refused before it times out at the user.
constexpr double kQueueTimeoutS = 0.9;
constexpr double kMinCommitTimeS = 0.05;
constexpr double kNotificationTimeoutS = 1.2;  // to notify the leader of a cancellation

}  // namespace

ReplicaLedger::ReplicaLedger(const Config& config, SharedState& shared,
                             state::RateLimiters& limiters, ReadBarrier& read_barrier,
                             const Reachability& reachability, TransactionIds& ids)
    : shared_(shared),
      read_barrier_(read_barrier),
      reachability_(reachability),
      ids_(ids),
      connections_(config.state, limiters, kMaxConnections) {}

bool ReplicaLedger::wait_for_barrier(double timeout_s) { return read_barrier_.wait(timeout_s); }

void ReplicaLedger::read(const std::function<void(const LedgerCache&)>& callback) const {
  auto state = shared_.lock();
  callback(state->ledger_cache());
}

std::vector<MachineType> ReplicaLedger::machine_types() const {
  std::vector<MachineType> types = shared_.lock()->machine_types();
  if (!reachability_.ledger_loaded()) types.clear();
  return types;
}

std::string ReplicaLedger::new_transaction_id() { return ids_.next(); }

void ReplicaLedger::apply_committed(const wire::Row& row) { shared_.lock()->apply(row); }

bool ReplicaLedger::peers_reach_state_service() const {
  return reachability_.peers_reach_state_service(steady_now());
}

std::optional<ledger::Result> ReplicaLedger::commit(const ledger::Transaction& transaction,
                                                    double deadline) {
  if (read_barrier_.failing()) return std::nullopt;
  state::ConnectionPool::Connection connection(connections_, kQueueTimeoutS);
  if (!connection) return std::nullopt;
  bool resend = false;
  while (true) {
    const double remaining_s = deadline - steady_now();
    if (remaining_s <= kMinCommitTimeS) return std::nullopt;
    const double wait_s = std::min(remaining_s, kQueueTimeoutS);
    const ledger::Result result = resend ? connection->commit_resent(transaction, wait_s)
                                         : connection->commit(transaction, wait_s);
    if (result.outcome == Outcome::indeterminate) {
      if (read_barrier_.failing()) return std::nullopt;
      resend = true;
      continue;
    }
    const bool not_executed =
        result.outcome == Outcome::not_executed || result.outcome == Outcome::rejected;
    if (not_executed && resend)
      return std::nullopt;  // indeterminate: an earlier copy may be applied
    return result;
  }
}

// Decides whether "aborted" may be reported to users for a job whose cancellation is durable; no
// other code decides this. Any controller that may reply to heartbeats has to know the
// cancellation, because otherwise it would keep the workers' leases and the job's tasks alive
// (leadership/cancellations.h).
bool ReplicaLedger::may_confirm_cancellation(const std::string& id, double deadline,
                                             uint64_t leader_token) {
  auto state = shared_.lock();
  const CachedJob* job = state->ledger_cache().job(id);
  if (!job || job->row.status != ledger::JobStatus::cancelled) return false;
  const uint64_t version = job->version;
  CancellationGate& gate = state->cancellation_gate();
  if (gate.is_known(id, version)) return true;
  // A leader's scheduler received the row through the ledger cache. The lease state must be
  // current, because this controller may have lost leadership while the process was suspended.
  if (state->leads()) {
    const Scheduler* scheduler = state->scheduler();
    const bool known = scheduler && !scheduler->has_lost_leadership() &&
                       state->lease_state_is_current(steady_now()) &&
                       state->fencing_token() >= state->known_token();
    if (known) gate.acknowledge(id, version);
    return known;
  }
  const double timeout_s = std::min(deadline - steady_now(), kNotificationTimeoutS);
  return gate.wait_until_known(state.mutex_lock(), id, version, leader_token, timeout_s, [&] {
    return read_barrier_.failing() || state->ledger_cache().leader().empty();
  });
}

}  // namespace rookdyke
