#include "daemon/command_dispatcher.h"

#include <httplib.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <cstdlib>
#include <string>

#include "net/steady_clock.h"
#include "wire/wire.h"

namespace rookdyke {

namespace {

constexpr double kIdleIntervalS = 1;
constexpr std::chrono::milliseconds kConnectTimeout(500);
constexpr std::chrono::seconds kTransferTimeout(1);

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;

struct WorkerAddress {
  std::string host;
  int port = 0;
};

// Parses "host:port"; empty if there is no valid port.
std::optional<WorkerAddress> parse_address(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  const int port = std::atoi(address.c_str() + colon + 1);
  if (port <= 0) return std::nullopt;
  return WorkerAddress{address.substr(0, colon), port};
}

}  // namespace

void CommandDispatcher::run() {
  while (!shared_.stopping()) {
    const std::optional<Work> work = wait_for_work();
    if (work) report(*work, send(*work));
  }
}

// Returns the next call, or empty after waiting for one.
std::optional<CommandDispatcher::Work> CommandDispatcher::wait_for_work() {
  auto state = shared_.lock();
  std::optional<DirectCommand> call;
  if (state->may_decide(steady_now())) call = state->scheduler()->next_direct_command(steady_now());
  if (!call) {
    shared_.wait_for(state, shared_.wakeups().commands, kIdleIntervalS);
    return std::nullopt;
  }
  return Work{std::move(*call), state->fencing_token()};
}

CommandDispatcher::Result CommandDispatcher::send(const Work& work) {
  const auto address = parse_address(work.call.addr);
  if (!address) return {.outcome_known = true, .sent = true, .heartbeat = std::nullopt};
  httplib::Client http(address->host, address->port);
  http.set_tcp_nodelay(true);
  http.set_connection_timeout(kConnectTimeout);
  http.set_read_timeout(kTransferTimeout);
  http.set_write_timeout(kTransferTimeout);
  const std::string body = wire::pack(wire::encode_direct_command(work.call));
  // Checked right before sending: this process may have been suspended or have stepped down.
  if (!shared_.term_is_current(work.fencing_token))
    return {.outcome_known = true, .sent = false, .heartbeat = std::nullopt};
  const auto response = http.Post(wire::kDirectCommandPath, body, "application/msgpack");
  Result result;
  if (response) {
    // With 409 and 400 the worker refuses the call and will not execute its commands later.
    result.outcome_known =
        response->status == kOk || response->status == kConflict || response->status == kBadRequest;
    if (const auto message = wire::unpack(response->body))
      result.heartbeat = wire::parse_heartbeat(*message);
  } else {
    // Without a connection nothing was sent, and one that timed out is not established later.
    result.outcome_known = response.error() == httplib::Error::Connection ||
                           response.error() == httplib::Error::ConnectionTimeout;
    spdlog::debug("direct commands to {} failed: {}", work.call.addr,
                  httplib::to_string(response.error()));
  }
  return result;
}

void CommandDispatcher::report(const Work& work, const Result& result) {
  auto state = shared_.lock();
  Scheduler* scheduler = state->scheduler_of_term(work.fencing_token);
  if (!scheduler) return;
  scheduler->on_direct_command_result(work.call, result.outcome_known, result.heartbeat,
                                      steady_now());
  if (result.sent && scheduler->needs_round()) shared_.wakeups().scheduling.notify_one();
}

}  // namespace rookdyke
