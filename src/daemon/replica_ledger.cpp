#include "daemon/replica_ledger.h"

#include <algorithm>

#include "net/steady_clock.h"

namespace rookdyke {

using ledger::Outcome;

namespace {

constexpr size_t kMaxConnections = 4;  // to the state service
// A submission that finds no connection and no budget in this time is more than this replica can
// take: it is refused at once, not when its user would give up anyway.
constexpr double kQueueTimeoutS = 0.9;
constexpr double kShortestTryS = 0.05;
constexpr double kNotificationTimeoutS = 1.2;  // for the leader to learn of a cancellation

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

bool ReplicaLedger::siblings_are_served() const {
  return reachability_.siblings_are_served(steady_now());
}

std::optional<ledger::Result> ReplicaLedger::commit(const ledger::Transaction& transaction,
                                                    double deadline) {
  if (read_barrier_.failing()) return std::nullopt;
  state::ConnectionPool::Connection connection(connections_, kQueueTimeoutS);
  if (!connection) return std::nullopt;
  bool repeat = false;
  while (true) {
    const double left = deadline - steady_now();
    if (left <= kShortestTryS) return std::nullopt;
    const double wait = std::min(left, kQueueTimeoutS);
    const ledger::Result result = repeat ? connection->commit_repeated(transaction, wait)
                                         : connection->commit(transaction, wait);
    if (result.outcome == Outcome::unknown) {
      if (read_barrier_.failing()) return std::nullopt;
      repeat = true;
      continue;
    }
    const bool not_executed =
        result.outcome == Outcome::refused || result.outcome == Outcome::rejected;
    if (not_executed && repeat) return std::nullopt;  // but perhaps an earlier copy was, or will be
    return result;
  }
}

// The one place that decides whether a user may hear "aborted" of a job whose cancellation is
// durable: whoever may answer workers now has to know of it, or it would keep their leases and
// those tasks alive (leadership/cancellations.h).
bool ReplicaLedger::may_confirm_cancelled(const std::string& id, double deadline, uint64_t leader) {
  auto state = shared_.lock();
  const CachedJob* job = state->ledger_cache().job(id);
  if (!job || job->row.status != ledger::JobStatus::cancelled) return false;
  const uint64_t version = job->version;
  CancellationGate& gate = state->cancellation_gate();
  if (gate.is_known(id, version)) return true;
  // This leader's scheduler got the row with the ledger cache. One that was suspended may lead no
  // longer.
  if (state->leads()) {
    const Scheduler* scheduler = state->scheduler();
    const bool known = scheduler && !scheduler->has_lost_leadership() &&
                       state->lease_confirmed(steady_now()) &&
                       state->fencing_token() >= state->known_token();
    if (known) gate.acknowledge(id, version);
    return known;
  }
  const double timeout_s = std::min(deadline - steady_now(), kNotificationTimeoutS);
  return gate.wait_until_known(state.mutex_lock(), id, version, leader, timeout_s, [&] {
    return read_barrier_.failing() || state->ledger_cache().leader().empty();
  });
}

}  // namespace rookdyke
