#pragma once
// The state service's client: transactions, reads, watches and leases over one kept-open
// connection. For one thread at a time; the daemon's loops own one each, and the threads that serve
// users borrow theirs from a ConnectionPool. Every call has timeouts for connecting, reading and
// writing, and waits for this replica's share of the rate limits. No function throws.

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

class Client {
 public:
  // The limiters must outlive this object.
  Client(const Endpoint& at, RateLimiters& limiters, double read_timeout_s = 1.5);

  // Executes a transaction. max_wait_s bounds the wait for the rate limits only.
  ledger::Result commit(const ledger::Transaction& transaction, double max_wait_s);
  // As commit(), for a transaction of which an earlier copy may have been executed. A conflict may
  // come from that copy: then the first row that it writes carries the transaction's id, and the
  // outcome is `applied`.
  ledger::Result commit_resent(const ledger::Transaction& transaction, double max_wait_s);

  // One key.
  struct Read {
    bool ok = false;               // it was answered
    std::optional<wire::Row> row;  // empty: there is no such key
  };
  Read get(const std::string& key, double max_wait_s);
  // The keys under a prefix that follow `after`, max_count at most. Empty: it failed.
  std::optional<wire::Rows> range(const std::string& prefix, const std::string& after,
                                  int max_count);

  // The changes under a prefix after a revision.
  struct Watch {
    enum class Kind {
      events,   // rows holds them
      too_old,  // they are not kept that long any more: the ledger has to be read again
      failed
    } kind = Kind::failed;
    wire::Rows rows;
  };
  // Waits up to hold_ms for the first.
  Watch watch(const std::string& prefix, uint64_t after, int hold_ms);

  // Leases. These calls go before any others that wait for the rate limits, except drop().
  std::optional<uint64_t> grant(double ttl_s);  // empty: it failed
  enum class Renewal {
    renewed,
    ended,         // the lease is over
    indeterminate  // it may be renewed or not
  };
  Renewal renew(uint64_t lease);
  // Ends a lease early, if the state service can be reached.
  void drop(uint64_t lease);

 private:
  enum class Method { get, post, remove };
  static const char* name(Method method);  // for the log
  struct Request {
    Method method = Method::get;
    std::string path;
    std::optional<nlohmann::json> body;
    double changes = 0;  // how many it asks for
  };
  struct Answer {
    int status = 0;                  // HTTP; 0: none
    bool may_have_executed = false;  // the request reached the state service, or may have
    nlohmann::json body;
  };
  Answer call(const Request& request, double max_wait_s);
  // For requests about leases: does not wait for the rate limits.
  Answer call_without_waiting(const Request& request);
  Answer send(const Request& request);
  httplib::Result send_http(const Request& request);
  void on_too_many_requests(const Request& request);
  static ledger::Result commit_result(const Answer& answer);

  httplib::Client http_;
  RateLimiters& limiters_;
};

}  // namespace rookdyke::state
