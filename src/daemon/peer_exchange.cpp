#include "daemon/peer_exchange.h"

#include <string>

#include "net/steady_clock.h"

namespace rookdyke {

namespace {
constexpr double kExchangeIntervalS = 1;
constexpr double kImageLocationsIntervalS = 5;
// For how long after its last response the state service is reported as available.
constexpr double kStateServiceFreshnessS = 2.5;
}  // namespace

PeerExchange::PeerExchange(const Config& config, SharedState& shared, state::RateLimiters& limiters,
                           Reachability& reachability, const TransactionIds& ids)
    : config_(config),
      shared_(shared),
      limiters_(limiters),
      reachability_(reachability),
      ids_(ids) {
  peers_.reserve(config.peers.size());
  for (const PeerController& peer : config.peers)
    peers_.push_back(std::make_unique<mesh::PeerClient>(peer));
}

void PeerExchange::run() {
  while (!shared_.stopping()) {
    const nlohmann::json image_locations = image_locations_if_due();
    update_write_demand();
    for (const auto& peer : peers_) {
      if (shared_.stopping()) return;
      exchange_with(*peer, image_locations);
    }
    auto state = shared_.lock();
    shared_.wait_for(state, shared_.wakeups().peers, kExchangeIntervalS);
  }
}

// The image locations that the leader's scheduler knows, every kImageLocationsIntervalS; null
// between these times and on the other controllers.
nlohmann::json PeerExchange::image_locations_if_due() {
  auto state = shared_.lock();
  const double now = steady_now();
  if (state->role() != Role::leading || !state->scheduler() || now < next_image_locations_at_)
    return nullptr;
  next_image_locations_at_ = now + kImageLocationsIntervalS;
  return state->scheduler()->image_locations();
}

void PeerExchange::update_write_demand() {
  auto state = shared_.lock();
  const double now = steady_now();
  const double requested_writes = limiters_.writes.take_requested_count();
  const Scheduler* scheduler = state->scheduler();
  const double backlog =
      scheduler && state->leads() ? static_cast<double>(scheduler->pending_writes()) : 0;
  state->write_share().record_own(requested_writes, backlog, now);
  state->update_write_share(now);
}

void PeerExchange::exchange_with(mesh::PeerClient& peer, const nlohmann::json& image_locations) {
  mesh::View own_view = view();
  own_view.image_locations = image_locations;
  const double sent_at = steady_now();
  const auto peer_view = peer.exchange(own_view);
  if (!peer_view) return;
  on_view(*peer_view);
  auto state = shared_.lock();
  state->cancellation_staleness().on_peer_response(peer.label(), peer_view->incarnation,
                                                   peer_view->fencing_token, state->fencing_token(),
                                                   sent_at, steady_now());
}

mesh::View PeerExchange::view() {
  auto state = shared_.lock();
  mesh::View view;
  view.label = config_.scheduler.label;
  view.incarnation = ids_.incarnation();
  view.read_to = state->cancellation_gate().leader_read_revision();
  view.state_ok =
      steady_now() - reachability_.last_state_service_response_at() < kStateServiceFreshnessS;
  view.write_demand = state->write_share().own_demand();
  view.rate_lowered = limiters_.sees_lowered_write_rate();
  view.sizes_lowered = state->size_limits_lowered();
  view.fencing_token = state->known_token();
  view.leader = state->known_leader();
  return view;
}

void PeerExchange::on_view(const mesh::View& view) {
  auto state = shared_.lock();
  const double now = steady_now();
  state->on_peer_contact(now);
  if (view.state_ok) reachability_.on_peer_reaches_state_service(now);
  state->update_image_locations(view.image_locations, view.fencing_token);
  state->write_share().record_peer(view.label, view.write_demand, now);
  if (view.rate_lowered) limiters_.on_peer_refused();
  if (view.sizes_lowered) state->apply_lowered_size_limits();
  // Applied under the same lock as the token below: whoever sees how far a leader has read also
  // knows that leader's token.
  state->cancellation_gate().on_leader_read(view.read_to);
  if (!state->update_known_leader(view.fencing_token, view.leader)) return;
  // Invariant 2: a leader that is the only controller partitioned from the state service learns
  // here that its peers have elected another leader.
  if (state->leads() && view.fencing_token > state->fencing_token())
    state->step_down(Role::follower,
                     view.label + " knows fencing token " + std::to_string(view.fencing_token));
}

}  // namespace rookdyke
