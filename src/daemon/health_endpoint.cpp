#include "daemon/health_endpoint.h"

#include "api/http_reply.h"
#include "net/http_status.h"
#include "net/steady_clock.h"

namespace rookdyke {

void HealthEndpoint::serve(httplib::Response& response) const {
  const double now = steady_now();
  const bool loaded = reachability_.ledger_loaded();
  const bool served = loaded && reachability_.state_answers(now);
  // During an outage all controllers are alike, and being marked unhealthy would outlast it; only
  // one that is alone in its trouble sends its users elsewhere.
  const bool ok = served || (loaded && !reachability_.siblings_are_served(now));
  reply(response, ok ? http_status::kOk : http_status::kUnavailable, {{"ok", ok}});
}

}  // namespace rookdyke
