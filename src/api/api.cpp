// Users, workers, health checks and siblings, as they come in over HTTP.

#include <spdlog/spdlog.h>

#include <algorithm>

#include "core/admission.h"
#include "daemon/node.h"
#include "wire/wire.h"

namespace rookdyke {

using ledger::Outcome;
using ledger::Standing;
using nlohmann::json;

namespace {

constexpr const char* kType = "application/msgpack";
// A user waits 5 s for an answer to a submission and 2 s for one to a poll.
constexpr double kSubmitPatience = 3.0;
constexpr double kPollPatience = 1.5;
// A submission that finds no connection and no budget in this time is more than we can take: it is
// told so at once, not when its user would give up anyway.
constexpr double kQueuePatience = 0.9;
constexpr double kHealthPatience = 2;
// An answer that took longer has nobody who waits for it; what it says may be older than what its
// user has been told since.
constexpr double kPollTooLate = 2;
constexpr double kSlow = 0.2;  // an answer that took longer is logged
// A leader in doubt answers with starts only if it lately had proof of all cancellations.
constexpr double kFreshHorizon = 3;
constexpr double kTellPatience = 1.2;  // for the leader to hear of a cancellation
constexpr double kTooLate = 1;         // beyond the time that a request is given

void reply(httplib::Response& res, int status, const json& body) {
  res.status = status;
  res.set_content(wire::pack(body), kType);
}

bool ends_with(const std::string& s, const std::string& end) {
  return s.size() >= end.size() && s.compare(s.size() - end.size(), end.size(), end) == 0;
}

double day_time() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace

// The service cannot take it now and says so at once, and when to come back: spread out, so that
// not all return in the same second after an outage. A node that is alone in its trouble, or whose
// siblings may know more (`elsewhere`), lets the connection go too: kept, it would bring the same
// user back here, until the load balancer finds out.
void Node::later(httplib::Response& res, const char* why, bool elsewhere) {
  static std::atomic<unsigned> turn{0};
  res.set_header("Retry-After", std::to_string(1 + turn++ % 3));
  if (elsewhere || steady_now() - siblings_ok_at_ < kHealthPatience) {
    res.set_header("Connection", "close");
    net::Server::close_after_answer();
  }
  reply(res, 503, {{"error", why}});
}

void Node::serve(const httplib::Request& req, httplib::Response& res) {
  const std::string path = req.target.substr(0, req.target.find('?'));
  static const std::string jobs = std::string(wire::kJobs) + "/";
  const bool post = req.method == "POST";
  const bool get = req.method == "GET";
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
  if (path == wire::kReport && post) {
    report(req, res);
  } else if (path == wire::kHealth && get) {
    health(res);
  } else if (path == wire::kJobs && post) {
    submit(req, res);
  } else if (path.compare(0, jobs.size(), jobs) == 0) {
    const std::string rest = path.substr(jobs.size());
    if (post && ends_with(rest, wire::kAbortEnd)) {
      abort(rest.substr(0, rest.size() - std::string(wire::kAbortEnd).size()), res);
    } else if (get) {
      poll(rest, res);
    } else {
      reply(res, 404, {{"error", "no such path"}});
    }
  } else {
    reply(res, 404, {{"error", "no such path"}});
  }
}

// Brings a transaction to an outcome: an unanswered one is repeated word for word. Empty: it may
// yet be executed, or not; the user has to ask again. It is waited for only while it may succeed: a
// state service that refuses, or a queue that is too long, ends it at once.
std::optional<ledger::Result> Node::settle(const ledger::Transaction& t, double deadline) {
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
    if (r.outcome == Outcome::refused && repeat) return std::nullopt;
    return r;
  }
}

void Node::submit(const httplib::Request& req, httplib::Response& res) {
  const double deadline = steady_now() + kSubmitPatience;
  const auto body = wire::unpack(req.body);
  if (!body || !body->is_object()) return reply(res, 400, {{"error", "not a MessagePack map"}});
  const auto id = wire::job_id(*body);
  if (!id) return reply(res, 400, {{"error", "bad id"}});

  // A job that is known already is answered with its state, whatever the body says now.
  auto known = [&]() -> bool {
    std::unique_lock lock(mutex_);
    const auto a = mirror_.answer(*id);
    lock.unlock();
    if (!a) return false;
    if (a->standing == Standing::open && steady_now() > deadline + kTooLate)
      later(res, "too late");  // we stood still: others may have told its user more since
    else
      answer_job(*id, *a, false, deadline, res);
    return true;
  };
  auto decided_elsewhere = [&] {  // before any 400 or 422: nobody may have accepted it
    if (!read_barrier_.wait(deadline - steady_now())) {
      later(res, "the ledger does not answer");
      return true;
    }
    return known();
  };
  bool seen = false, over = false;
  {
    std::lock_guard lock(mutex_);
    if (const MirrorJob* j = mirror_.job(*id)) {
      seen = true;
      over = j->row.standing != Standing::open;
    }
  }
  if (seen) {
    if (!over && !read_barrier_.wait(deadline - steady_now()))
      return later(res, "the ledger does not answer");
    if (known()) return;
  }

  std::string error;
  const auto spec = wire::parse_job(*body, error);
  if (!spec) {
    if (decided_elsewhere()) return;
    spdlog::info("submission {} refused: {} is missing or invalid", *id, error);
    return reply(res, 400, {{"error", "missing or invalid: " + error}});
  }
  std::vector<TypeInfo> types;
  {
    std::lock_guard lock(mutex_);
    types = !mirror_.types().empty() ? mirror_.types() : types_;
  }
  if (types.empty() || !loaded_) return later(res, "machine types are not known yet");
  const auto never = never_runs(*spec, types, config_.core.teams, config_.core.zones);
  if (never) {
    if (decided_elsewhere()) return;
    spdlog::info("submission {} refused: {}", *id, *never);
    return reply(res, 422, {{"error", *never}});
  }

  ledger::JobRow row;
  row.tasks = spec->tasks;
  row.per = ledger::tasks_per_chunk(config_.core.value_bytes);
  row.at_s = day_time();
  row.spec = *spec;
  ledger::Transaction t;
  {
    std::lock_guard lock(mutex_);
    t.mark = new_mark();
  }
  row.mark = t.mark;
  const json value = ledger::encode(row);
  if (value.dump(-1, ' ', false, json::error_handler_t::replace).size() + 16 >
      config_.core.value_bytes) {
    if (decided_elsewhere()) return;
    return reply(res, 400, {{"error", "the description is too long"}});
  }
  // Invariant 1: accepted means that this create-if-absent was executed.
  t.conditions = {{ledger::job_key(*id), 0}};
  t.changes = {{ledger::job_key(*id), false, value, 0}};
  const auto r = settle(t, deadline);
  if (!r || r->outcome == Outcome::refused) return later(res, "the ledger does not answer");
  if (r->outcome == Outcome::conflict) {
    // Somebody's copy of this submission came first.
    if (decided_elsewhere()) return;
    return later(res, "try again");
  }
  {
    std::lock_guard lock(mutex_);
    apply({ledger::job_key(*id), value, r->revision, false});
  }
  reply(res, 201, {{"id", *id}, {"standing", "pending"}});
}

void Node::poll(const std::string& id, httplib::Response& res) {
  const double asked = steady_now();
  if (!wire::valid_job_id(id)) return reply(res, 404, {{"error", "no such job"}});
  {
    std::unique_lock lock(mutex_);
    const MirrorJob* j = mirror_.job(id);
    if (j && j->row.standing != Standing::open) {  // final: no newer answer can exist
      const JobAnswer a = *mirror_.answer(id);
      lock.unlock();
      return answer_job(id, a, true, asked + kPollPatience, res);
    }
  }
  // Invariant 5: anything else could be older than what another node has said.
  if (!read_barrier_.wait(kPollPatience)) return later(res, "the ledger does not answer");
  std::optional<JobAnswer> a;
  {
    std::lock_guard lock(mutex_);
    a = mirror_.answer(id);
    // Invariant 5 again: we may have stood still between the barrier and here.
    if (steady_now() - asked > kPollTooLate) return later(res, "too late");
    if (a && a->standing != Standing::aborted)
      return reply(res, 200, wire::job_answer(id, *a, true));
  }
  if (!a) return reply(res, 404, {{"error", "no such job"}});
  answer_job(id, *a, true, asked + kPollPatience, res);
}

// Every answer about a known job, but for open ones to polls, goes out here.
void Node::answer_job(const std::string& id, const JobAnswer& a, bool counts, double deadline,
                      httplib::Response& res) {
  if (a.standing == Standing::aborted && !may_say_aborted(id, deadline))
    return later(res, "the leader has not heard of the cancellation", true);
  reply(res, 200, wire::job_answer(id, a, counts));
}

// The one place that decides whether a user may hear "aborted" of a job whose cancellation is
// durable: whoever may answer workers now has to know of it, or it would keep their leases and
// those tasks alive (core/cancellations.h). `leader`: whose key the write was conditional on, 0:
// unknown.
bool Node::may_say_aborted(const std::string& id, double deadline, uint64_t leader) {
  std::unique_lock lock(mutex_);
  const MirrorJob* j = mirror_.job(id);
  if (!j || j->row.standing != Standing::aborted) return false;
  const uint64_t stamp = j->stamp;
  if (cancellation_gate_.is_known(id, stamp)) return true;
  // Our own core took the row with the mirror. A leader that slept may be none any more.
  if (leads()) {
    const bool ours = core_ && !core_->lost() && sure(steady_now()) && token_ >= known_token();
    if (ours) cancellation_gate_.acknowledge(id, stamp);
    return ours;
  }
  return cancellation_gate_.wait_until_known(
      lock, id, stamp, leader, std::min(deadline - steady_now(), kTellPatience),
      [this] { return read_barrier_.failing() || mirror_.leader().empty(); });
}

void Node::abort(const std::string& id, httplib::Response& res) {
  const double deadline = steady_now() + kSubmitPatience;
  if (!wire::valid_job_id(id)) return reply(res, 404, {{"error", "no such job"}});
  while (true) {
    ledger::Transaction t;
    ledger::JobRow row;
    std::optional<JobAnswer> over;
    uint64_t leader = 0;
    if (!read_barrier_.wait(deadline - steady_now()))
      return later(res, "the ledger does not answer");
    {
      std::lock_guard lock(mutex_);
      const MirrorJob* j = mirror_.job(id);
      if (!j) return reply(res, 404, {{"error", "no such job"}});
      if (j->row.standing != Standing::open) over = mirror_.answer(id);
      t.mark = new_mark();
      row.tasks = j->row.tasks;
      row.per = j->row.per;
      row.spec = j->row.spec;
      t.conditions = {{ledger::job_key(id), j->stamp}};
      // Held at the time of the write, so that we know who has to hear of it. While nobody leads
      // the next leader finds the row; its user has to ask again.
      if (!mirror_.leader().empty()) {
        leader = mirror_.leader_stamp();
        t.conditions.push_back({ledger::kLeaderKey, leader});
      }
    }
    if (over) return answer_job(id, *over, false, deadline, res);
    row.standing = Standing::aborted;
    row.at_s = day_time();
    row.mark = t.mark;
    const json value = ledger::encode(row);
    t.changes = {{ledger::job_key(id), false, value, 0}};
    const auto r = settle(t, deadline);
    if (!r || r->outcome == Outcome::refused) return later(res, "the ledger does not answer");
    if (r->outcome == Outcome::conflict) continue;  // it moved: look again
    {
      std::lock_guard lock(mutex_);
      apply({ledger::job_key(id), value, r->revision, false});
    }
    if (!may_say_aborted(id, deadline, leader))
      return later(res, "the leader has not heard of the cancellation", true);
    return reply(res, 200, {{"id", id}, {"standing", "aborted"}});
  }
}

void Node::report(const httplib::Request& req, httplib::Response& res) {
  const auto body = wire::unpack(req.body);
  const auto r = body ? wire::parse_report(*body) : std::nullopt;
  if (!r) return reply(res, 400, {{"error", "not a report"}});
  std::unique_lock lock(mutex_);
  const double now = steady_now();
  if (role_ == Role::doubtful && alone(now)) {
    lock.unlock();
    return reply(res, 503, {{"error", "cut off"}});
  }
  if (leads() && !knows_cancellations(now)) {
    lock.unlock();
    return reply(res, 503, {{"error", "jobs may have been cancelled unheard"}});
  }
  // A leader that slept does not know yet whether it still is one: the worker goes on to another.
  if (leads() && !sure(now)) {
    lock.unlock();
    return reply(res, 503, {{"error", "not sure to lead"}});
  }
  if (leads() && core_ && !core_->lost()) {
    core_->allow_starts(role_ == Role::leading || now - horizon_.at() < kFreshHorizon);
    const ReportReply out = core_->on_report(*r, now);
    if (out.verdict != ReportReply::Verdict::deposed) {
      const json answer = wire::report_answer(token_, out.orders);
      const bool eager = core_->eager();
      lock.unlock();
      commit_cv_.notify_one();
      if (eager) engine_cv_.notify_one();
      return reply(res, 200, answer);
    }
    step_down(Role::follower, "a worker has seen a higher token");
  }
  // Only a leader that we have heard of lately is worth sending a worker to: one that is dead
  // would cost it 4 s of waiting.
  std::string leader;
  if (now - state_ok_at_ < 1.5 && mirror_.leader() != config_.core.label) leader = mirror_.leader();
  lock.unlock();
  spdlog::debug("report of {} sent on to {}", r->machine, leader.empty() ? "anybody" : leader);
  reply(res, 421, wire::redirect(leader));
}

void Node::health(httplib::Response& res) {
  const double now = steady_now();
  const bool mine = loaded_ && now - state_ok_at_ < kHealthPatience;
  // During an outage all nodes are alike, and being marked unhealthy would outlast it; only a
  // node that is alone in its trouble sends its users elsewhere.
  const bool others = now - siblings_ok_at_ < kHealthPatience;
  const bool ok = mine || (loaded_ && !others);
  reply(res, ok ? 200 : 503, {{"ok", ok}});
}

void Node::serve_mesh(const httplib::Request& req, httplib::Response& res) {
  if (req.target == mesh::kCancelled && req.method == "POST") {
    const auto c = mesh::decode_cancelled(req.body);
    res.set_content(json{{"token", c ? take_cancelled(*c) : 0}}.dump(), "application/json");
    return;
  }
  if (req.target != mesh::kView || req.method != "POST") {
    res.status = 404;
    return;
  }
  if (const auto v = mesh::decode(req.body)) hear(*v);
  res.set_content(mesh::text(view()), "application/json");
}

}  // namespace rookdyke
