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
// An unconfirmed leader commands starts only while its knowledge of cancellations is newer than
// this.
constexpr double kMaxStartStalenessS = 3;
// Workers are redirected to the known leader only if the state service has responded within this
// time: a worker would wait 4 s for the reply of a leader that has failed.
constexpr double kLeaderFreshnessS = 1.5;
}  // namespace

void HeartbeatEndpoint::serve(const httplib::Request& request, httplib::Response& response) {
  const auto body = wire::unpack(request.body);
  const auto heartbeat = body ? wire::parse_heartbeat(*body) : std::nullopt;
  if (!heartbeat) return reply(response, http_status::kBadRequest, {{"error", "not a report"}});
  const Reply result = process(*heartbeat);
  reply(response, result.status, result.body);
}

HeartbeatEndpoint::Reply HeartbeatEndpoint::process(const Heartbeat& heartbeat) {
  std::optional<LeaderReply> leader_reply;
  std::string leader;
  {
    auto state = shared_.lock();
    const double now = steady_now();
    if (auto refused = refusal(*state, now)) return std::move(*refused);
    leader_reply = reply_as_leader(*state, heartbeat, now);
    if (!leader_reply) leader = leader_for_redirect(*state, now);
  }
  if (!leader_reply) {
    spdlog::debug("heartbeat of {} redirected to {}", heartbeat.machine,
                  leader.empty() ? "any controller" : leader);
    return {http_status::kMisdirected, wire::encode_redirect(leader)};
  }
  shared_.wakeups().transactions.notify_one();
  if (leader_reply->needs_round) shared_.wakeups().scheduling.notify_one();
  return std::move(leader_reply->reply);
}

// The refusal by a leader that must not extend its workers' leases; the workers then try another
// controller. Empty if there is no reason to refuse.
std::optional<HeartbeatEndpoint::Reply> HeartbeatEndpoint::refusal(ControllerState& state,
                                                                   double now) {
  const auto unavailable = [](const char* reason) {
    return Reply{http_status::kUnavailable, {{"error", reason}}};
  };
  if (state.role() == Role::unconfirmed && state.is_isolated(now)) return unavailable("cut off");
  if (state.leads() && !state.is_within_staleness_bound(now))
    return unavailable("jobs may have been cancelled unheard");
  // After a suspension of this process an expired lease must not be relied on until the next
  // renewal attempt.
  if (state.leads() && !state.lease_state_is_current(now)) return unavailable("not sure to lead");
  return std::nullopt;
}

// The reply with the leader's commands. Empty if this controller does not lead or has lost its
// leadership; the heartbeat itself may show that it has.
std::optional<HeartbeatEndpoint::LeaderReply> HeartbeatEndpoint::reply_as_leader(
    ControllerState& state, const Heartbeat& heartbeat, double now) {
  Scheduler* scheduler = state.scheduler();
  if (!state.leads() || !scheduler || scheduler->has_lost_leadership()) return std::nullopt;
  const double staleness = now - state.cancellation_staleness().known_until();
  scheduler->allow_starts(state.role() == Role::leading || staleness < kMaxStartStalenessS);
  const HeartbeatReply out = scheduler->on_heartbeat(heartbeat, now);
  if (out.verdict == HeartbeatReply::Verdict::deposed) {
    state.step_down(Role::follower, "a worker has seen a higher fencing token");
    return std::nullopt;
  }
  Reply reply{http_status::kOk, wire::encode_heartbeat_reply(out.fencing_token, out.commands)};
  return LeaderReply{std::move(reply), scheduler->needs_round()};
}

// The leader's label; empty if no other controller is recently known to lead.
std::string HeartbeatEndpoint::leader_for_redirect(const ControllerState& state, double now) const {
  const std::string& leader = state.ledger_cache().leader();
  const bool fresh = now - reachability_.last_state_service_response_at() < kLeaderFreshnessS;
  return fresh && leader != config_.scheduler.label ? leader : "";
}

}  // namespace rookdyke
