#pragma once
// What loopback tests share: a state service, a cloud and workers on real sockets, and nodes with
// their real servers and clients that talk to them.

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "daemon/controller.h"
#include "net/server.h"
#include "simulation/state_service.h"
#include "wire/wire.h"

namespace rookdyke::test {

using nlohmann::json;

inline constexpr int kPatienceS = 60;

inline json body_of(const std::string& s) { return wire::unpack(s).value_or(json()); }

inline void put(httplib::Response& res, int status, const json& j) {
  res.status = status;
  res.set_content(wire::pack(j), "application/msgpack");
}

// The state service's protocol over the scenarios' Store. Leases never run out here.
class StateService {
 public:
  StateService()
      : store_(clock_),
        server_({"127.0.0.1", 0}, 64, 64, 1 << 20,
                [this](const httplib::Request& q, httplib::Response& r) { serve(q, r); }) {
    EXPECT_TRUE(server_.start());
  }
  int port() const { return server_.port(); }
  void set_outage(bool on) {
    std::lock_guard lock(mutex_);
    outage_ = on;
  }
  // What becomes of a transaction: `before` are late ones that are carried out first; one that is
  // not answered has an answer that cannot be read.
  struct Fate {
    bool executed = true, answered = true;
    std::vector<ledger::Transaction> before = {};
  };
  void decide(std::function<Fate(const ledger::Transaction&)> fate) {
    std::lock_guard lock(mutex_);
    fate_ = std::move(fate);
  }
  // Whether leases that are given back end at once: not those of a process that was killed.
  void take_leases_back(bool on) {
    std::lock_guard lock(mutex_);
    take_leases_back_ = on;
  }
  void end_lease(uint64_t id) {
    std::lock_guard lock(mutex_);
    store_.drop(id);
  }
  size_t leases_given_back() {
    std::lock_guard lock(mutex_);
    return leases_given_back_;
  }
  size_t watches() {
    std::lock_guard lock(mutex_);
    return watches_;
  }
  size_t transactions() {
    std::lock_guard lock(mutex_);
    return asked_;
  }
  // Changes that others make while nobody is answered.
  void change_much(int times) {
    std::lock_guard lock(mutex_);
    for (int i = 0; i < times; ++i) {
      ledger::Transaction t;
      t.changes = {{"rd/x/" + std::to_string(i % 7), false, json(i), 0}};
      store_.commit(t);
    }
  }
  // From now on larger values and transactions are answered 400.
  void apply_lowered_limits(const StateLimits& to) {
    std::lock_guard lock(mutex_);
    store_.apply_lowered_limits(to);
  }
  size_t rejected() {
    std::lock_guard lock(mutex_);
    return store_.rejected;
  }
  const Store::Entry* row(const std::string& key) {
    std::lock_guard lock(mutex_);
    return store_.get(key);
  }
  size_t longest_watch() {
    std::lock_guard lock(mutex_);
    return longest_;
  }

 private:
  void serve(const httplib::Request& q, httplib::Response& r) {
    std::lock_guard lock(mutex_);
    const std::string path = q.target.substr(0, q.target.find('?'));
    if (path == "/txn") ++asked_;
    if (outage_) return put(r, 503, {{"error", "down"}});
    if (path == "/txn") return serve_transaction(body_of(q.body), r);
    if (path == "/watch") return serve_watch(q, r);
    if (path == "/keys") return serve_range(q, r);
    if (path.rfind("/keys/", 0) == 0) return serve_key(path.substr(6), r);
    if (path == "/leases") return put(r, 200, {{"tether", store_.grant(1e9)}});
    if (path.rfind("/leases/", 0) == 0) return serve_lease(q, std::stoull(path.substr(8)), r);
    put(r, 404, json::object());
  }

  // As it stands in the request's target; empty: it is missing.
  static std::string parameter(const httplib::Request& q, const std::string& name) {
    const size_t at = q.target.find(name + "=");
    if (at == std::string::npos) return {};
    const size_t from = at + name.size() + 1;
    return q.target.substr(from, q.target.find('&', from) - from);
  }

  static ledger::Transaction transaction_of(const json& in) {
    ledger::Transaction t;
    for (const json& c : in.at("if"))
      t.conditions.push_back({c.at("k").get<std::string>(), c.at("stamp").get<uint64_t>()});
    for (const json& c : in.at("then")) {
      if (c.contains("delete"))
        t.changes.push_back({c.at("delete").get<std::string>(), true, {}, 0});
      else
        t.changes.push_back(
            {c.at("write").get<std::string>(), false, c.at("v"), c.value("tether", uint64_t{0})});
    }
    return t;
  }

