#include "cloud/client.h"

#include <spdlog/spdlog.h>

#include "wire/wire.h"

namespace rookdyke::cloud {

using nlohmann::json;

Client::Client(const Endpoint& at, net::RateLimiter& limiter)
    : http_(at.host, at.port), limiter_(limiter) {
  http_.set_keep_alive(true);
  http_.set_tcp_nodelay(true);
  http_.set_url_encode(false);
  http_.set_connection_timeout(1, 0);
  http_.set_read_timeout(3, 0);
  http_.set_write_timeout(1, 0);
}

Client::Answer Client::call(bool post, const std::string& path, const json* body,
                            const MaySend& may_send) {
  Answer a;
  if (!limiter_.take(1, 3.0) || (may_send && !may_send())) return a;
  static const std::string type = "application/msgpack";
  httplib::Result r =
      post ? http_.Post(path, body ? wire::pack(*body) : std::string(), type) : http_.Get(path);
  if (!r) {
    a.sent =
        r.error() != httplib::Error::Connection && r.error() != httplib::Error::ConnectionTimeout;
    spdlog::debug("cloud: {}: {}", path, httplib::to_string(r.error()));
    return a;
  }
  a.status = r->status;
  a.sent = true;
  if (!r->body.empty())
    if (auto j = wire::unpack(r->body)) a.body = std::move(*j);
  if (a.status == 429) limiter_.penalty(0.5);
  if (a.status != 200) spdlog::debug("cloud: {}: {}", path, a.status);
  return a;
}

std::optional<std::vector<MachineType>> Client::types() {
  const Answer a = call(false, wire::kMachineTypesPath, nullptr);
  if (a.status != 200) return std::nullopt;
  return wire::parse_types(a.body);
}

Client::RentalResult Client::rent(const RentalRequest& h, const MaySend& may_send) {
  RentalResult out;
  const json body = wire::rent(h);
  const Answer a = call(true, wire::kMachinesPath, &body, may_send);
  if (a.status == 200) {
    if (auto names = wire::parse_rented(a.body)) {
      out.outcome = CloudOutcome::done;
      out.machines = std::move(*names);
    }
  } else if (a.status == 503) {
    out.outcome = wire::is_no_capacity(a.body) ? CloudOutcome::no_capacity : CloudOutcome::refused;
  } else if (a.status == 400) {
    spdlog::error("cloud: hire {} was malformed", h.name);
    out.outcome = CloudOutcome::no_capacity;
  } else if (a.status != 0 || !a.sent) {
    out.outcome = CloudOutcome::refused;
  }
  return out;
}

CloudOutcome Client::return_machines(const std::vector<std::string>& names,
                                     const MaySend& may_send) {
  const json body = wire::return_machines(names);
  const Answer a = call(true, wire::kReturnPath, &body, may_send);
  if (a.status == 200) return CloudOutcome::done;
  return a.status != 0 || !a.sent ? CloudOutcome::refused : CloudOutcome::unknown;
}

std::optional<std::vector<ListedMachine>> Client::list() {
  std::vector<ListedMachine> all;
  std::string after;
  while (true) {
    const Answer a = call(false, wire::list_path(after, 500), nullptr);
    if (a.status != 200) return std::nullopt;
    auto page = wire::parse_machines(a.body);
    if (!page) return std::nullopt;
    std::vector<ListedMachine>& machines = page->machines;
    if (machines.empty()) return all;
    // A page that does not go on after the one before would be asked for without end.
    if (machines.back().name <= after) return std::nullopt;
    after = machines.back().name;
    all.insert(all.end(), std::make_move_iterator(machines.begin()),
               std::make_move_iterator(machines.end()));
    if (!page->more) return all;
  }
}

}  // namespace rookdyke::cloud
