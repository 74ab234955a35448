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
// How long reads and the end of a lease wait for the rate limits.
constexpr double kReadMaxWaitS = 1.0;
constexpr double kDropMaxWaitS = 0.5;
// How long all requests are held back after one was refused for its rate.
constexpr double kRefusalPenaltyS = 0.2;

}  // namespace

Client::Client(const Endpoint& at, RateLimiters& limiters, double read_timeout_s)
    : http_(at.host, at.port), limiters_(limiters) {
  http_.set_keep_alive(true);
  http_.set_tcp_nodelay(true);
  http_.set_url_encode(false);
  http_.set_connection_timeout(kConnectTimeout);
  http_.set_read_timeout(std::chrono::milliseconds(static_cast<int>(read_timeout_s * 1000)));
  http_.set_write_timeout(kWriteTimeout);
}

// ---------------------------------------------------------------- requests

Client::Answer Client::call(const Request& request, double max_wait_s) {
  if (!limiters_.requests.take(1, max_wait_s)) return {};
  if (request.changes > 0 && !limiters_.writes.take(request.changes, max_wait_s)) return {};
  return send(request);
}

Client::Answer Client::call_without_waiting(const Request& request) {
  limiters_.requests.take_first(1);
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

Client::Answer Client::send(const Request& request) {
  Answer answer;
  const httplib::Result result = send_http(request);
  if (!result) {
    // Without a connection nothing was sent; after any other error it may have been executed.
    answer.may_have_executed = result.error() != httplib::Error::Connection &&
                               result.error() != httplib::Error::ConnectionTimeout;
    spdlog::debug("state: {} {}: {}", name(request.method), request.path,
                  httplib::to_string(result.error()));
    return answer;
  }
  answer.status = result->status;
  answer.may_have_executed = true;
  if (!result->body.empty())
    if (auto body = wire::unpack(result->body)) answer.body = std::move(*body);
  if (answer.status == http_status::kTooManyRequests) {
    on_too_many_requests(request);
  } else if (answer.status != http_status::kOk && answer.status != http_status::kConflict &&
             answer.status != http_status::kNotFound) {
    spdlog::debug("state: {} {}: {}", name(request.method), request.path, answer.status);
  }
  return answer;
}

void Client::on_too_many_requests(const Request& request) {
  limiters_.requests.penalty(kRefusalPenaltyS);
  if (request.changes > 0) {
    limiters_.on_write_refused();
    limiters_.writes.penalty(kRefusalPenaltyS);
  }
  spdlog::warn("state: {} {}: over the rate limit", name(request.method), request.path);
}

// ---------------------------------------------------------------- transactions

ledger::Result Client::commit_result(const Answer& answer) {
  ledger::Result result;
  if (answer.status == http_status::kOk) {
    const auto revision = wire::parse_revision(answer.body);
    result.outcome = revision ? Outcome::applied : Outcome::indeterminate;
    result.revision = revision.value_or(0);
  } else if (answer.status == http_status::kConflict) {
    result.outcome = Outcome::conflict;
    result.failed_keys = wire::parse_failed_keys(answer.body);
  } else if (answer.status == http_status::kBadRequest) {
    result.outcome = Outcome::rejected;
    spdlog::warn("state: a transaction is too large or malformed, or its lease is over");
  } else if (answer.status != http_status::kNone || !answer.may_have_executed) {
    result.outcome = Outcome::not_executed;  // 503, 429, or nothing was sent
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
  const Answer answer = call({Method::get, wire::key_path(key), {}, 0}, max_wait_s);
  Read read;
  if (answer.status == http_status::kOk) read.row = wire::parse_row(answer.body);
  read.ok = read.row || answer.status == http_status::kNotFound;
  return read;
}

std::optional<wire::Rows> Client::range(const std::string& prefix, const std::string& after,
                                        int max_count) {
  const Answer answer =
      call({Method::get, wire::range_path(prefix, after, max_count), {}, 0}, kReadMaxWaitS);
  if (answer.status != http_status::kOk) return std::nullopt;
  auto rows = wire::parse_rows(answer.body);
  // The caller goes on from the last row: an answer that does not go on would never end.
  if (rows && !rows->rows.empty() && rows->rows.back().key <= after) return std::nullopt;
  return rows;
}

Client::Watch Client::watch(const std::string& prefix, uint64_t after, int hold_ms) {
  const Answer answer =
      call({Method::get, wire::watch_path(prefix, after, hold_ms), {}, 0}, kReadMaxWaitS);
  Watch watch;
  if (answer.status == http_status::kGone) {
    watch.kind = Watch::Kind::too_old;
  } else if (answer.status == http_status::kOk) {
    if (auto rows = wire::parse_events(answer.body)) {
      watch.kind = Watch::Kind::events;
      watch.rows = std::move(*rows);
    }
  }
  return watch;
}

// ---------------------------------------------------------------- leases

std::optional<uint64_t> Client::grant(double ttl_s) {
  const Answer answer =
      call_without_waiting({Method::post, wire::kLeasesPath, wire::encode_lease_request(ttl_s), 0});
  if (answer.status != http_status::kOk) return std::nullopt;
  return wire::parse_lease_id(answer.body);
}

Client::Renewal Client::renew(uint64_t lease) {
  const Answer answer =
      call_without_waiting({Method::post, wire::renewal_path(lease), json::object(), 0});
  if (answer.status == http_status::kOk) return Renewal::renewed;
  if (answer.status == http_status::kNotFound) return Renewal::ended;
  return Renewal::indeterminate;
}

void Client::drop(uint64_t lease) {
  call({Method::remove, wire::lease_path(lease), {}, 0}, kDropMaxWaitS);
}

}  // namespace rookdyke::state
