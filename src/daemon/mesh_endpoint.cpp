#include "daemon/mesh_endpoint.h"

#include <nlohmann/json.hpp>

#include "api/http_reply.h"
#include "net/http_status.h"
#include "net/steady_clock.h"

namespace rookdyke {

namespace {
constexpr const char* kContentType = "application/json";
}  // namespace

void MeshEndpoint::serve(const httplib::Request& request, httplib::Response& response) {
  const bool post = request.method == "POST";
  if (post && request.target == mesh::kCancelledPath) {
    const auto cancelled = mesh::decode_cancellation_notice(request.body);
    const nlohmann::json reply = {{"token", cancelled ? apply_cancellations(*cancelled) : 0}};
    response.set_content(reply.dump(), kContentType);
  } else if (post && request.target == mesh::kViewPath) {
    if (const auto view = mesh::decode(request.body)) peers_.on_view(*view);
    response.set_content(mesh::serialize(peers_.view()), kContentType);
  } else {
    response.status = http_status::kNotFound;
  }
}

// Applies rows of cancelled jobs. Returns the fencing token of the term in which their tasks will
// be stopped. Returns 0 if this controller does not lead, its lease state is not current, or a row
// is not that of a cancelled job.
uint64_t MeshEndpoint::apply_cancellations(const mesh::CancellationNotice& cancelled) {
  auto state = shared_.lock();
  if (state->leads() && cancelled.fencing_token > state->fencing_token())
    state->step_down(Role::follower, "a peer controller knows a newer leader");
  const Scheduler* scheduler = state->scheduler();
  if (!state->leads() || !scheduler || scheduler->has_lost_leadership() ||
      !state->lease_state_is_current(steady_now()))
    return 0;
  for (const mesh::CancellationNotice::Row& message_row : cancelled.rows) {
    const auto row = ledger::decode_job(message_row.job, message_row.value);
    if (!row || row->status != ledger::JobStatus::cancelled) return 0;
    state->apply({ledger::job_key(message_row.job), message_row.value, message_row.version, false});
  }
  return state->fencing_token();
}

}  // namespace rookdyke
