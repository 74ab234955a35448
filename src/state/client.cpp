#include "state/client.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "net/http_status.h"

namespace rookdyke::state {

using ledger::Outcome;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kConnectTimeout(700);
constexpr std::chrono::seconds kWriteTimeout(1);
// Maximum waits for the rate limits.
constexpr double kReadMaxWaitS = 1.0;
constexpr double kRevokeMaxWaitS = 0.5;
// Duration for which all requests are paused after a 429 response.
constexpr double kRateLimitedPauseS = 0.2;

}  // namespace

Client::Client(const Endpoint& endpoint, RateLimiters& limiters, double read_timeout_s)
    : http_(endpoint.host, endpoint.port), limiters_(limiters) {
  http_.set_keep_alive(true);
  http_.set_tcp_nodelay(true);
  http_.set_url_encode(false);
  http_.set_connection_timeout(kConnectTimeout);
  http_.set_read_timeout(std::chrono::milliseconds(static_cast<int>(read_timeout_s * 1000)));
  http_.set_write_timeout(kWriteTimeout);
}

// ---------------------------------------------------------------- requests

Client::Response Client::call(const Request& request, double max_wait_s) {
  if (!limiters_.requests.take(1, max_wait_s)) return {};
  if (request.changes > 0 && !limiters_.writes.take(request.changes, max_wait_s)) return {};
  return send(request);
}

Client::Response Client::call_without_waiting(const Request& request) {
  limiters_.requests.take_without_waiting(1);
  return send(request);
}

const char* Client::name(Method method) {
  switch (method) {
    case Method::get:
      return "GET";
    case Method::post:
      return "POST";
    case Method::remove:
      return "DELETE";
  }
  return "";
}

httplib::Result Client::send_http(const Request& request) {
  if (request.method == Method::get) return http_.Get(request.path);
  if (request.method == Method::remove) return http_.Delete(request.path);
  return http_.Post(request.path, request.body ? wire::pack(*request.body) : std::string(),
                    std::string(wire::kContentType));
}

Client::Response Client::send(const Request& request) {
  Response response;
  const httplib::Result result = send_http(request);
  if (!result) {
    // If connecting failed, nothing was sent. After any other error the request may have been
    // executed.
    response.may_have_executed = result.error() != httplib::Error::Connection &&
                                 result.error() != httplib::Error::ConnectionTimeout;
    spdlog::debug("state: {} {} failed: {}", name(request.method), request.path,
                  httplib::to_string(result.error()));
    return response;
  }
  response.status = result->status;
  response.may_have_executed = true;
  if (!result->body.empty())
    if (auto body = wire::unpack(result->body)) response.body = std::move(*body);
  if (response.status == http_status::kTooManyRequests) {
    on_too_many_requests(request);
  } else if (response.status != http_status::kOk && response.status != http_status::kConflict &&
             response.status != http_status::kNotFound) {
    spdlog::debug("state: {} {} returned status {}", name(request.method), request.path,
                  response.status);
  }
  return response;
}

void Client::on_too_many_requests(const Request& request) {
  limiters_.requests.pause_for(kRateLimitedPauseS);
  if (request.changes > 0) {
    limiters_.on_write_refused();
    limiters_.writes.pause_for(kRateLimitedPauseS);
  }
  spdlog::warn("state: {} {} exceeded the rate limit (429)", name(request.method), request.path);
}

// ---------------------------------------------------------------- transactions

ledger::Result Client::commit_result(const Response& response) {
  ledger::Result result;
  if (response.status == http_status::kOk) {
    const auto revision = wire::parse_revision(response.body);
    result.outcome = revision ? Outcome::applied : Outcome::indeterminate;
    result.revision = revision.value_or(0);
  } else if (response.status == http_status::kConflict) {
    result.outcome = Outcome::conflict;
    result.failed_keys = wire::parse_failed_keys(response.body);
  } else if (response.status == http_status::kBadRequest) {
    result.outcome = Outcome::rejected;
    spdlog::warn("state: transaction rejected (400): too large, malformed, or its lease has ended");
  } else if (response.status != http_status::kNone || !response.may_have_executed) {
    result.outcome = Outcome::not_executed;  // 503 or 429, or nothing was sent
  }
  return result;
}

ledger::Result Client::commit(const ledger::Transaction& transaction, double max_wait_s) {
  return commit_result(
      call({Method::post, wire::kTransactionPath, wire::encode_transaction(transaction),
            static_cast<double>(transaction.changes.size())},
           max_wait_s));
}

ledger::Result Client::commit_resent(const ledger::Transaction& transaction, double max_wait_s) {
  ledger::Result result = commit(transaction, max_wait_s);
  if (result.outcome != Outcome::conflict) return result;
  const auto written = std::find_if(transaction.changes.begin(), transaction.changes.end(),
                                    [](const ledger::Change& change) { return !change.erase; });
  if (written == transaction.changes.end()) return result;
  const Read read = get(written->key, max_wait_s);
  if (!read.ok) {
    result.outcome = Outcome::indeterminate;
  } else if (read.row && ledger::is_written_by(read.row->value, transaction.transaction_id)) {
    result.outcome = Outcome::applied;
    result.revision = read.row->version;
  }
  return result;
}

// ---------------------------------------------------------------- reads

Client::Read Client::get(const std::string& key, double max_wait_s) {
  const Response response = call({Method::get, wire::key_path(key), {}, 0}, max_wait_s);
  Read read;
  if (response.status == http_status::kOk) read.row = wire::parse_row(response.body);
  read.ok = read.row || response.status == http_status::kNotFound;
  return read;
}

std::optional<wire::Rows> Client::range(const std::string& prefix, const std::string& after,
                                        int max_count) {
  const Response response =
      call({Method::get, wire::range_path(prefix, after, max_count), {}, 0}, kReadMaxWaitS);
  if (response.status != http_status::kOk) return std::nullopt;
  auto rows = wire::parse_rows(response.body);
  // The caller continues after the last row. A response that does not advance past `after` would
  // make it loop for ever.
  if (rows && !rows->rows.empty() && rows->rows.back().key <= after) return std::nullopt;
  return rows;
}

Client::Watch Client::watch(const std::string& prefix, uint64_t after, int hold_ms) {
  const Response response =
      call({Method::get, wire::watch_path(prefix, after, hold_ms), {}, 0}, kReadMaxWaitS);
  Watch watch;
  if (response.status == http_status::kGone) {
    watch.kind = Watch::Kind::too_old;
  } else if (response.status == http_status::kOk) {
    if (auto rows = wire::parse_events(response.body)) {
      watch.kind = Watch::Kind::events;
      watch.rows = std::move(*rows);
    }
  }
  return watch;
}

// ---------------------------------------------------------------- leases

std::optional<uint64_t> Client::grant(double ttl_s) {
  const Response response =
      call_without_waiting({Method::post, wire::kLeasesPath, wire::encode_lease_request(ttl_s), 0});
  if (response.status != http_status::kOk) return std::nullopt;
  return wire::parse_lease_id(response.body);
}

Client::Renewal Client::renew(uint64_t lease) {
  const Response response =
      call_without_waiting({Method::post, wire::renewal_path(lease), json::object(), 0});
  if (response.status == http_status::kOk) return Renewal::renewed;
  if (response.status == http_status::kNotFound) return Renewal::ended;
  return Renewal::indeterminate;
}

void Client::revoke(uint64_t lease) {
  call({Method::remove, wire::lease_path(lease), {}, 0}, kRevokeMaxWaitS);
}

}  // namespace rookdyke::state
