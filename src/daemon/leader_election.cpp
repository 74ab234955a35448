#include "daemon/leader_election.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <thread>

#include "net/steady_clock.h"

namespace rookdyke {

namespace {

// Lease requests have a shorter timeout than others, because the lease keeps expiring meanwhile.
constexpr double kLeaseTimeoutS = 0.8;
constexpr double kRateLimitWaitS = 0.5;  // for the write rate limit
constexpr double kBarrierTimeoutS = 2;
// Each candidate delays its campaign by a random time up to this, so that not all write at once.
constexpr double kMaxCampaignDelayS = 0.3;
// How often a follower checks the leader key while it is vacant, and while another controller holds
// it.
constexpr double kVacantKeyPollIntervalS = 0.1;
constexpr double kHeldKeyPollIntervalS = 0.5;
constexpr double kMinRenewalIntervalS = 0.02;

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
      random_engine_(std::random_device{}()) {}

void LeaderElection::run() {
  while (!shared_.stopping()) {
    const Snapshot snapshot = take_snapshot();
    if (is_leader(snapshot.role)) {
      lease_held_ = true;
      renew_lease();
    } else if (lease_held_) {
      client_.revoke(lease_);
      lease_held_ = false;
    } else if (snapshot.role == Role::follower && snapshot.vacant && snapshot.machine_types_known) {
      campaign_after_delay();
    }
    wait_for_next_step();
  }
  resign();
}

LeaderElection::Snapshot LeaderElection::take_snapshot() {
  auto state = shared_.lock();
  const double now = steady_now();
  state->end_cooldown_if_over(now);
  Snapshot snapshot;
  snapshot.role = state->role();
  const bool fresh =
      now - reachability_.last_state_service_response_at() < 2 * config_.follower_watch_s + 1;
  snapshot.vacant =
      reachability_.ledger_loaded() && state->ledger_cache().leader().empty() && fresh;
  snapshot.machine_types_known = state->machine_types_known();
  return snapshot;
}

void LeaderElection::wait_for_next_step() {
  auto state = shared_.lock();
  double timeout_s = kHeldKeyPollIntervalS;
  if (state->leads())
    timeout_s = std::max(kMinRenewalIntervalS, next_renewal_at_ - steady_now());
  else if (state->ledger_cache().leader().empty())
    timeout_s = kVacantKeyPollIntervalS;
  shared_.wait_for(state, shared_.wakeups().election, timeout_s);
}

// Sends a lease renewal if one is due.
void LeaderElection::renew_lease() {
  const double sent_at = steady_now();
  if (sent_at < next_renewal_at_) return;
  const state::Client::Renewal outcome = client_.renew(lease_);
  shared_.lock()->on_renewal(outcome, sent_at, steady_now());
  next_renewal_at_ = sent_at + config_.lease_ttl_s / 3;
}

// Campaigns after a random delay, if there is still no leader then.
void LeaderElection::campaign_after_delay() {
  std::uniform_real_distribution<double> delay(0.0, kMaxCampaignDelayS);
  std::this_thread::sleep_for(std::chrono::duration<double>(delay(random_engine_)));
  const bool campaigning = shared_.lock()->begin_campaign();
  if (campaigning && !campaign()) shared_.lock()->abandon_campaign("not elected");
  next_renewal_at_ = 0;
}

// Returns whether this controller leads now.
bool LeaderElection::campaign() {
  const std::optional<LeaderKey> key = acquire_leader_key();
  return key && take_leadership(*key);
}

// Writes the leader key under a new lease, on condition that the key does not exist. On failure,
// revokes the lease and returns empty.
std::optional<LeaderElection::LeaderKey> LeaderElection::acquire_leader_key() {
  const double requested_at = steady_now();
  const auto lease = client_.grant(config_.lease_ttl_s);
  if (!lease) return std::nullopt;
  ledger::Transaction transaction;
  transaction.transaction_id = ids_.next();
  transaction.conditions = {{ledger::kLeaderKey, 0}};
  transaction.changes = {{ledger::kLeaderKey,
                          false,
                          {{"label", config_.scheduler.label}, {"w", transaction.transaction_id}},
                          *lease}};
  ledger::Result result = client_.commit(transaction, kRateLimitWaitS);
  if (result.outcome == ledger::Outcome::indeterminate)
    result = client_.commit_resent(transaction, kRateLimitWaitS);
  // All of a predecessor's commits precede this key, so after the barrier the ledger cache has
  // them.
  if (result.outcome != ledger::Outcome::applied || !read_barrier_.wait(kBarrierTimeoutS)) {
    client_.revoke(*lease);  // also deletes the key, if the write was applied
    return std::nullopt;
  }
  return LeaderKey{*lease, result.revision, requested_at};
}

// Starts this controller's term under a key that was written, unless the lease has expired or the
// ledger cache shows another key.
bool LeaderElection::take_leadership(const LeaderKey& key) {
  auto state = shared_.lock();
  lease_ = key.lease;
  const uint64_t ledger_key_revision = state->ledger_cache().leader_version();
  if (!state->machine_types_known() || ledger_key_revision != key.revision) {
    spdlog::warn(
        "elected but unable to lead: machine types {}, leader key revision {}, expected {}",
        state->machine_types_known() ? "known" : "unknown", ledger_key_revision, key.revision);
    state->abandon_campaign("unable to lead");
    lease_held_ = true;
    return false;
  }
  const double now = steady_now();
  state->check_for_stall(now);
  state->on_lease_granted(key.requested_at);
  if (!state->is_lease_unexpired(now)) {
    // The election took too long or the process was suspended: another controller may lead by now.
    state->abandon_campaign("lease expired during the election");
    lease_held_ = true;
    return false;
  }
  state->become_leader(key.revision, now);
  return true;
}

// Drops the lease when the controller stops, so that the peers need not wait until it expires.
void LeaderElection::resign() {
  bool was_leader = false;
  {
    auto state = shared_.lock();
    was_leader = state->leads();
    if (was_leader) state->step_down(Role::follower, "stopping");
  }
  if (was_leader) client_.revoke(lease_);
}

}  // namespace rookdyke
