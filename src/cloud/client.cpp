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
constexpr double kMaxWaitS = 3.0;         // for the rate limit
constexpr double kRefusalPenaltyS = 0.5;  // all requests wait so long after a 429
constexpr int kListPageSize = 500;

}  // namespace

Client::Client(const Endpoint& at, net::RateLimiter& limiter)
    : http_(at.host, at.port), limiter_(limiter) {
  http_.set_keep_alive(true);
  http_.set_tcp_nodelay(true);
  http_.set_url_encode(false);
  http_.set_connection_timeout(kConnectTimeout);
  http_.set_read_timeout(kReadTimeout);
  http_.set_write_timeout(kWriteTimeout);
}

Client::Answer Client::call(Method method, const std::string& path, const json& body,
                            const MaySend& may_send) {
  Answer answer;
  if (!limiter_.take(1, kMaxWaitS) || (may_send && !may_send())) return answer;
  const httplib::Result result =
      method == Method::post ? http_.Post(path, wire::pack(body), std::string(wire::kContentType))
                             : http_.Get(path);
  if (!result) {
    // Without a connection nothing was sent; after any other error it may have been executed.
    answer.may_have_executed = result.error() != httplib::Error::Connection &&
                               result.error() != httplib::Error::ConnectionTimeout;
    spdlog::debug("cloud: {}: {}", path, httplib::to_string(result.error()));
    return answer;
  }
  answer.status = result->status;
  answer.may_have_executed = true;
  if (!result->body.empty())
    if (auto message = wire::unpack(result->body)) answer.body = std::move(*message);
  if (answer.status == http_status::kTooManyRequests) limiter_.penalty(kRefusalPenaltyS);
  if (answer.status != http_status::kOk) spdlog::debug("cloud: {}: {}", path, answer.status);
  return answer;
}

std::optional<std::vector<MachineType>> Client::types() {
  const Answer answer = call(Method::get, wire::kMachineTypesPath);
  if (answer.status != http_status::kOk) return std::nullopt;
  return wire::parse_machine_types(answer.body);
}

Client::RentalResult Client::rent(const RentalRequest& request, const MaySend& may_send) {
  RentalResult result;
  const Answer answer =
      call(Method::post, wire::kMachinesPath, wire::encode_rental_request(request), may_send);
  if (answer.status == http_status::kOk) {
    if (auto names = wire::parse_rented_machines(answer.body)) {
      result.outcome = CloudOutcome::done;
      result.machines = std::move(*names);
    }
  } else if (answer.status == http_status::kUnavailable) {
    result.outcome =
        wire::is_no_capacity(answer.body) ? CloudOutcome::no_capacity : CloudOutcome::refused;
  } else if (answer.status == http_status::kBadRequest) {
    spdlog::error("cloud: rental request {} was malformed", request.name);
    result.outcome = CloudOutcome::no_capacity;
  } else if (answer.status != http_status::kNone || !answer.may_have_executed) {
    result.outcome = CloudOutcome::refused;
  }
  return result;
}

CloudOutcome Client::return_machines(const std::vector<std::string>& names,
                                     const MaySend& may_send) {
  const Answer answer =
      call(Method::post, wire::kReturnPath, wire::encode_return_request(names), may_send);
  if (answer.status == http_status::kOk) return CloudOutcome::done;
  const bool not_executed = answer.status != http_status::kNone || !answer.may_have_executed;
  return not_executed ? CloudOutcome::refused : CloudOutcome::indeterminate;
}

std::optional<std::vector<ListedMachine>> Client::list() {
  std::vector<ListedMachine> all;
  std::string after;
  while (true) {
    const Answer answer = call(Method::get, wire::machine_list_path(after, kListPageSize));
    if (answer.status != http_status::kOk) return std::nullopt;
    auto page = wire::parse_machine_page(answer.body);
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
