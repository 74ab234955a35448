#pragma once
// The simulated state service: a versioned key-value store with conditional transactions, leases
// that erase their rows when they expire, and a log of changes. The World owns one; the loopback
// tests serve the same store over HTTP. Within an outage every transaction is refused and no lease
// expires.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "ledger/rows.h"
#include "model/settings.h"
#include "simulation/clock.h"

namespace rookdyke::test {

class Store {
 public:
  struct Entry {
    nlohmann::json value;
    uint64_t version = 0, lease = 0;
  };
  // One change of one row.
  struct Event {
    std::string key;
    bool deleted = false;
    nlohmann::json value;
    uint64_t version = 0;
  };
  explicit Store(Clock& clock) : clock_(clock) {}

  // Limits: a transaction beyond them is rejected.
  size_t value_bytes = 8192, txn_ops = 8;
  size_t rejected = 0;         // transactions beyond the limits
  size_t largest_written = 0;  // bytes of a value since the limits were last lowered
  void apply_lowered_limits(const StateLimits& to) {
    value_bytes = to.value_bytes;
    txn_ops = to.txn_ops;
    largest_written = 0;
  }
  bool outage = false;
  uint64_t revision = 0;
  uint64_t transactions = 0;
  // By how many seconds a transaction is delayed, in which case it gets no answer; negative: it is
  // executed at once and answered.
  std::function<double()> lateness = [] { return -1.0; };
  // Whether a transaction that is executed at once gets no answer.
  std::function<bool()> loses_answer = [] { return false; };
  // Whether the request that is being served gets no answer.
  bool unanswered_starts = false;

  ledger::Result commit(const ledger::Transaction& t);
  // Grants a lease of `ttl` seconds and returns its id.
  uint64_t grant(double ttl);
  // False: the lease has ended.
  bool renew(uint64_t lease);
  // Ends a lease and erases its rows.
  void drop(uint64_t lease);
  // Leases begin anew when an outage ends.
  void end_outage();
  // The changes after that revision.
  std::vector<Event> since(uint64_t revision) const;
  const Entry* get(const std::string& key) const;
  std::vector<std::pair<std::string, Entry>> rows_after(const std::string& key) const {
    return {rows_.upper_bound(key), rows_.end()};
  }

 private:
  struct Lease {
    double ttl, until;
  };
  ledger::Result apply(const ledger::Transaction& t);
  bool within_limits(const ledger::Transaction& t) const;
  std::vector<std::string> failed_conditions(const ledger::Transaction& t) const;
  bool names_ended_lease(const ledger::Transaction& t) const;
  void write(const ledger::Change& c);
  void schedule_expiry(uint64_t lease, double ttl);
  void expire(uint64_t lease);

  Clock& clock_;
  std::map<std::string, Entry> rows_;
  std::map<uint64_t, Lease> leases_;
  std::vector<Event> log_;
  uint64_t next_lease_ = 0;
};

}  // namespace rookdyke::test
