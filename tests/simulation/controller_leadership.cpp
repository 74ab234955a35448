// Elections, the lease of the leader key, and what peer controllers tell one another.

#include <algorithm>

#include "simulation/controller.h"
#include "simulation/world.h"

namespace rookdyke::test {

using ledger::Outcome;

namespace {
// Seconds.
constexpr double kMaxUnconfirmed = 60;
constexpr double kStallCheckInterval = 0.25;
constexpr double kLeadershipInterval = 0.1;
constexpr double kLeaseTimeout = 0.8;
constexpr double kViewInterval = 1, kViewTimeout = 0.5;
constexpr double kLongestCampaignDelay = 0.3;
constexpr double kStateHeardWithin = 2;  // before a campaign
}  // namespace

// As ControllerState::check_for_stall and ControllerState::lease_state_is_current in the daemon.
bool SimController::lease_state_is_current() {
  const double stall = lease_clock_.detect_stall(world_.clock.now);
  if (stall > 0) {
    if (scheduler_) scheduler_->on_process_stall(stall, world_.clock.now);
    heard_peer_ = world_.clock.now;
  }
  return scheduler_ && lease_clock_.lease_state_is_current(world_.clock.now, kLeaseTtl);
}

void SimController::check_stall() {
  lease_state_is_current();
  later(kStallCheckInterval, &SimController::check_stall);
}

// As the daemon's (Controller::acts).
bool SimController::may_decide() {
  return lease_state_is_current() && lease_clock_.is_unexpired(world_.clock.now, kLeaseTtl);
}

uint64_t SimController::known_token() const {
  const uint64_t cached = ledger_cache_.leader().empty() ? 0 : ledger_cache_.leader_version();
  return std::max({highest_token_, fencing_token_, cached});
}

void SimController::step_down(double cooldown_s) {
  scheduler_.reset();
  fencing_token_ = 0;
  if (cooldown_s > 0) cooldown_until_ = world_.clock.now + cooldown_s;
}

void SimController::maintain_leadership() {
  if (scheduler_) {
    if (world_.clock.now >= next_renewal_) renew_lease();
  } else if (may_campaign()) {
    campaign();
  }
  later(kLeadershipInterval, &SimController::maintain_leadership);
}

void SimController::renew_lease() {
  enum class Renewal : uint8_t { refused, renewed, ended };
  const double sent = world_.clock.now;
  next_renewal_ = sent + kLeaseTtl / 3;
  auto renewal = std::make_shared<Renewal>(Renewal::refused);
  call(
      kStatePlace, kLeaseTimeout,
      [this, renewal, lease = lease_] {
        if (world_.store.outage) return;
        *renewal = world_.store.renew(lease) ? Renewal::renewed : Renewal::ended;
      },
      [this, renewal, lease = lease_, sent](bool ok) {
        lease_state_is_current();
        lease_clock_.on_renewal_attempted(sent);
        if (!scheduler_ || lease != lease_ || !ok) return;
        if (*renewal == Renewal::renewed) {
          lease_clock_.on_renewed(sent);
          cancellation_staleness_.advance_to(sent);
        }
        const bool in_doubt_for_long =
            world_.clock.now - lease_clock_.renewed_at() > kMaxUnconfirmed;
        if (in_doubt_for_long || *renewal == Renewal::ended) step_down();
      });
}

bool SimController::may_campaign() const {
  const double now = world_.clock.now;
  return !campaigning_ && loaded_ && now >= cooldown_until_ && ledger_cache_.leader().empty() &&
         now - heard_state_ < kStateHeardWithin;
}

void SimController::campaign() {
  campaigning_ = true;
  auto campaign = std::make_shared<Campaign>();
  campaign->began = world_.clock.now;
  const double delay = kLongestCampaignDelay * world_.chance();
  world_.clock.after(delay, [this, life = life_, campaign] {
    if (life == life_) acquire_leadership(campaign);
  });
}

void SimController::acquire_leadership(const std::shared_ptr<Campaign>& campaign) {
  call(
      kStatePlace, kLeaseTimeout,
      [this, campaign] {
        if (world_.store.outage || campaign->fencing_token) return;
        campaign->lease = world_.store.grant(kLeaseTtl);
        ledger::Transaction t;
        t.conditions = {{ledger::kLeaderKey, 0}};
        t.changes = {{ledger::kLeaderKey, false, {{"label", label_}}, campaign->lease}};
        const auto result = world_.store.commit(t);
        if (result.outcome == Outcome::applied) campaign->fencing_token = result.revision;
      },
      [this, campaign, life = life_](bool ok) {
        if (!ok || !campaign->fencing_token) {
          campaigning_ = false;
          return;
        }
        barrier([this, life, campaign](bool ledger_read) {
          if (life == life_) on_elected(*campaign, ledger_read);
        });
      });
}

void SimController::on_elected(const Campaign& campaign, bool ledger_read) {
  campaigning_ = false;
  if (!ledger_read || ledger_cache_.leader_version() != campaign.fencing_token) return;
  lease_state_is_current();
  const double now = world_.clock.now;
  if (now - campaign.began > kLeaseTtl * LeaseClock::kUsableLeaseFraction) return;  // too late
  fencing_token_ = campaign.fencing_token;
  lease_ = campaign.lease;
  lease_clock_.on_renewed(campaign.began);
  next_renewal_ = 0;
  scheduler_ = std::make_unique<Scheduler>(world_.settings, world_.types, fencing_token_, now);
  scheduler_->set_time_of_day_offset(0);
  scheduler_->load(ledger_cache_, now);
  world_.on_leader_elected();
}

// As the daemon's (Controller::view, Controller::on_peer_view).
void SimController::exchange_views() {
  for (size_t i = 0; i < world_.controllers.size(); ++i)
    if (i != index_) exchange_view(i);
  later(kViewInterval, &SimController::exchange_views);
}

void SimController::exchange_view(size_t peer) {
  auto view = std::make_shared<PeerView>();
  const SimController* other = world_.controllers[peer].get();
  call(
      controller_place(peer), kViewTimeout,
      [view, other] {
        *view = {other->label_ + "." + std::to_string(other->life_), other->known_token(),
                 other->known_cancellations_.leader_read_revision()};
      },
      [this, view, other, sent = world_.clock.now](bool ok) {
        if (ok) on_peer_view(*other, *view, sent);
      });
}

void SimController::on_peer_view(const SimController& peer, const PeerView& view, double sent) {
  heard_peer_ = world_.clock.now;
  known_cancellations_.on_leader_read(view.read_to);
  highest_token_ = std::max(highest_token_, view.fencing_token);
  if (scheduler_ && view.fencing_token > fencing_token_) step_down();
  cancellation_staleness_.on_peer_response(peer.label_, view.incarnation, view.fencing_token,
                                           fencing_token_, sent, world_.clock.now);
}

}  // namespace rookdyke::test
