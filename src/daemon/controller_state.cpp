#include "daemon/controller_state.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>

#include "net/steady_clock.h"

namespace rookdyke {

namespace {

constexpr double kCooldownS = 12;
// The leader's share of the cloud's rate limit, and the share that the followers divide.
constexpr double kLeaderCloudShare = 0.7;
constexpr double kFollowersCloudShare = 0.25;
// The share of a rate limit that all controllers together use.
constexpr double kTotalShare = 0.95;
// Limit on how long an unconfirmed leader keeps its workers' leases alive. It exceeds every outage
// that the service is designed to survive, and bounds the leadership of a partitioned leader.
constexpr double kMaxUnconfirmedS = 60;
// An unconfirmed leader without contact to any peer controller for this long is more likely
// partitioned than affected by an outage: it leaves its workers to the leader that the peers elect.
constexpr double kIsolationTimeoutS = 5;
constexpr double kReadRevisionPublishIntervalS = 0.6;

std::vector<std::string> labels_of(const std::vector<PeerController>& peers) {
  std::vector<std::string> labels;
  labels.reserve(peers.size());
  for (const PeerController& peer : peers) labels.push_back(peer.label);
  return labels;
}

double seconds_since_epoch() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace

ControllerState::ControllerState(const Config& config, state::RateLimiters& state_limiters,
                                 net::RateLimiter& cloud_limiter, const Reachability& reachability,
                                 Wakeups& wakeups)
    : config_(config),
      state_limiters_(state_limiters),
      cloud_limiter_(cloud_limiter),
      reachability_(reachability),
      wakeups_(wakeups),
      write_share_(config.scheduler.label, labels_of(config.peers), config.nodes,
                   config.write_rps) {}

// ---------------------------------------------------------------- role

void ControllerState::start(double now) {
  lease_clock_ = LeaseClock(now);
  cancellation_staleness_ = config_.nodes == 1 ? CancellationStaleness::of_only_controller()
                                               : CancellationStaleness(labels_of(config_.peers));
  set_role(Role::follower, "start");
}

void ControllerState::set_role(Role to, const std::string& reason) {
  if (role_ != to || to == Role::follower)
    spdlog::info("role: {} -> {} ({})", to_string(role_), to_string(to), reason);
  role_ = to;
  const int followers = config_.nodes - 1;
  const bool has_leader_share = leads() || to == Role::campaigning;
  const double request_share = followers == 0     ? kTotalShare
                               : has_leader_share ? kLeaderRequestShare
                                                  : (kTotalShare - kLeaderRequestShare) / followers;
  const double cloud_share = followers == 0     ? kTotalShare
                             : has_leader_share ? kLeaderCloudShare
                                                : kFollowersCloudShare / followers;
  state_limiters_.requests.set_share(request_share);
  update_write_share(steady_now());
  cloud_limiter_.set_share(cloud_share);
}

void ControllerState::end_cooldown_if_over(double now) {
  if (role_ == Role::cooldown && now >= cooldown_until_)
    set_role(Role::follower, "cooldown is over");
}

bool ControllerState::begin_campaign() {
  if (role_ != Role::follower || !ledger_cache_.leader().empty()) return false;
  set_role(Role::campaigning, "there is no leader");
  return true;
}

void ControllerState::abandon_campaign(const std::string& reason) {
  if (role_ == Role::campaigning) set_role(Role::follower, reason);
}

void ControllerState::become_leader(uint64_t fencing_token, double now) {
  fencing_token_ = fencing_token;
  scheduler_ = std::make_unique<Scheduler>(config_.scheduler, machine_types(), fencing_token_, now);
  scheduler_->set_time_of_day_offset(seconds_since_epoch() - now);
  if (size_limits_lowered_) scheduler_->apply_lowered_limits();
  scheduler_->load(ledger_cache_, now);
  if (image_locations_token_ > 0) scheduler_->load_image_locations(image_locations_, now);
  update_known_token(fencing_token_);
  known_leader_ = config_.scheduler.label;
  set_role(Role::leading, "elected with token " + std::to_string(fencing_token_));
  wakeups_.peers.notify_all();
  wakeups_.scheduling.notify_all();
  wakeups_.cloud.notify_all();
}

void ControllerState::on_renewal(state::Client::Renewal outcome, double sent_at, double now) {
  check_for_stall(now);
  lease_clock_.on_renewal_attempted(sent_at);
  if (!leads()) return;
  if (outcome == state::Client::Renewal::renewed) {
    lease_clock_.on_renewed(sent_at);
    cancellation_staleness_.advance_to(sent_at);
    if (role_ == Role::unconfirmed) set_role(Role::leading, "the lease is renewed");
  } else if (outcome == state::Client::Renewal::ended) {
    step_down(Role::follower, "the lease ended");
  } else if (!is_lease_unexpired(now)) {
    if (role_ == Role::leading) set_role(Role::unconfirmed, "the lease could not be renewed");
    if (now - lease_clock_.renewed_at() > kMaxUnconfirmedS)
      step_down(Role::follower, "lease renewals failed for too long");
  }
}

void ControllerState::step_down(Role to, const std::string& reason) {
  scheduler_.reset();
  fencing_token_ = 0;
  if (to == Role::cooldown) cooldown_until_ = steady_now() + kCooldownS;
  set_role(to, reason);
  wakeups_.election.notify_all();
}

Scheduler* ControllerState::scheduler_of_term(uint64_t fencing_token) {
  return fencing_token_ == fencing_token ? scheduler_.get() : nullptr;
}

// ---------------------------------------------------------------- lease

void ControllerState::check_for_stall(double now) {
  const double stall_s = lease_clock_.detect_stall(now);
  if (stall_s <= 0) return;
  spdlog::warn("this process was suspended for {:.1f} s", stall_s);
  // Heartbeats and views that did not arrive during the suspension do not count as missed.
  if (scheduler_) scheduler_->on_process_stall(stall_s, now);
  last_peer_contact_ = std::min(now, last_peer_contact_ + stall_s);
  wakeups_.election.notify_all();
}

bool ControllerState::is_lease_unexpired(double now) const {
  return lease_clock_.is_unexpired(now, config_.lease_ttl_s);
}

bool ControllerState::lease_state_is_current(double now) {
  check_for_stall(now);
  return leads() && lease_clock_.lease_state_is_current(now, config_.lease_ttl_s);
}

bool ControllerState::may_decide(double now) {
  return role_ == Role::leading && scheduler_ && lease_state_is_current(now);
}

bool ControllerState::is_unconfirmed_leader(double now) {
  return role_ == Role::unconfirmed && scheduler_ && lease_state_is_current(now);
}

// ---------------------------------------------------------------- ledger

void ControllerState::apply(const wire::Row& row) {
  if (row.deleted) {
    ledger_cache_.erase(row.key, row.version);
    return;
  }
  ledger_cache_.put(row.key, row.value, row.version);
  if (!scheduler_) return;
  static const std::string prefix = ledger::kJobPrefix;
  if (row.key.compare(0, prefix.size(), prefix) != 0) return;
  const std::string id = row.key.substr(prefix.size());
  if (const CachedJob* job = ledger_cache_.job(id)) scheduler_->on_job_row(*job, id, steady_now());
}

std::vector<MachineType> ControllerState::machine_types() const {
  return !ledger_cache_.types().empty() ? ledger_cache_.types() : cloud_types_;
}

bool ControllerState::machine_types_known() const {
  return !ledger_cache_.types().empty() || !cloud_types_.empty();
}

// ---------------------------------------------------------------- peer controllers

uint64_t ControllerState::known_token() const {
  const uint64_t ledger_token = ledger_cache_.leader().empty() ? 0 : ledger_cache_.leader_version();
  return std::max({highest_token_, fencing_token_, ledger_token});
}

bool ControllerState::update_known_leader(uint64_t fencing_token, const std::string& leader) {
  if (fencing_token <= highest_token_) return false;
  highest_token_ = fencing_token;
  known_leader_ = leader;
  return true;
}

void ControllerState::update_known_token(uint64_t fencing_token) {
  highest_token_ = std::max(highest_token_, fencing_token);
}

bool ControllerState::is_isolated(double now) const {
  return !config_.peers.empty() && now - last_peer_contact_ > kIsolationTimeoutS &&
         now - reachability_.last_state_service_response_at() > kIsolationTimeoutS;
}

void ControllerState::update_image_locations(const nlohmann::json& locations,
                                             uint64_t fencing_token) {
  if (locations.is_null() || fencing_token < image_locations_token_) return;
  image_locations_ = locations;
  image_locations_token_ = fencing_token;
}

// ---------------------------------------------------------------- cancellations

bool ControllerState::is_within_staleness_bound(double now) const {
  return now - cancellation_staleness_.known_until() <=
         staleness_bound(config_.scheduler.cancel_s, config_.scheduler.lease_s);
}

bool ControllerState::must_publish_read_revision(double now) const {
  if (role_ != Role::leading ||
      ledger_cache_.last_cancellation_version() <= ledger_cache_.read_to())
    return false;
  if (now - read_revision_published_at_ < kReadRevisionPublishIntervalS) return false;
  return write_share_.reachable_peers(now) < config_.nodes - 1;
}

// ---------------------------------------------------------------- limits of the state service

void ControllerState::update_write_share(double now) {
  write_share_.set_limit(state_limiters_.update_write_rate());
  const std::string leader = leads() ? config_.scheduler.label : known_leader_;
  state_limiters_.writes.set_share(write_share_.share(leader, now));
}

void ControllerState::apply_lowered_size_limits() {
  size_limits_lowered_ = true;
  if (scheduler_) scheduler_->apply_lowered_limits();
}

}  // namespace rookdyke
