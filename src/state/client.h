#pragma once
// The state service's client. One object per thread: it keeps one connection open. Every call has
// connect, read and write timeouts and pays from the node's budget.

#include <httplib.h>

#include <atomic>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "config/config.h"
#include "core/ledger.h"
#include "net/budget.h"
#include "wire/wire.h"

namespace rookdyke::state {

// What all clients of a node may ask of the state service.
struct Budgets {
  // next_write_rps: what the limit of changes a second will be from some moment on; empty: it
  // stays.
  Budgets(double rps, double write_rps, std::optional<double> next_write_rps = std::nullopt)
      : requests(rps), writes(write_rps), next_write_rps_(next_write_rps) {}

  // The limit of changes a second has become the next one. For good, also if that was a mistake: it
  // never rises, and less than there is does no harm.
  void lower_write_rate();
  bool has_lowered_write_rate() const { return has_lowered_write_rate_; }

  net::Budget requests, writes;

 private:
  const std::optional<double> next_write_rps_;
  std::atomic<bool> has_lowered_write_rate_{false};
};

class Client {
 public:
  Client(const Endpoint& at, Budgets& budgets, double read_timeout_s = 1.5);

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
  Budgets& budgets_;
};

}  // namespace rookdyke::state
