#pragma once
// The state service's client. One object per thread: it keeps one connection open. Every call has
// connect, read and write timeouts and pays from the node's budget.

#include <httplib.h>

#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "config/config.h"
#include "ledger/rows.h"
#include "net/rate_limit.h"
#include "net/rate_limiter.h"
#include "wire/wire.h"

namespace rookdyke::state {

// What all clients of a replica may ask of the state service.
class RateLimiters {
 public:
  // next_write_rps: what the limit of changes a second will be from some moment on; empty: it
  // stays.
  RateLimiters(double rps, double write_rps, std::optional<double> next_write_rps = std::nullopt)
      : requests(rps),
        writes(write_rps),
        write_rps_(write_rps),
        next_write_rps_(next_write_rps.value_or(write_rps)) {}

  // The state service refused a change for its rate.
  void on_write_refused();
  // The same was seen by a sibling, just now.
  void on_sibling_refused();
  // Whether this replica itself takes the limit of changes a second for lowered.
  bool sees_lowered_write_rate();
  // Follows what is known of the limit; returns it. To be called every second or so.
  double update_write_rate();

  net::RateLimiter requests, writes;

 private:
  double update_locked(double now);

  const double write_rps_, next_write_rps_;
  std::mutex mutex_;
  net::RateLimit write_limit_;
  double sibling_refused_at_ = -1e9;
  double current_write_rps_ = write_rps_;
};

class Client {
 public:
  Client(const Endpoint& at, RateLimiters& limiters, double read_timeout_s = 1.5);

  // `max_wait_s` bounds the wait for the budget only.
  ledger::Result commit(const ledger::Transaction& t, double max_wait_s);
  // As commit, but settles whether a repeated transaction had been executed: on a conflict its
  // first written row is read, and carries the mark if it was.
  ledger::Result commit_repeated(const ledger::Transaction& t, double max_wait_s);

  struct Read {
    bool ok = false;  // answered; `row` empty: no such key
    std::optional<wire::Row> row;
  };
  Read get(const std::string& key, double max_wait_s);
  std::optional<wire::Rows> range(const std::string& prefix, const std::string& after, int most);

  struct Watch {
    enum class Kind { events, too_old, failed } kind = Kind::failed;
    wire::Rows rows;
  };
  Watch watch(const std::string& prefix, uint64_t after, int hold_ms);

  std::optional<uint64_t> grant(double ttl_s);
  enum class Renewal { kept, ended, unknown };
  Renewal renew(uint64_t lease);
  void drop(uint64_t lease);

 private:
  struct Answer {
    int status = 0;     // 0: none
    bool sent = false;  // it may have been executed
    nlohmann::json body;
  };
  Answer call(const char* method, const std::string& path, const nlohmann::json* body,
              double writes, double max_wait_s);
  // A request about a lease: it waits behind no others.
  Answer call_first(const char* method, const std::string& path, const nlohmann::json* body);
  Answer send(const char* method, const std::string& path, const nlohmann::json* body, bool writes);

  httplib::Client http_;
  RateLimiters& limiters_;
};

}  // namespace rookdyke::state
