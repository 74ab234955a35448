#include "daemon/leader_election.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <thread>

#include "net/steady_clock.h"

namespace rookdyke {

namespace {

// Requests about the lease are given up sooner than others: the lease does not wait.
constexpr double kLeaseTimeoutS = 0.8;
constexpr double kKeyWriteWaitS = 0.5;  // for the budget of changes
constexpr double kBarrierTimeoutS = 2;
// Candidates wait up to this long before they try, so that not all try at once.
constexpr double kCampaignJitterS = 0.3;
// The leader key is looked at this often while nobody holds it, and while somebody does.
constexpr double kVacantIntervalS = 0.1;
constexpr double kLedIntervalS = 0.5;
constexpr double kShortestGapS = 0.02;  // between two renewals

}  // namespace

LeaderElection::LeaderElection(const Config& config, SharedState& shared,
                               state::RateLimiters& limiters, ReadBarrier& read_barrier,
                               const Reachability& reachability, TransactionIds& ids)
    : config_(config),
      shared_(shared),
      read_barrier_(read_barrier),
      reachability_(reachability),
      ids_(ids),
      client_(config.state, limiters, kLeaseTimeoutS),
      random_(std::random_device{}()) {}

void LeaderElection::run() {
  while (!shared_.stopping()) {
    const View seen = view();
    if (is_leader(seen.role)) {
      lease_held_ = true;
      renew_lease();
    } else if (lease_held_) {
      client_.drop(lease_);
      lease_held_ = false;
    } else if (seen.role == Role::follower && seen.vacant && seen.types_known) {
      run_for_leader();
    }
    wait_for_next_step();
  }
  resign();
}

LeaderElection::View LeaderElection::view() {
  auto state = shared_.lock();
  const double now = steady_now();
  state->end_cooldown_if_over(now);
  View seen;
  seen.role = state->role();
  const bool fresh =
      now - reachability_.last_state_service_response_at() < 2 * config_.follower_watch_s + 1;
  seen.vacant = reachability_.ledger_loaded() && state->ledger_cache().leader().empty() && fresh;
  seen.types_known = state->machine_types_known();
  return seen;
}

void LeaderElection::wait_for_next_step() {
  auto state = shared_.lock();
  double longest_s = kLedIntervalS;
  if (state->leads())
    longest_s = std::max(kShortestGapS, next_renewal_ - steady_now());
  else if (state->ledger_cache().leader().empty())
    longest_s = kVacantIntervalS;
  shared_.wait_for(state, shared_.wakeups().election, longest_s);
}

// Does nothing before the renewal is due.
void LeaderElection::renew_lease() {
  const double sent = steady_now();
  if (sent < next_renewal_) return;
  const state::Client::Renewal outcome = client_.renew(lease_);
  shared_.lock()->on_renewal(outcome, sent, steady_now());
  next_renewal_ = sent + config_.lease_ttl_s / 3;
}

// Campaigns after a random delay, if still nobody leads.
void LeaderElection::run_for_leader() {
  std::uniform_real_distribution<double> jitter(0.0, kCampaignJitterS);
  std::this_thread::sleep_for(std::chrono::duration<double>(jitter(random_)));
  const bool candidate = shared_.lock()->begin_campaign();
  if (candidate && !campaign()) shared_.lock()->abandon_campaign("not elected");
  next_renewal_ = 0;
}

// Whether this controller leads now.
bool LeaderElection::campaign() {
  const std::optional<LeaderKey> key = acquire_key();
  return key && take_leadership(*key);
}

// Writes the leader key under a new lease, if there is no such key. Empty: it failed, and the lease
// is dropped.
std::optional<LeaderElection::LeaderKey> LeaderElection::acquire_key() {
  const double granted = steady_now();
  const auto lease = client_.grant(config_.lease_ttl_s);
  if (!lease) return std::nullopt;
  ledger::Transaction transaction;
  transaction.transaction_id = ids_.next();
  transaction.conditions = {{ledger::kLeaderKey, 0}};
  transaction.changes = {{ledger::kLeaderKey,
                          false,
                          {{"label", config_.scheduler.label}, {"w", transaction.transaction_id}},
                          *lease}};
  ledger::Result result = client_.commit(transaction, kKeyWriteWaitS);
  if (result.outcome == ledger::Outcome::unknown)
    result = client_.commit_repeated(transaction, kKeyWriteWaitS);
  // Everything that a predecessor committed lies before this key; the barrier brings it here.
  if (result.outcome != ledger::Outcome::applied || !read_barrier_.wait(kBarrierTimeoutS)) {
    client_.drop(*lease);  // whatever became of the write, the key goes with its lease
    return std::nullopt;
  }
  return LeaderKey{*lease, result.revision, granted};
}

// Leads under a key that was written, unless that came too late or the ledger shows another.
bool LeaderElection::take_leadership(const LeaderKey& key) {
  auto state = shared_.lock();
  lease_ = key.lease;
  const uint64_t key_in_ledger = state->ledger_cache().leader_version();
  if (!state->machine_types_known() || key_in_ledger != key.revision) {
    spdlog::warn("elected but not able to lead: machine types {}, leader key {} of {}",
                 state->machine_types_known() ? "known" : "unknown", key_in_ledger, key.revision);
    state->abandon_campaign("not able to lead");
    lease_held_ = true;
    return false;
  }
  const double now = steady_now();
  state->notice_stall(now);
  state->on_lease_granted(key.granted);
  if (!state->lease_runs(now)) {
    // It took too long, or the process was suspended: another may lead by now.
    state->abandon_campaign("elected too late");
    lease_held_ = true;
    return false;
  }
  state->become_leader(key.revision, now);
  return true;
}

// When the process ends: others need not wait for the lease's end.
void LeaderElection::resign() {
  bool led = false;
  {
    auto state = shared_.lock();
    led = state->leads();
    if (led) state->step_down(Role::follower, "stopping");
  }
  if (led) client_.drop(lease_);
}

}  // namespace rookdyke