  void serve_transaction(const json& in, httplib::Response& r) {
    const ledger::Transaction t = transaction_of(in);
    const Fate fate = fate_ ? fate_(t) : Fate{};
    for (const ledger::Transaction& late : fate.before) store_.commit(late);
    const auto res = fate.executed ? store_.commit(t) : ledger::Result{};
    if (!fate.answered) return put(r, 200, json::object());
    if (res.outcome == ledger::Outcome::applied)
      put(r, 200, {{"ledger", res.revision}});
    else if (res.outcome == ledger::Outcome::rejected)
      put(r, 400, {{"error", "too large"}});
    else
      put(r, 409, {{"failed", res.failed_keys}, {"ledger", store_.revision}});
  }

  void serve_watch(const httplib::Request& q, httplib::Response& r) {
    ++watches_;
    json log = json::array();
    const auto changes = store_.since(std::stoull(parameter(q, "after")));
    longest_ = std::max(longest_, changes.size());
    for (const auto& e : changes) {
      if (e.deleted)
        log.push_back({{"delete", e.key}, {"stamp", e.version}});
      else
        log.push_back({{"write", e.key}, {"v", e.value}, {"stamp", e.version}});
    }
    put(r, 200, {{"ledger", store_.revision}, {"log", log}});
  }

  void serve_range(const httplib::Request& q, httplib::Response& r) {
    ++ranges_;
    json rows = json::array();
    const size_t most = std::stoul(parameter(q, "most"));
    const auto all = store_.rows_after(httplib::detail::decode_url(parameter(q, "after"), false));
    for (const auto& [k, e] : all) {
      if (rows.size() == most) break;
      rows.push_back({{"k", k}, {"v", e.value}, {"stamp", e.version}});
    }
    const bool more = rows.size() < all.size();
    put(r, 200, {{"rows", std::move(rows)}, {"truncated", more}, {"ledger", store_.revision}});
  }

  void serve_key(const std::string& key, httplib::Response& r) {
    const auto* e = store_.get(key);
    if (e)
      put(r, 200, {{"k", key}, {"v", e->value}, {"stamp", e->version}});
    else
      put(r, 404, {{"ledger", store_.revision}});
  }

  void serve_lease(const httplib::Request& q, uint64_t lease, httplib::Response& r) {
    if (q.method != "DELETE") return put(r, store_.renew(lease) ? 200 : 404, json::object());
    ++leases_given_back_;
    if (take_leases_back_) store_.drop(lease);
    put(r, 200, json::object());
  }

  std::mutex mutex_;
  bool outage_ = false;
  bool take_leases_back_ = true;
  std::function<Fate(const ledger::Transaction&)> fate_;
  size_t asked_ = 0, ranges_ = 0, longest_ = 0, watches_ = 0, leases_given_back_ = 0;
  Clock clock_;
  Store store_;
  net::Server server_;
};

// A cloud with one small machine type; a rented machine is a thread that reports and runs every
// task in no time, but for those of jobs whose ids begin with kRunsOn: they run until stopped.
class CloudAndWorkers {
 public:
  CloudAndWorkers()
      : server_({"127.0.0.1", 0}, 16, 16, 1 << 20,
                [this](const httplib::Request& q, httplib::Response& r) { serve(q, r); }) {
    EXPECT_TRUE(server_.start());
  }
  ~CloudAndWorkers() {
    stop_ = true;
    for (auto& t : threads_) t.join();
  }
  int port() const { return server_.port(); }
  void use(std::map<std::string, int> nodes) {
    std::lock_guard lock(mutex_);
    nodes_ = std::move(nodes);
    known_.notify_all();
  }
  size_t rented() {
    std::lock_guard lock(mutex_);
    return names_.size();
  }
  static constexpr const char* kRunsOn = "wk-9";
  // How many tasks of the job run, and how many of its tasks were ever started.
  size_t running(const std::string& job) {
    std::lock_guard lock(mutex_);
    return static_cast<size_t>(std::count_if(running_.begin(), running_.end(), [&](const auto& t) {
      return t.first.rfind(job + "/", 0) == 0;
    }));
  }
  size_t started(const std::string& job) {
    std::lock_guard lock(mutex_);
    return started_[job];
  }
  // Tasks that ran on two machines at once, or that were started though they ran already.
  size_t ran_twice() {
    std::lock_guard lock(mutex_);
    return ran_twice_;
  }
  // The tasks of that job that run now fail.
  void fail_tasks(const std::string& job) {
    std::lock_guard lock(mutex_);
    for (const auto& [task, machine] : running_)
      if (task.rfind(job + "/", 0) == 0) to_fail_.insert(task);
  }

