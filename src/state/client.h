#pragma once
// The state service's client. One object per thread: it keeps one connection open. Every call has
// connect, read and write timeouts and pays from the node's budget.

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "config/config.h"
#include "core/ledger.h"
#include "net/budget.h"
#include "wire/wire.h"

namespace rookdyke::state {

struct Budgets {
  Budgets(double rps, double write_rps) : requests(rps), writes(write_rps) {}
  net::Budget requests, writes;
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

  httplib::Client http_;
  Budgets& budgets_;
};

}  // namespace rookdyke::state
