#include "daemon/heartbeat_endpoint.h"

#include <spdlog/spdlog.h>

#include <string>
#include <utility>

#include "api/http_reply.h"
#include "net/http_status.h"
#include "net/steady_clock.h"
#include "wire/wire.h"

namespace rookdyke {

namespace {
// An unconfirmed leader answers with starts only if its proof of having heard all cancellations is
// no older.
constexpr double kMaxStalenessS = 3;
// Workers are redirected only to a leader that was heard of lately: one that has failed would cost
// them 4 s of waiting.
constexpr double kLeaderFreshS = 1.5;
}  // namespace

void HeartbeatEndpoint::serve(const httplib::Request& request, httplib::Response& response) {
  const auto body = wire::unpack(request.body);
  const auto heartbeat = body ? wire::parse_heartbeat(*body) : std::nullopt;
  if (!heartbeat) return reply(response, http_status::kBadRequest, {{"error", "not a report"}});
  const Answer sent = answer(*heartbeat);
  reply(response, sent.status, sent.body);
}

HeartbeatEndpoint::Answer HeartbeatEndpoint::answer(const Heartbeat& heartbeat) {
  std::optional<LeaderAnswer> commands;
  std::string leader;
  {
    auto state = shared_.lock();
    const double now = steady_now();
    if (auto refused = refusal(*state, now)) return std::move(*refused);
    commands = lead(*state, heartbeat, now);
    if (!commands) leader = leader_for_redirect(*state, now);
  }
  if (!commands) {
    spdlog::debug("heartbeat of {} redirected to {}", heartbeat.machine,
                  leader.empty() ? "any controller" : leader);
    return {http_status::kMisdirected, wire::encode_redirect(leader)};
  }
  shared_.wakeups().transactions.notify_one();
  if (commands->needs_round) shared_.wakeups().scheduling.notify_one();
  return std::move(commands->answer);
}

// A leader that may not keep its workers' leases alive: they go on to another controller.
std::optional<HeartbeatEndpoint::Answer> HeartbeatEndpoint::refusal(ControllerState& state,
                                                                    double now) {
  const auto unavailable = [](const char* why) {
    return Answer{http_status::kUnavailable, {{"error", why}}};
  };
  if (state.role() == Role::unconfirmed && state.is_isolated(now)) return unavailable("cut off");
  if (state.leads() && !state.knows_cancellations(now))
    return unavailable("jobs may have been cancelled unheard");
  // One that was suspended does not know yet whether it still leads.
  if (state.leads() && !state.lease_confirmed(now)) return unavailable("not sure to lead");
  return std::nullopt;
}

// Empty: does not lead, or leads no longer.
std::optional<HeartbeatEndpoint::LeaderAnswer> HeartbeatEndpoint::lead(ControllerState& state,
                                                                       const Heartbeat& heartbeat,
                                                                       double now) {
  Scheduler* scheduler = state.scheduler();
  if (!state.leads() || !scheduler || scheduler->has_lost_leadership()) return std::nullopt;
  const double staleness = now - state.cancellation_staleness().known_until();
  scheduler->allow_starts(state.role() == Role::leading || staleness < kMaxStalenessS);
  const HeartbeatReply out = scheduler->on_heartbeat(heartbeat, now);
  if (out.verdict == HeartbeatReply::Verdict::deposed) {
    state.step_down(Role::follower, "a worker has seen a higher token");
    return std::nullopt;
  }
  Answer answer{http_status::kOk,
                wire::encode_heartbeat_reply(state.fencing_token(), out.commands)};
  return LeaderAnswer{std::move(answer), scheduler->needs_round()};
}

// The leader's label; empty: none that is worth a redirect is known.
std::string HeartbeatEndpoint::leader_for_redirect(const ControllerState& state, double now) const {
  const std::string& leader = state.ledger_cache().leader();
  const bool fresh = now - reachability_.state_answered_at() < kLeaderFreshS;
  return fresh && leader != config_.scheduler.label ? leader : "";
}

}  // namespace rookdyke