 private:
  void serve(const httplib::Request& q, httplib::Response& r) {
    std::lock_guard lock(mutex_);
    if (q.target == "/machine_types") {
      put(r, 200,
          {{"breeds",
            {{{"name", "box"},
              {"cpus", 4},
              {"gpus", 0},
              {"mem_gb", 8},
              {"local_gb", 10},
              {"fetch_gb_per_s", 1.0},
              {"hourly", 1.0},
              {"low_price", 0.5},
              {"boot_s", 1.0},
              {"yards", {"a"}}}}}});
    } else if (q.target == "/machines" && q.method == "POST") {
      const json in = body_of(q.body);
      json names = json::array();
      for (int i = 0; i < in.at("how_many").get<int>() && names_.size() < 4; ++i) {
        const std::string name = "m-00000" + std::to_string(names_.size());
        names_.push_back(name);
        names.push_back(name);
        const bool spot = in.at("loaners").get<bool>();
        threads_.emplace_back([this, name, spot] { work(name, spot); });
      }
      if (names.empty())
        put(r, 503, {{"error", "no capacity"}});
      else
        put(r, 200, {{"crofts", names}});
    } else if (q.target == "/machines/return") {
      put(r, 200, json::object());
    } else {
      put(r, 200, {{"crofts", json::array()}, {"truncated", false}});
    }
  }

