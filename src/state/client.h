#pragma once
// Client of the state service: transactions, reads, watches and leases over one keep-alive
// connection. Each of the daemon's loops owns a client; the threads that serve user requests borrow
// one from a ConnectionPool. Every call has connect, read and write timeouts and is limited to this
// controller's share of the rate limits. No function throws.

#include <httplib.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "config/config.h"
#include "ledger/rows.h"
#include "state/rate_limiters.h"
#include "wire/wire.h"

namespace rookdyke::state {

// Not thread-safe.
class Client {
 public:
  // The limiters must outlive this object.
  Client(const Endpoint& endpoint, RateLimiters& limiters, double read_timeout_s = 1.5);

  // Executes a transaction. `max_wait_s` limits only the time spent waiting for the rate limits.
  ledger::Result commit(const ledger::Transaction& transaction, double max_wait_s);
  // Like commit(), for a transaction that was sent before with an indeterminate outcome. A conflict
  // may be caused by the earlier copy: if the first row that the transaction writes holds the
  // transaction's id, the earlier copy was executed and the outcome is `applied`.
  ledger::Result commit_resent(const ledger::Transaction& transaction, double max_wait_s);

  // Result of reading one key.
  struct Read {
    bool ok = false;               // the read succeeded, whether or not the key exists
    std::optional<wire::Row> row;  // empty if the key does not exist
  };
  Read get(const std::string& key, double max_wait_s);
  // Returns up to `max_count` rows whose keys have the prefix and sort after `after`, or empty if
  // the request failed.
  std::optional<wire::Rows> range(const std::string& prefix, const std::string& after,
                                  int max_count);

  // Result of a watch.
  struct Watch {
    enum class Kind {
      events,   // `rows` holds the changes
      too_old,  // the changes since the revision are no longer stored; reload the ledger
      failed
    } kind = Kind::failed;
    wire::Rows rows;
  };
  // Returns the changes under the prefix that were made after the revision `after`. If there are
  // none, the state service waits up to `hold_ms` for the first one.
  Watch watch(const std::string& prefix, uint64_t after, int hold_ms);

  // Requests a lease and returns its id, or empty if that failed. grant() and renew() do not wait
  // for the rate limits, since a delayed renewal could cost the leader its lease.
  std::optional<uint64_t> grant(double ttl_s);
  enum class Renewal {
    renewed,
    ended,         // the lease has ended
    indeterminate  // indeterminate: the lease may or may not have been renewed
  };
  Renewal renew(uint64_t lease);
  // Ends a lease before it expires. Does nothing if the state service cannot be reached.
  void revoke(uint64_t lease);

 private:
  enum class Method { get, post, remove };
  static const char* name(Method method);  // for log messages
  struct Request {
    Method method = Method::get;
    std::string path;
    std::optional<nlohmann::json> body;
    double changes = 0;  // number of row changes, counted against the write rate limit
  };
  struct Response {
    int status = 0;                  // HTTP status; 0 if there was no response
    bool may_have_executed = false;  // the request may have reached the state service
    nlohmann::json body;
  };
  Response call(const Request& request, double max_wait_s);
  // For lease requests: counts against the request rate limit, but does not wait for it.
  Response call_without_waiting(const Request& request);
  Response send(const Request& request);
  httplib::Result send_http(const Request& request);
  void on_too_many_requests(const Request& request);
  static ledger::Result commit_result(const Response& response);

  httplib::Client http_;
  RateLimiters& limiters_;
};

}  // namespace rookdyke::state
