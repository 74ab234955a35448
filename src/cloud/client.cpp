#include "cloud/client.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <iterator>
#include <utility>

#include "net/http_status.h"
#include "wire/wire.h"

namespace rookdyke::cloud {

using nlohmann::json;

namespace {

constexpr std::chrono::seconds kConnectTimeout(1);
constexpr std::chrono::seconds kReadTimeout(3);
constexpr std::chrono::seconds kWriteTimeout(1);
constexpr double kMaxWaitS = 3.0;           // maximum wait for the rate limit
constexpr double kRateLimitedPauseS = 0.5;  // pause of all requests after a 429
constexpr int kListPageSize = 500;

}  // namespace

Client::Client(const Endpoint& endpoint, net::RateLimiter& limiter)
    : http_(endpoint.host, endpoint.port), limiter_(limiter) {
  http_.set_keep_alive(true);
  http_.set_tcp_nodelay(true);
  http_.set_url_encode(false);
  http_.set_connection_timeout(kConnectTimeout);
  http_.set_read_timeout(kReadTimeout);
  http_.set_write_timeout(kWriteTimeout);
}

Client::Response Client::call(Method method, const std::string& path, const json& body,
                              const MaySend& may_send) {
  Response response;
  if (!limiter_.take(1, kMaxWaitS) || (may_send && !may_send())) return response;
  const httplib::Result result =
      method == Method::post ? http_.Post(path, wire::pack(body), std::string(wire::kContentType))
                             : http_.Get(path);
  if (!result) {
    // If connecting failed, nothing was sent. After any other error the request may have been
    // executed.
    response.may_have_executed = result.error() != httplib::Error::Connection &&
                                 result.error() != httplib::Error::ConnectionTimeout;
    spdlog::debug("cloud: {} failed: {}", path, httplib::to_string(result.error()));
    return response;
  }
  response.status = result->status;
  response.may_have_executed = true;
  if (!result->body.empty())
    if (auto message = wire::unpack(result->body)) response.body = std::move(*message);
  if (response.status == http_status::kTooManyRequests) limiter_.pause_for(kRateLimitedPauseS);
  if (response.status != http_status::kOk)
    spdlog::debug("cloud: {} returned status {}", path, response.status);
  return response;
}

std::optional<std::vector<MachineType>> Client::machine_types() {
  const Response response = call(Method::get, wire::kMachineTypesPath);
  if (response.status != http_status::kOk) return std::nullopt;
  return wire::parse_machine_types(response.body);
}

Client::RentalResult Client::rent(const RentalRequest& request, const MaySend& may_send) {
  RentalResult result;
  const Response response =
      call(Method::post, wire::kMachinesPath, wire::encode_rental_request(request), may_send);
  if (response.status == http_status::kOk) {
    if (auto names = wire::parse_rented_machines(response.body)) {
      result.outcome = CloudOutcome::done;
      result.machines = std::move(*names);
    }
  } else if (response.status == http_status::kUnavailable) {
    result.outcome =
        wire::is_no_capacity(response.body) ? CloudOutcome::no_capacity : CloudOutcome::refused;
  } else if (response.status == http_status::kBadRequest) {
    spdlog::error("cloud: rental request {} was rejected as malformed (400)", request.name);
    result.outcome = CloudOutcome::no_capacity;
  } else if (response.status != http_status::kNone || !response.may_have_executed) {
    result.outcome = CloudOutcome::refused;
  }
  return result;
}

CloudOutcome Client::return_machines(const std::vector<std::string>& names,
                                     const MaySend& may_send) {
  const Response response =
      call(Method::post, wire::kReturnPath, wire::encode_return_request(names), may_send);
  if (response.status == http_status::kOk) return CloudOutcome::done;
  const bool not_executed = response.status != http_status::kNone || !response.may_have_executed;
  return not_executed ? CloudOutcome::refused : CloudOutcome::indeterminate;
}

std::optional<std::vector<ListedMachine>> Client::list_machines() {
  std::vector<ListedMachine> all;
  std::string after;
  while (true) {
    const Response response = call(Method::get, wire::machine_list_path(after, kListPageSize));
    if (response.status != http_status::kOk) return std::nullopt;
    auto page = wire::parse_machine_page(response.body);
    if (!page) return std::nullopt;
    std::vector<ListedMachine>& machines = page->machines;
    if (machines.empty()) return all;
    // A page that does not advance past the previous one would make this loop endless.
    if (machines.back().name <= after) return std::nullopt;
    after = machines.back().name;
    all.insert(all.end(), std::make_move_iterator(machines.begin()),
               std::make_move_iterator(machines.end()));
    if (!page->more) return all;
  }
}

}  // namespace rookdyke::cloud
