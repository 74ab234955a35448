#include "daemon/peer_exchange.h"

#include <string>

#include "net/steady_clock.h"

namespace rookdyke {

namespace {
constexpr double kIntervalS = 1;
constexpr double kImageLocationsIntervalS = 5;
constexpr double kStateFreshS = 2.5;  // the state service counts as answering for so long
}  // namespace

PeerExchange::PeerExchange(const Config& config, SharedState& shared, state::RateLimiters& limiters,
                           Reachability& reachability, const TransactionIds& ids)
    : config_(config),
      shared_(shared),
      limiters_(limiters),
      reachability_(reachability),
      ids_(ids) {
  peers_.reserve(config.siblings.size());
  for (const Sibling& sibling : config.siblings)
    peers_.push_back(std::make_unique<mesh::PeerClient>(sibling));
}

void PeerExchange::run() {
  while (!shared_.stopping()) {
    const nlohmann::json image_locations = image_locations_if_due();
    update_demand();
    for (const auto& peer : peers_) {
      if (shared_.stopping()) return;
      exchange_with(*peer, image_locations);
    }
    auto state = shared_.lock();
    shared_.wait_for(state, shared_.wakeups().peers, kIntervalS);
  }
}

// Those of the leader's scheduler, now and then; null otherwise.
nlohmann::json PeerExchange::image_locations_if_due() {
  auto state = shared_.lock();
  const double now = steady_now();
  if (state->role() != Role::leading || !state->scheduler() || now < next_image_locations_)
    return nullptr;
  next_image_locations_ = now + kImageLocationsIntervalS;
  return state->scheduler()->image_locations();
}

void PeerExchange::update_demand() {
  auto state = shared_.lock();
  const double now = steady_now();
  const double asked = limiters_.writes.asked();
  const Scheduler* scheduler = state->scheduler();
  const double backlog = scheduler && state->leads() ? static_cast<double>(scheduler->unsent()) : 0;
  state->write_share().record_own(asked, backlog, now);
  state->update_write_share(now);
}

void PeerExchange::exchange_with(mesh::PeerClient& peer, const nlohmann::json& image_locations) {
  mesh::View ours = view();
  ours.image_locations = image_locations;
  const double sent = steady_now();
  const auto theirs = peer.exchange(ours);
  if (!theirs) return;
  on_view(*theirs);
  auto state = shared_.lock();
  state->cancellation_staleness().on_peer_response(peer.label(), theirs->incarnation,
                                                   theirs->fencing_token, state->fencing_token(),
                                                   sent, steady_now());
}

mesh::View PeerExchange::view() {
  auto state = shared_.lock();
  mesh::View view;
  view.label = config_.scheduler.label;
  view.incarnation = ids_.incarnation();
  view.read_to = state->cancellation_gate().leader_read_to();
  view.state_ok = steady_now() - reachability_.state_answered_at() < kStateFreshS;
  view.write_demand = state->write_share().own_demand();
  view.rate_lowered = limiters_.sees_lowered_write_rate();
  view.sizes_lowered = state->sizes_lowered();
  view.fencing_token = state->known_token();
  view.leader = state->known_leader();
  return view;
}

void PeerExchange::on_view(const mesh::View& view) {
  auto state = shared_.lock();
  const double now = steady_now();
  state->on_sibling_heard(now);
  if (view.state_ok) reachability_.on_sibling_served(now);
  state->learn_image_locations(view.image_locations, view.fencing_token);
  state->write_share().record_sibling(view.label, view.write_demand, now);
  if (view.rate_lowered) limiters_.on_sibling_refused();
  if (view.sizes_lowered) state->lower_sizes();
  // Together with the token below: who relies on what a leader has read knows of that leader.
  state->cancellation_gate().leader_has_read(view.read_to);
  if (!state->learn_leader(view.fencing_token, view.leader)) return;
  // Invariant 2: a leader that alone is partitioned from the state service learns here that the
  // others have elected another.
  if (state->leads() && view.fencing_token > state->fencing_token())
    state->step_down(Role::follower,
                     view.label + " knows token " + std::to_string(view.fencing_token));
}

}  // namespace rookdyke
