#include "daemon/transaction_committer.h"

#include "net/steady_clock.h"

namespace rookdyke {

namespace {

constexpr double kCommitWaitS = 2;  // for the budget of requests and changes
constexpr double kIdleIntervalS = 0.5;
constexpr double kRetryS = 0.1;             // after a transaction without an outcome
constexpr double kNegligibleWaitS = 0.002;  // for the budget of changes

}  // namespace

TransactionCommitter::TransactionCommitter(const Config& config, SharedState& shared,
                                           state::RateLimiters& limiters,
                                           Reachability& reachability)
    : shared_(shared),
      limiters_(limiters),
      reachability_(reachability),
      client_(config.state, limiters) {}

void TransactionCommitter::run() {
  while (!shared_.stopping())
    if (const std::optional<Work> work = wait_for_work()) commit(*work);
}

// The next transaction; empty after a wait for one. It is put together only when the budget of
// changes lets it go out: what comes up until then becomes part of it.
std::optional<TransactionCommitter::Work> TransactionCommitter::wait_for_work() {
  auto state = shared_.lock();
  if (const double wait = limiters_.writes.wait_for(1); wait > kNegligibleWaitS) {
    shared_.wait_for(state, shared_.wakeups().transactions, wait);
    return std::nullopt;
  }
  std::optional<PendingTransaction> pending;
  if (state->may_decide(steady_now()))
    pending = state->scheduler()->next_transaction(
        steady_now(), static_cast<size_t>(limiters_.writes.available()));
  if (!pending) {
    shared_.wait_for(state, shared_.wakeups().transactions, kIdleIntervalS);
    return std::nullopt;
  }
  return Work{std::move(*pending), state->fencing_token()};
}

void TransactionCommitter::commit(const Work& work) {
  const PendingTransaction& pending = work.pending;
  const ledger::Result result = pending.repeat ? client_.commit_repeated(pending.txn, kCommitWaitS)
                                               : client_.commit(pending.txn, kCommitWaitS);
  auto state = shared_.lock();
  if (result.outcome == ledger::Outcome::applied)
    reachability_.on_state_service_response(steady_now());
  if (Scheduler* scheduler = state->scheduler_of_term(work.fencing_token)) {
    scheduler->on_result(pending.id, result, steady_now());
    if (scheduler->uses_lowered_limits() && !state->sizes_lowered()) {
      state->on_sizes_lowered();
      shared_.wakeups().peers.notify_all();  // the siblings are to learn it
    }
  }
  shared_.wakeups().commands.notify_one();
  if (result.outcome == ledger::Outcome::refused || result.outcome == ledger::Outcome::unknown)
    shared_.wait_for(state, shared_.wakeups().transactions, kRetryS);
}

}  // namespace rookdyke
