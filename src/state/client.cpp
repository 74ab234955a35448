#include "state/client.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "net/steady_clock.h"

namespace rookdyke::state {

using ledger::Outcome;
using nlohmann::json;

namespace {
// Siblings say every second that they see the limit lowered; it holds here as long as they do.
constexpr double kSiblingFresh = 3;
}  // namespace

void RateLimiters::on_write_refused() {
  std::lock_guard lock(mutex_);
  write_limit_.on_refused(steady_now());
  update_locked(steady_now());
}

void RateLimiters::on_sibling_refused() {
  std::lock_guard lock(mutex_);
  sibling_refused_at_ = steady_now();
  update_locked(steady_now());
}

bool RateLimiters::sees_lowered_write_rate() {
  std::lock_guard lock(mutex_);
  return write_limit_.is_lowered(steady_now());
}

double RateLimiters::update_write_rate() {
  std::lock_guard lock(mutex_);
  return update_locked(steady_now());
}

double RateLimiters::update_locked(double now) {
  const bool lowered = write_limit_.is_lowered(now) || now - sibling_refused_at_ < kSiblingFresh;
  const double is = lowered ? std::min(write_rps_, next_write_rps_) : write_rps_;
  if (is != current_write_rps_) {
    writes.set_total(is);
    current_write_rps_ = is;
    spdlog::info("state: {} changes a second from now on", is);
  }
  return is;
}

Client::Client(const Endpoint& at, RateLimiters& limiters, double read_timeout_s)
    : http_(at.host, at.port), limiters_(limiters) {
  http_.set_keep_alive(true);
  http_.set_tcp_nodelay(true);
  http_.set_url_encode(false);
  http_.set_connection_timeout(0, 700'000);
  http_.set_read_timeout(std::chrono::milliseconds(static_cast<int>(read_timeout_s * 1000)));
  http_.set_write_timeout(1, 0);
}

Client::Answer Client::call(const char* method, const std::string& path, const json* body,
                            double writes, double max_wait_s) {
  Answer a;
  if (!limiters_.requests.take(1, max_wait_s)) return a;
  if (writes > 0 && !limiters_.writes.take(writes, max_wait_s)) return a;
  return send(method, path, body, writes > 0);
}

Client::Answer Client::call_first(const char* method, const std::string& path, const json* body) {
  limiters_.requests.take_first(1);
  return send(method, path, body, false);
}

Client::Answer Client::send(const char* method, const std::string& path, const json* body,
                            bool writes) {
  Answer a;
  static const std::string type = "application/msgpack";
  const std::string payload = body ? wire::pack(*body) : std::string();
  const std::string_view verb = method;
  httplib::Result r = verb == "GET"      ? http_.Get(path)
                      : verb == "DELETE" ? http_.Delete(path)
                                         : http_.Post(path, payload, type);
  if (!r) {
    // Without a connection nothing was sent; anything else leaves it open.
    a.sent =
        r.error() != httplib::Error::Connection && r.error() != httplib::Error::ConnectionTimeout;
    spdlog::debug("state: {} {}: {}", method, path, httplib::to_string(r.error()));
    return a;
  }
  a.status = r->status;
  a.sent = true;
  if (!r->body.empty())
    if (auto j = wire::unpack(r->body)) a.body = std::move(*j);
  if (a.status == 429) {
    limiters_.requests.penalty(0.2);
    if (writes) {
      limiters_.on_write_refused();
      limiters_.writes.penalty(0.2);
    }
    spdlog::warn("state: {} {}: over the rate limit", method, path);
  } else if (a.status != 200 && a.status != 409 && a.status != 404) {
    spdlog::debug("state: {} {}: {}", method, path, a.status);
  }
  return a;
}

ledger::Result Client::commit(const ledger::Transaction& t, double max_wait_s) {
  ledger::Result out;
  const json body = wire::transaction(t);
  const Answer a = call("POST", wire::kTransactionPath, &body,
                        static_cast<double>(t.changes.size()), max_wait_s);
  if (a.status == 200) {
    const auto rev = wire::parse_revision(a.body);
    out.outcome = rev ? Outcome::applied : Outcome::unknown;
    out.revision = rev.value_or(0);
  } else if (a.status == 409) {
    out.outcome = Outcome::conflict;
    out.failed = wire::parse_failed(a.body);
  } else if (a.status == 400) {
    out.outcome = Outcome::rejected;
    spdlog::warn("state: a transaction is too large or malformed, or its lease is over");
  } else if (a.status != 0 || !a.sent) {
    out.outcome = Outcome::refused;  // 503, 429, or nothing was sent
  }
  return out;
}

ledger::Result Client::commit_repeated(const ledger::Transaction& t, double max_wait_s) {
  ledger::Result r = commit(t, max_wait_s);
  if (r.outcome != Outcome::conflict) return r;
  for (const ledger::Change& c : t.changes) {
    if (c.erase) continue;
    const Read got = get(c.key, max_wait_s);
    if (!got.ok) {
      r.outcome = Outcome::unknown;
    } else if (got.row && got.row->value.is_object() && got.row->value.contains("w") &&
               got.row->value["w"] == t.transaction_id) {
      r.outcome = Outcome::applied;
      r.revision = got.row->version;
    }
    break;
  }
  return r;
}

Client::Read Client::get(const std::string& key, double max_wait_s) {
  Read out;
  const Answer a = call("GET", wire::key_path(key), nullptr, 0, max_wait_s);
  if (a.status == 200) out.row = wire::parse_row(a.body);
  out.ok = (a.status == 200 && out.row) || a.status == 404;
  return out;
}

std::optional<wire::Rows> Client::range(const std::string& prefix, const std::string& after,
                                        int most) {
  const Answer a = call("GET", wire::range_path(prefix, after, most), nullptr, 0, 1.0);
  if (a.status != 200) return std::nullopt;
  auto rows = wire::parse_rows(a.body);
  // Read on from its last row, an answer that does not go on would be asked for without end.
  if (rows && !rows->rows.empty() && rows->rows.back().key <= after) return std::nullopt;
  return rows;
}

Client::Watch Client::watch(const std::string& prefix, uint64_t after, int hold_ms) {
  Watch out;
  const Answer a = call("GET", wire::watch_path(prefix, after, hold_ms), nullptr, 0, 1.0);
  if (a.status == 410) {
    out.kind = Watch::Kind::too_old;
  } else if (a.status == 200) {
    if (auto rows = wire::parse_events(a.body)) {
      out.kind = Watch::Kind::events;
      out.rows = std::move(*rows);
    }
  }
  return out;
}

std::optional<uint64_t> Client::grant(double ttl_s) {
  const json body = wire::lease(ttl_s);
  const Answer a = call_first("POST", wire::kLeasesPath, &body);
  if (a.status != 200) return std::nullopt;
  return wire::parse_lease(a.body);
}

Client::Renewal Client::renew(uint64_t lease) {
  const json body = json::object();
  const Answer a = call_first("POST", wire::renewal_path(lease), &body);
  if (a.status == 200) return Renewal::kept;
  if (a.status == 404) return Renewal::ended;
  return Renewal::unknown;
}

void Client::drop(uint64_t lease) { call("DELETE", wire::lease_path(lease), nullptr, 0, 0.5); }

}  // namespace rookdyke::state