  void work(const std::string& name, bool spot) {
    std::map<std::string, json> tasks;
    uint64_t fencing_token = 0, tally = 0;
    // Machines may be rented before the nodes' ports are known here.
    std::map<std::string, int> nodes;
    {
      std::unique_lock lock(mutex_);
      known_.wait(lock, [this] { return !nodes_.empty(); });
      nodes = nodes_;
    }
    auto controller = nodes.begin();
    while (!stop_) {
      json list = json::array();
      for (const auto& [k, t] : tasks) list.push_back(t);
      httplib::Client c("127.0.0.1", controller->second);
      const auto r = c.Post("/hello",
                            wire::pack({{"croft", name},
                                        {"addr", ""},
                                        {"breed", "box"},
                                        {"yard", "a"},
                                        {"loaners", spot},
                                        {"tenure", 1},
                                        {"tally", ++tally},
                                        {"warrant", fencing_token},
                                        {"shifts", list}}),
                            "application/msgpack");
      if (r && r->status == 200) {
        const json a = body_of(r->body);
        fencing_token = a.at("warrant").get<uint64_t>();
        for (const json& o : a.at("orders")) {
          const std::string k = o.at("shift").get<std::string>();
          if (o.at("verb") == "run" && !tasks.count(k))
            tasks[k] = begin(k, o.at("go"), name);
          else if (o.at("verb") == "stop" && tasks.count(k) && tasks[k]["standing"] == "running")
            end(tasks[k], "halted");
          else if (o.at("verb") == "clear")
            tasks.erase(k);
        }
        for (auto& [k, t] : tasks)
          if (t["standing"] == "running" && is_to_fail(k)) end(t, "error");
      } else {
        const json a = r ? body_of(r->body) : json();
        const std::string leader = a.is_object() ? a.value("steward", "") : "";
        if (nodes.count(leader))
          controller = nodes.find(leader);
        else if (++controller == nodes.end())
          controller = nodes.begin();
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  }

  json begin(const std::string& task, const json& attempt, const std::string& machine) {
    json t = {{"shift", task}, {"go", attempt}, {"standing", "running"}};
    std::lock_guard lock(mutex_);
    ++started_[task.substr(0, task.find('/'))];
    if (task.rfind(kRunsOn, 0) != 0) {
      t["standing"] = "exited";
      t["cause"] = "done";
      return t;
    }
    if (!running_.emplace(task, machine).second) ++ran_twice_;
    return t;
  }
  void end(json& t, const char* cause) {
    t["standing"] = "exited";
    t["cause"] = cause;
    std::lock_guard lock(mutex_);
    running_.erase(t.at("shift").get<std::string>());
  }
  bool is_to_fail(const std::string& task) {
    std::lock_guard lock(mutex_);
    return to_fail_.erase(task) > 0;
  }

  std::mutex mutex_;
  std::map<std::string, std::string> running_;  // task -> machine
  std::map<std::string, size_t> started_;       // by job
  std::set<std::string> to_fail_;
  size_t ran_twice_ = 0;
  std::condition_variable known_;
  std::atomic<bool> stop_{false};
  std::map<std::string, int> nodes_;
  std::vector<std::string> names_;
  std::vector<std::thread> threads_;
  net::Server server_;
};

inline Config config(const std::string& label, int state, int cloud) {
  Config c;
  c.scheduler.label = label;
  c.scheduler.zones = {"a"};
  c.scheduler.teams = {{"t", 0, 2, 0, 0}};
  c.scheduler.heartbeat_interval_s =
      30;  // the worker here is quick; nothing is silent for this test's length
  c.scheduler.lease_s = 300;
  c.bind = c.mesh = {"127.0.0.1", 0};
  c.state = {"127.0.0.1", state};
  c.cloud = {"127.0.0.1", cloud};
  c.state_rps = 2000;
  c.write_rps = 500;
  c.cloud_rps = 50;
  c.nodes = 2;
  return c;
}

inline json job(const std::string& id, int tasks) {
  return {{"id", id},           {"lot", "l"},      {"crew", "t"},       {"shape", "array"},
          {"rank", "standard"}, {"shifts", tasks}, {"cpus", 1.0},       {"gpus", 0.0},
          {"mem_gb", 1.0},      {"kit", "i"},      {"image_gb", 0.0},   {"one_zone", false},
          {"scatter", false},   {"loaners", true}, {"expected_s", 1.0}, {"marker_s", 0.0},
          {"stow_s", 0.0}};
}

inline bool until(const std::function<bool()>& yes) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(kPatienceS);
  while (std::chrono::steady_clock::now() < end) {
    if (yes()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
  }
  return false;
}

inline int free_port() {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  EXPECT_EQ(::bind(fd, reinterpret_cast<sockaddr*>(&at), size), 0);
  EXPECT_EQ(::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size), 0);
  ::close(fd);
  return ntohs(at.sin_port);
}

// Two nodes that know each other as peer controllers, or do not.
class Pair : public testing::Test {
 protected:
  explicit Pair(bool peers) {
    // A port that was free may be taken by now: then others are tried.
    for (int i = 0; i < 20 && (!a_ || !b_); ++i) {
      Config first = config("n-a", state.port(), cloud.port());
      Config second = config("n-b", state.port(), cloud.port());
      if (peers) {
        first.mesh.port = free_port();
        second.mesh.port = free_port();
        first.peers = {{"n-b", second.mesh}};
        second.peers = {{"n-a", first.mesh}};
      }
      a_ = started(first);
      b_ = a_ ? started(second) : nullptr;
    }
    if (!a_ || !b_) throw std::runtime_error("no ports");
    cloud.use({{"n-a", a().port()}, {"n-b", b().port()}});
  }
  static std::unique_ptr<Controller> started(const Config& c) {
    auto n = std::make_unique<Controller>(c);
    return n->start() ? std::move(n) : nullptr;
  }
  Controller& a() { return *a_; }
  Controller& b() { return *b_; }
  Controller& leader() { return a().role() == Role::leading ? a() : b(); }
  Controller& follower() { return a().role() == Role::leading ? b() : a(); }
  bool somebody_leads() {
    return until([&] { return a().role() == Role::leading || b().role() == Role::leading; });
  }
  std::pair<int, json> ask(Controller& n, const std::string& path,
                           const std::string* body = nullptr) {
    httplib::Client c("127.0.0.1", n.port());
    c.set_read_timeout(10, 0);
    const auto r = body ? c.Post(path, *body, "application/msgpack") : c.Get(path);
    return r ? std::make_pair(r->status, body_of(r->body)) : std::make_pair(0, json());
  }
  int submit(Controller& n, const json& j) {
    const std::string body = wire::pack(j);
    int status = 0;
    EXPECT_TRUE(until([&] { return (status = ask(n, "/v2/runs", &body).first) != 503; }));
    return status;
  }
  std::string standing(Controller& n, const std::string& id) {
    const auto [status, j] = ask(n, "/v2/runs/" + id);
    return status == 200 ? j.at("standing").get<std::string>() : std::to_string(status);
  }

  StateService state;
  CloudAndWorkers cloud;

 private:
  std::unique_ptr<Controller> a_, b_;
};

class Loopback : public Pair {
 protected:
  Loopback() : Pair(true) {}
};

class LoopbackApart : public Pair {
 protected:
  LoopbackApart() : Pair(false) {}
};

}  // namespace rookdyke::test
