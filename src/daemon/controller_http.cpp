// What the node answers over HTTP to workers, health checks and siblings, and what the users'
// requests (api/user_api.h) need of it.

#include <spdlog/spdlog.h>

#include <algorithm>

#include "daemon/controller.h"
#include "net/steady_clock.h"
#include "wire/wire.h"

namespace rookdyke {

using ledger::JobStatus;
using ledger::Outcome;
using nlohmann::json;

namespace {

constexpr const char* kType = "application/msgpack";
// A submission that finds no connection and no budget in this time is more than we can take: it is
// told so at once, not when its user would give up anyway.
constexpr double kQueuePatience = 0.9;
constexpr double kHealthPatience = 2;
constexpr double kSlow = 0.2;  // an answer that took longer is logged
// A leader in doubt answers with starts only if it lately had proof of all cancellations.
constexpr double kMaxStaleness = 3;
constexpr double kTellPatience = 1.2;  // for the leader to hear of a cancellation

void reply(httplib::Response& res, int status, const json& body) {
  res.status = status;
  res.set_content(wire::pack(body), kType);
}

}  // namespace

void Controller::serve(const httplib::Request& req, httplib::Response& res) {
  const std::string path = req.target.substr(0, req.target.find('?'));
  struct Watch {  // what took long, or was not taken
    const httplib::Request& req;
    const httplib::Response& res;
    double from = steady_now();
    ~Watch() {
      const double took = steady_now() - from;
      if (took > kSlow || res.status >= 500)
        spdlog::debug("{} {}: {} after {:.0f} ms", req.method, req.target, res.status, 1000 * took);
    }
  } watch{req, res};
  if (path == wire::kReport && req.method == "POST")
    report(req, res);
  else if (path == wire::kHealth && req.method == "GET")
    health(res);
  else
    user_api_.serve(req, res);
}

// ---------------------------------------------------------------- for the users' requests

bool Controller::wait_for_barrier(double timeout_s) { return read_barrier_.wait(timeout_s); }

void Controller::read(const std::function<void(const LedgerCache&)>& look) const {
  std::lock_guard lock(mutex_);
  look(ledger_cache_);
}

std::vector<MachineType> Controller::machine_types() const {
  std::vector<MachineType> types;
  {
    std::lock_guard lock(mutex_);
    types = !ledger_cache_.types().empty() ? ledger_cache_.types() : types_;
  }
  if (!loaded_) types.clear();
  return types;
}

std::string Controller::new_transaction_id() {
  std::lock_guard lock(mutex_);
  return next_transaction_id();
}

void Controller::apply_committed(const wire::Row& row) {
  std::lock_guard lock(mutex_);
  apply(row);
}

bool Controller::siblings_are_served() const {
  return steady_now() - siblings_ok_at_ < kHealthPatience;
}

// Brings a transaction to an outcome: an unanswered one is repeated word for word. Empty: it may
// yet be executed, or not; the user has to ask again. It is waited for only while it may succeed: a
// state service that refuses, or a queue that is too long, ends it at once.
std::optional<ledger::Result> Controller::commit(const ledger::Transaction& t, double deadline) {
  if (read_barrier_.failing()) return std::nullopt;
  state::ConnectionPool::Connection state(state_connections_, kQueuePatience);
  if (!state) return std::nullopt;
  bool repeat = false;
  while (true) {
    const double left = deadline - steady_now();
    if (left <= 0.05) return std::nullopt;
    const ledger::Result r = repeat ? state->commit_repeated(t, std::min(left, kQueuePatience))
                                    : state->commit(t, std::min(left, kQueuePatience));
    if (r.outcome == Outcome::unknown) {
      if (read_barrier_.failing()) return std::nullopt;
      repeat = true;
      continue;
    }
    const bool not_this_copy = r.outcome == Outcome::refused || r.outcome == Outcome::rejected;
    if (not_this_copy && repeat) return std::nullopt;  // but perhaps an earlier one
    return r;
  }
}

// The one place that decides whether a user may hear "aborted" of a job whose cancellation is
// durable: whoever may answer workers now has to know of it, or it would keep their leases and
// those tasks alive (leadership/cancellations.h). `leader`: whose key the write was conditional on,
// 0: unknown.
bool Controller::may_confirm_cancelled(const std::string& id, double deadline, uint64_t leader) {
  std::unique_lock lock(mutex_);
  const CachedJob* j = ledger_cache_.job(id);
  if (!j || j->row.status != JobStatus::cancelled) return false;
  const uint64_t version = j->version;
  if (cancellation_gate_.is_known(id, version)) return true;
  // Our own core took the row with the ledger cache. A leader that slept may be none any more.
  if (leads()) {
    const bool ours = scheduler_ && !scheduler_->has_lost_leadership() &&
                      lease_confirmed(steady_now()) && fencing_token_ >= known_token();
    if (ours) cancellation_gate_.acknowledge(id, version);
    return ours;
  }
  return cancellation_gate_.wait_until_known(
      lock, id, version, leader, std::min(deadline - steady_now(), kTellPatience),
      [this] { return read_barrier_.failing() || ledger_cache_.leader().empty(); });
}

// ---------------------------------------------------------------- workers, health checks, siblings

void Controller::report(const httplib::Request& req, httplib::Response& res) {
  const auto body = wire::unpack(req.body);
  const auto r = body ? wire::parse_heartbeat(*body) : std::nullopt;
  if (!r) return reply(res, 400, {{"error", "not a report"}});
  std::unique_lock lock(mutex_);
  const double now = steady_now();
  if (role_ == Role::unconfirmed && is_isolated(now)) {
    lock.unlock();
    return reply(res, 503, {{"error", "cut off"}});
  }
  if (leads() && !knows_cancellations(now)) {
    lock.unlock();
    return reply(res, 503, {{"error", "jobs may have been cancelled unheard"}});
  }
  // A leader that slept does not know yet whether it still is one: the worker goes on to another.
  if (leads() && !lease_confirmed(now)) {
    lock.unlock();
    return reply(res, 503, {{"error", "not sure to lead"}});
  }
  if (leads() && scheduler_ && !scheduler_->has_lost_leadership()) {
    scheduler_->allow_starts(role_ == Role::leading ||
                             now - cancellation_staleness_.at() < kMaxStaleness);
    const HeartbeatReply out = scheduler_->on_heartbeat(*r, now);
    if (out.verdict != HeartbeatReply::Verdict::deposed) {
      const json answer = wire::report_answer(fencing_token_, out.commands);
      const bool needs_round = scheduler_->needs_round();
      lock.unlock();
      commit_cv_.notify_one();
      if (needs_round) scheduling_cv_.notify_one();
      return reply(res, 200, answer);
    }
    step_down(Role::follower, "a worker has seen a higher token");
  }
  // Only a leader that we have heard of lately is worth sending a worker to: one that is dead
  // would cost it 4 s of waiting.
  std::string leader;
  if (now - state_ok_at_ < 1.5 && ledger_cache_.leader() != config_.scheduler.label)
    leader = ledger_cache_.leader();
  lock.unlock();
  spdlog::debug("report of {} sent on to {}", r->machine, leader.empty() ? "anybody" : leader);
  reply(res, 421, wire::redirect(leader));
}

void Controller::health(httplib::Response& res) {
  const double now = steady_now();
  const bool mine = loaded_ && now - state_ok_at_ < kHealthPatience;
  // During an outage all nodes are alike, and being marked unhealthy would outlast it; only a
  // node that is alone in its trouble sends its users elsewhere.
  const bool ok = mine || (loaded_ && !siblings_are_served());
  reply(res, ok ? 200 : 503, {{"ok", ok}});
}

void Controller::serve_mesh(const httplib::Request& req, httplib::Response& res) {
  if (req.target == mesh::kCancelled && req.method == "POST") {
    const auto c = mesh::decode_cancelled(req.body);
    res.set_content(json{{"token", c ? on_cancellations(*c) : 0}}.dump(), "application/json");
    return;
  }
  if (req.target != mesh::kView || req.method != "POST") {
    res.status = 404;
    return;
  }
  if (const auto v = mesh::decode(req.body)) on_peer_view(*v);
  res.set_content(mesh::text(view()), "application/json");
}

}  // namespace rookdyke
