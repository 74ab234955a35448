#include "daemon/transaction_committer.h"

#include "net/steady_clock.h"

namespace rookdyke {

namespace {

constexpr double kRateLimitWaitS = 2;  // for the request and write rate limits
constexpr double kIdleIntervalS = 0.5;
constexpr double kRetryDelayS = 0.1;        // after a refused or indeterminate transaction
constexpr double kNegligibleWaitS = 0.002;  // for the write rate limit

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

// Returns the next transaction, or empty after waiting for one. The transaction is assembled only
// when the write rate limit admits it, so that it includes all changes made until then.
std::optional<TransactionCommitter::Work> TransactionCommitter::wait_for_work() {
  auto state = shared_.lock();
  if (const double wait_s = limiters_.writes.wait_time_s(1); wait_s > kNegligibleWaitS) {
    shared_.wait_for(state, shared_.wakeups().transactions, wait_s);
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
  const ledger::Result result = pending.resend
                                    ? client_.commit_resent(pending.transaction, kRateLimitWaitS)
                                    : client_.commit(pending.transaction, kRateLimitWaitS);
  auto state = shared_.lock();
  if (result.outcome == ledger::Outcome::applied)
    reachability_.on_state_service_response(steady_now());
  if (Scheduler* scheduler = state->scheduler_of_term(work.fencing_token)) {
    scheduler->on_result(pending.id, result, steady_now());
    if (scheduler->uses_lowered_limits() && !state->size_limits_lowered()) {
      state->record_lowered_size_limits();
      shared_.wakeups().peers.notify_all();  // to report it to the peer controllers
    }
  }
  shared_.wakeups().commands.notify_one();
  if (result.outcome == ledger::Outcome::not_executed ||
      result.outcome == ledger::Outcome::indeterminate)
    shared_.wait_for(state, shared_.wakeups().transactions, kRetryDelayS);
}

}  // namespace rookdyke
