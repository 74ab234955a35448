#include "simulation/state_service.h"

#include <algorithm>

namespace rookdyke::test {

using ledger::Outcome;

namespace {
constexpr size_t kConditionsPerChange = 4;  // that a transaction may have, at most
constexpr double kExpiryMargin = 0.01;      // a lease expires so much after its time
}  // namespace

ledger::Result Store::commit(const ledger::Transaction& t) {
  const double late = outage ? -1 : lateness();
  if (late < 0) {
    unanswered_starts = !outage && loses_answer();
    return apply(t);
  }
  unanswered_starts = true;
  clock_.after(late, [this, t] { apply(t); });
  return {};
}

ledger::Result Store::apply(const ledger::Transaction& t) {
  ledger::Result r;
  if (outage) {
    r.outcome = Outcome::not_executed;
    return r;
  }
  if (!within_limits(t)) {
    ++rejected;
    r.outcome = Outcome::rejected;
    return r;
  }
  ++transactions;
  r.failed_keys = failed_conditions(t);
  if (!r.failed_keys.empty()) {
    r.outcome = Outcome::conflict;
    return r;
  }
  if (names_ended_lease(t)) {
    r.outcome = Outcome::not_executed;
    return r;
  }
  ++revision;
  for (const ledger::Change& c : t.changes) write(c);
  r.outcome = Outcome::applied;
  r.revision = revision;
  return r;
}

bool Store::within_limits(const ledger::Transaction& t) const {
  if (t.changes.size() > txn_ops || t.conditions.size() > kConditionsPerChange * txn_ops)
    return false;
  return std::all_of(t.changes.begin(), t.changes.end(), [this](const ledger::Change& c) {
    return c.erase || ledger::value_size(c.value) <= value_bytes;
  });
}

std::vector<std::string> Store::failed_conditions(const ledger::Transaction& t) const {
  std::vector<std::string> failed;
  for (const ledger::Condition& c : t.conditions) {
    auto it = rows_.find(c.key);
    const uint64_t version = it == rows_.end() ? 0 : it->second.version;
    if (version != c.version) failed.push_back(c.key);
  }
  return failed;
}

bool Store::names_ended_lease(const ledger::Transaction& t) const {
  return std::any_of(t.changes.begin(), t.changes.end(), [this](const ledger::Change& c) {
    return c.lease && !leases_.count(c.lease);
  });
}

void Store::write(const ledger::Change& c) {
  if (c.erase) {
    if (rows_.erase(c.key)) log_.push_back({c.key, true, {}, revision});
    return;
  }
  largest_written = std::max(largest_written, ledger::value_size(c.value));
  rows_[c.key] = {c.value, revision, c.lease};
  log_.push_back({c.key, false, c.value, revision});
}

void Store::schedule_expiry(uint64_t id, double ttl) {
  clock_.after(ttl + kExpiryMargin, [this, id] { expire(id); });
}

uint64_t Store::grant(double ttl) {
  const uint64_t id = ++next_lease_;
  leases_[id] = {ttl, clock_.now + ttl};
  schedule_expiry(id, ttl);
  return id;
}

bool Store::renew(uint64_t id) {
  auto it = leases_.find(id);
  if (it == leases_.end()) return false;
  it->second.until = clock_.now + it->second.ttl;
  schedule_expiry(id, it->second.ttl);
  return true;
}

void Store::expire(uint64_t id) {
  auto it = leases_.find(id);
  if (it == leases_.end() || outage || clock_.now < it->second.until) return;
  drop(id);
}

void Store::drop(uint64_t id) {
  leases_.erase(id);
  ++revision;
  for (auto it = rows_.begin(); it != rows_.end();) {
    if (it->second.lease == id) {
      log_.push_back({it->first, true, {}, revision});
      it = rows_.erase(it);
    } else {
      ++it;
    }
  }
}

void Store::end_outage() {
  outage = false;
  for (auto& [id, l] : leases_) {
    l.until = clock_.now + l.ttl;
    schedule_expiry(id, l.ttl);
  }
}

std::vector<Store::Event> Store::since(uint64_t rev) const {
  auto it = std::partition_point(log_.begin(), log_.end(),
                                 [&](const Event& e) { return e.version <= rev; });
  return {it, log_.end()};
}

const Store::Entry* Store::get(const std::string& key) const {
  auto it = rows_.find(key);
  return it == rows_.end() ? nullptr : &it->second;
}

}  // namespace rookdyke::test
