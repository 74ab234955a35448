#include "daemon/cloud_reconciler.h"

#include <algorithm>
#include <optional>

#include "net/steady_clock.h"

namespace rookdyke {

namespace {

constexpr double kTypesIntervalS = 20;
constexpr double kTypesRetryS = 0.7;
constexpr double kTypesRateLimitWaitS = 1;  // longest wait for the rate limits
// The interval between machine lists, as a share of the time by which the cloud's list lags.
constexpr double kListLagFactor = 0.7;
constexpr double kMinListIntervalS = 2;
// Wait of a follower, and of an unconfirmed leader that has no machine to return.
constexpr double kPassiveIntervalS = 0.7;
// Bounds of a leader's wait when no request is due.
constexpr double kIdleIntervalS = 0.5;
constexpr double kMinIdleIntervalS = 0.05;

}  // namespace

CloudReconciler::CloudReconciler(const Config& config, SharedState& shared,
                                 net::RateLimiter& cloud_limiter,
                                 state::RateLimiters& state_limiters)
    : shared_(shared),
      cloud_(config.cloud, cloud_limiter),
      state_client_(config.state, state_limiters),
      list_interval_s_(std::max(kMinListIntervalS, config.scheduler.list_lag_s * kListLagFactor)) {}

void CloudReconciler::run() {
  while (!shared_.stopping()) {
    const Work work = wait_for_work();
    std::visit([&](const auto& action) { perform(action, work.fencing_token); }, work.action);
  }
}

// Returns the next action. If no request is due, waits before it returns. Checks and waits under
// one lock, so that no wakeup in between is lost.
CloudReconciler::Work CloudReconciler::wait_for_work() {
  auto state = shared_.lock();
  Work work{.action = next_action(*state, steady_now()), .fencing_token = state->fencing_token()};
  if (const Wait* wait = std::get_if<Wait>(&work.action))
    shared_.wait_for(state, shared_.wakeups().cloud, wait->timeout_s);
  return work;
}

CloudReconciler::Action CloudReconciler::next_action(ControllerState& state, double now) {
  const bool may_decide = state.may_decide(now);
  if ((may_decide || !state.machine_types_known()) && now >= next_types_fetch_at_) {
    const bool in_ledger = !state.ledger_cache().types().empty();
    return FetchTypes{.store_in_ledger = may_decide && !in_ledger};
  }
  const bool unconfirmed = !may_decide && state.is_unconfirmed_leader(now);
  if (!may_decide && !unconfirmed) return Wait{kPassiveIntervalS};
  Scheduler& scheduler = *state.scheduler();
  if (auto names = scheduler.next_return(now, unconfirmed); !names.empty())
    return ReturnMachines{std::move(names)};
  if (unconfirmed) return Wait{kPassiveIntervalS};
  if (auto request = scheduler.next_rental_request(now)) return RentMachines{std::move(*request)};
  if (now >= next_list_at_) return ListMachines{};
  return Wait{std::clamp(next_list_at_ - now, kMinIdleIntervalS, kIdleIntervalS)};
}

void CloudReconciler::perform(const Wait& /*action*/, uint64_t /*fencing_token*/) {}

void CloudReconciler::perform(const FetchTypes& action, uint64_t fencing_token) {
  const auto types = cloud_.machine_types();
  bool store = false;
  {
    auto state = shared_.lock();
    next_types_fetch_at_ = steady_now() + (types ? kTypesIntervalS : kTypesRetryS);
    if (!types) return;
    if (Scheduler* scheduler = state->scheduler_of_term(fencing_token))
      scheduler->set_prices(*types);
    state->set_cloud_types(*types);
    shared_.wakeups().election.notify_all();
    store = action.store_in_ledger && state->fencing_token() == fencing_token;
  }
  if (store) store_types(*types, fencing_token);
}

// Writes the types to the ledger unless it holds some already. The outcome is ignored: after a
// failure the leader writes them with a later fetch.
void CloudReconciler::store_types(const std::vector<MachineType>& types, uint64_t fencing_token) {
  ledger::Transaction transaction;
  transaction.conditions = {{ledger::kLeaderKey, fencing_token}, {ledger::kTypesKey, 0}};
  transaction.changes = {{ledger::kTypesKey, false, ledger::encode_types(types), 0}};
  state_client_.commit(transaction, kTypesRateLimitWaitS);
}

void CloudReconciler::perform(const ReturnMachines& action, uint64_t fencing_token) {
  const CloudOutcome outcome = cloud_.return_machines(action.names, may_send(fencing_token));
  auto state = shared_.lock();
  if (Scheduler* scheduler = state->scheduler_of_term(fencing_token))
    scheduler->on_return_result(action.names, outcome, steady_now());
  shared_.wakeups().transactions.notify_all();
}

void CloudReconciler::perform(const RentMachines& action, uint64_t fencing_token) {
  const cloud::Client::RentalResult result = cloud_.rent(action.request, may_send(fencing_token));
  auto state = shared_.lock();
  if (Scheduler* scheduler = state->scheduler_of_term(fencing_token))
    scheduler->on_rental_result(action.request, result.outcome, result.machines, steady_now());
}

void CloudReconciler::perform(const ListMachines& /*action*/, uint64_t fencing_token) {
  const double requested_at = steady_now();
  const auto list = cloud_.list_machines();
  auto state = shared_.lock();
  next_list_at_ = steady_now() + list_interval_s_;
  Scheduler* scheduler = state->scheduler_of_term(fencing_token);
  if (list && scheduler) scheduler->on_machine_list(*list, requested_at, steady_now());
}

cloud::Client::MaySend CloudReconciler::may_send(uint64_t fencing_token) {
  return [this, fencing_token] { return shared_.term_is_current(fencing_token); };
}

}  // namespace rookdyke
