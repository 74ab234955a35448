#include "daemon/health_endpoint.h"

#include "api/http_reply.h"
#include "net/http_status.h"
#include "net/steady_clock.h"

namespace rookdyke {

void HealthEndpoint::serve(httplib::Response& response) const {
  const double now = steady_now();
  const bool loaded = reachability_.ledger_loaded();
  const bool state_service_reached = loaded && reachability_.state_service_available(now);
  // In an outage of the state service all controllers stay healthy: sending users to another one
  // would not help, and the unhealthy mark would outlast the outage. Only a controller whose peers
  // still reach the state service reports itself unhealthy, so that users are sent to them.
  const bool healthy =
      state_service_reached || (loaded && !reachability_.peers_reach_state_service(now));
  reply(response, healthy ? http_status::kOk : http_status::kUnavailable, {{"ok", healthy}});
}

}  // namespace rookdyke
