#pragma once
// Stand-ins for the cases of this review: a state service, a cloud with workers, users, and the
// controllers as separate processes that are started with the command of the deploy file. They
// follow PROTOCOL-rookdyke.md and DEPLOY-rookdyke.md; limits are in `Site`. All addresses are
// loopback addresses. Nothing of the project's own code is used.

#include <arpa/inet.h>
#include <fcntl.h>
#include <httplib.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using nlohmann::json;
using Guard = std::lock_guard<std::mutex>;

// ---------------------------------------------------------------- time, messages, record

inline double now() {
  using namespace std::chrono;
  static const auto begin = steady_clock::now();
  return duration<double>(steady_clock::now() - begin).count();
}
inline void pause(double s) { std::this_thread::sleep_for(std::chrono::duration<double>(s)); }
inline double chance() {
  thread_local std::mt19937 engine{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, 1)(engine);
}
inline bool until(double timeout_s, const std::function<bool()>& yes) {
  for (const double end = now() + timeout_s; now() < end; pause(0.03))
    if (yes()) return true;
  return yes();
}

inline std::string pack(const json& j) {
  const auto bytes = json::to_msgpack(j);
  return {bytes.begin(), bytes.end()};
}
inline json unpack(const std::string& s) {
  if (s.empty()) return {};
  return json::from_msgpack(s, true, false);
}
inline void put(httplib::Response& r, int status, const json& j) {
  r.status = status;
  r.set_content(pack(j), "application/msgpack");
}

// record.txt: what was sent, answered and run.
class Record {
 public:
  static Record& get() {
    static Record record;
    return record;
  }
  void open(const std::string& path) { out_.open(path, std::ios::trunc); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2000];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    char time[32];
    snprintf(time, sizeof time, "%8.3f  ", now());
    Guard lock(mutex_);
    out_ << time << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};
#define RECORD(...) ::rig::Record::get().line(__VA_ARGS__)

inline int free_port() {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0) std::exit(2);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  ::close(fd);
  return ntohs(at.sin_port);
}

// An HTTP server on a free loopback port that passes every request to one function.
class Server {
 public:
  using Handler = std::function<void(const httplib::Request&, httplib::Response&)>;
  explicit Server(size_t threads, const Handler& handle) {
    server_.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    server_.set_tcp_nodelay(true);
    server_.set_keep_alive_max_count(100'000'000);
    server_.set_keep_alive_timeout(600);
    for (const char* all : {".*"}) {
      server_.Get(all, handle);
      server_.Post(all, handle);
      server_.Delete(all, handle);
    }
    port_ = server_.bind_to_any_port("127.0.0.1");
    if (port_ <= 0) std::exit(2);
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) pause(0.005);
  }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  httplib::Server server_;
  int port_ = 0;
  std::thread thread_;  // never joined: a case ends with _exit
};

// ---------------------------------------------------------------- the deployment's limits

struct MachineType {
  std::string name;
  double cpus, gpus, mem_gb, cache_gb, fetch_gb_per_s, price, spot_price, boot_s;
};

struct Site {
  std::string name;
  int nodes = 3;
  std::vector<std::string> zones;
  std::vector<std::string> teams;
  // Guarantees (CPUs, GPUs) by team; the others have none. Nobody has a limit.
  std::map<std::string, std::pair<double, double>> guarantees;
  json objectives = json::array();
  double report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s;
  double state_rps, write_rps, value_kb;
  size_t txn_ops;
  double cloud_rps, list_lag_s;
  double cores, memory_mb;
  int max_sockets;
  double clock_off_ms;
  double restart_delay_s;
  MachineType type;
};

inline json objective(const char* kind, const char* job_class, double within_s, double share) {
  return {{"kind", kind}, {"class", job_class}, {"within_s", within_s}, {"share", share}};
}

// The small deployments of the brief (kit/sites).
inline Site kpa() {
  Site s;
  s.name = "kpa-bia-lots";
  s.zones = {"terminal-west"};
  for (int i = 0; i < 6; ++i) s.teams.push_back("gate-vision-0" + std::to_string(i));
  s.objectives = {objective("wait", "plate-training", 25, 0.88),
                  objective("wait", "plate-training", 40, 0.9),
                  objective("finished", "plate-training", 300, 0.9),
                  objective("finished", "gate-replay", 180, 0.8),
                  objective("finished", "gate-replay", 300, 0.97)};
  s.report_s = 3, s.lease_s = 18, s.gang_wait_s = 50, s.gang_peer_s = 6, s.cancel_s = 38;
  s.state_rps = 250, s.write_rps = 25, s.value_kb = 8, s.txn_ops = 16;
  s.cloud_rps = 4, s.list_lag_s = 6;
  s.cores = 0.2, s.memory_mb = 104, s.max_sockets = 1500, s.clock_off_ms = 100;
  s.restart_delay_s = 8;
  s.type = {"negombo-gpu64", 64, 8, 384, 150, 0.5, 28.76, 6.85, 50};
  return s;
}
inline Site registo() {
  Site s;
  s.name = "registo-claro-lisboa";
  s.zones = {"lisboa-norte", "setubal-sul"};
  s.teams = {"extraction"};
  s.objectives = {objective("wait", "reader-training", 12, 0.85),
                  objective("wait", "reader-training", 25, 0.94),
                  objective("finished", "reader-training", 400, 0.94),
                  objective("finished", "filing-sweep", 150, 0.95),
                  objective("finished", "filing-sweep", 300, 0.98)};
  s.report_s = 3, s.lease_s = 29, s.gang_wait_s = 40, s.gang_peer_s = 6, s.cancel_s = 59;
  s.state_rps = 90, s.write_rps = 35, s.value_kb = 8, s.txn_ops = 8;
  s.cloud_rps = 5, s.list_lag_s = 3;
  s.cores = 0.24, s.memory_mb = 136, s.max_sockets = 3000, s.clock_off_ms = 1000;
  s.restart_delay_s = 6;
  s.type = {"tejo-gpu24", 24, 2, 192, 60, 0.8, 6.5, 2.25, 50};
  return s;
}

// A limit per second that allows a burst of `burst_s` seconds' worth.
class Bucket {
 public:
  Bucket(double rate, double burst_s) : rate_(rate), most_(rate * burst_s), left_(most_) {}
  bool take(double n) {
    const double t = now();
    left_ = std::min(most_, left_ + (t - at_) * rate_);
    at_ = t;
    if (left_ < n) return false;
    left_ -= n;
    return true;
  }

 private:
  double rate_, most_, left_, at_ = now();
};

// ---------------------------------------------------------------- state service

class StateService {
 public:
  explicit StateService(const Site& site)
      : site_(site),
        requests_(site.state_rps, 1),
        writes_(site.write_rps, 1),
        server_(96, [this](const httplib::Request& q, httplib::Response& r) { serve(q, r); }) {
    std::thread([this] { expire_leases(); }).detach();
  }
  std::string address() const { return server_.address(); }
  // Rows that an earlier time left, one revision each. Before any controller starts.
  void preload(const std::string& key, json value) {
    Guard lock(mutex_);
    rows_[key] = {std::move(value), ++revision_, 0};
  }
  std::optional<json> value(const std::string& key) {
    Guard lock(mutex_);
    const auto it = rows_.find(key);
    if (it == rows_.end()) return std::nullopt;
    return it->second.value;
  }
  // The label in the leader key, empty without one.
  std::string leader() {
    const auto v = value("rd/leader");
    return v ? v->value("label", "") : "";
  }
  size_t refused() {
    Guard lock(mutex_);
    return refused_;
  }

 private:
  struct Row {
    json value;
    uint64_t version = 0, lease = 0;
  };
  struct Event {
    std::string key;
    bool deleted;
    json value;
    uint64_t version;
  };
  struct Lease {
    double ttl_s, until;
  };

  static std::string parameter(const httplib::Request& q, const char* name) {
    return q.has_param(name) ? q.get_param_value(name) : "";
  }

  void serve(const httplib::Request& q, httplib::Response& r) {
    std::unique_lock lock(mutex_);
    if (!requests_.take(1)) {
      ++refused_;
      return put(r, 429, {{"error", "too many requests"}});
    }
    if (q.path == "/txn") return transact(unpack(q.body), r);
    if (q.path == "/watch") return watch(lock, q, r);
    if (q.path == "/leases") {
      const double ttl = unpack(q.body).at("ttl_ms").get<double>() / 1000;
      leases_[++last_lease_] = {ttl, now() + ttl};
      return put(r, 200, {{"tether", last_lease_}});
    }
    if (q.path.rfind("/leases/", 0) == 0) return lease(q, r);
    if (q.path == "/keys") return range(q, r);
    if (q.path.rfind("/keys/", 0) == 0) {
      const auto it = rows_.find(q.path.substr(6));
      if (it == rows_.end()) return put(r, 404, {{"ledger", revision_}});
      return put(r, 200, row(it->first, it->second));
    }
    put(r, 400, {{"error", "no such path"}});
  }

  static json row(const std::string& key, const Row& row) {
    json j = {{"k", key}, {"v", row.value}, {"stamp", row.version}};
    if (row.lease) j["tether"] = row.lease;
    return j;
  }

  void transact(const json& in, httplib::Response& r) {
    const json none = json::array();
    const json& conditions = in.contains("if") ? in.at("if") : none;
    const json& changes = in.contains("then") ? in.at("then") : none;
    if (changes.size() > site_.txn_ops || conditions.size() > 4 * site_.txn_ops ||
        in.dump().size() > 64 * 1024)
      return put(r, 400, {{"error", "too large"}});
    for (const json& c : changes)
      if (c.contains("write") && c.at("v").dump().size() > site_.value_kb * 1024)
        return put(r, 400, {{"error", "value too large"}});
    if (!writes_.take(static_cast<double>(changes.size()))) {
      ++refused_;
      return put(r, 429, {{"error", "too many changes"}});
    }
    for (const json& c : changes)
      if (c.contains("write") && c.contains("tether") && !c.at("tether").is_null() &&
          !leases_.count(c.at("tether").get<uint64_t>()))
        return put(r, 400, {{"error", "no such lease"}});
    json failed = json::array();
    for (const json& c : conditions) {
      const auto it = rows_.find(c.at("k").get<std::string>());
      const uint64_t version = it == rows_.end() ? 0 : it->second.version;
      if (version != c.at("stamp").get<uint64_t>()) failed.push_back(c.at("k"));
    }
    if (!failed.empty()) return put(r, 409, {{"failed", failed}, {"ledger", revision_}});
    if (!changes.empty()) {
      ++revision_;
      for (const json& c : changes) {
        if (c.contains("delete")) {
          const auto key = c.at("delete").get<std::string>();
          if (rows_.erase(key)) log({key, true, {}, revision_});
          continue;
        }
        const auto key = c.at("write").get<std::string>();
        const uint64_t tether =
            c.contains("tether") && !c.at("tether").is_null() ? c.at("tether").get<uint64_t>() : 0;
        rows_[key] = {c.at("v"), revision_, tether};
        log({key, false, c.at("v"), revision_});
      }
    }
    put(r, 200, {{"ledger", revision_}});
  }

  void log(Event e) {
    log_.push_back(std::move(e));
    while (log_.size() > 10'000) {
      forgotten_to_ = log_.front().version;
      log_.pop_front();
    }
    changed_.notify_all();
  }

  void watch(std::unique_lock<std::mutex>& lock, const httplib::Request& q, httplib::Response& r) {
    const std::string prefix = parameter(q, "under");
    const uint64_t after = std::stoull(parameter(q, "after"));
    const std::string hold = parameter(q, "hold_ms");
    const double end = now() + (hold.empty() ? 0 : std::stod(hold) / 1000);
    while (true) {
      if (after < forgotten_to_) return put(r, 410, {{"ledger", revision_}});
      json events = json::array();
      const auto first = std::partition_point(
          log_.begin(), log_.end(), [after](const Event& e) { return e.version <= after; });
      for (auto it = first; it != log_.end(); ++it) {
        if (it->key.rfind(prefix, 0) != 0) continue;
        if (it->deleted)
          events.push_back({{"delete", it->key}, {"stamp", it->version}});
        else
          events.push_back({{"write", it->key}, {"v", it->value}, {"stamp", it->version}});
      }
      if (!events.empty() || now() >= end)
        return put(r, 200, {{"ledger", revision_}, {"log", std::move(events)}});
      changed_.wait_for(lock, std::chrono::duration<double>(end - now()));
    }
  }

  void range(const httplib::Request& q, httplib::Response& r) {
    const std::string prefix = parameter(q, "under"), after = parameter(q, "after");
    const std::string most_text = parameter(q, "most");
    const size_t most = std::min<size_t>(most_text.empty() ? 1000 : std::stoul(most_text), 1000);
    json rows = json::array();
    size_t bytes = 0;
    bool more = false;
    auto it = after.empty() ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
    for (; it != rows_.end() && it->first.rfind(prefix, 0) == 0; ++it) {
      json item = row(it->first, it->second);
      const size_t size = item.dump().size() + 1;
      if (rows.size() == most || bytes + size > 512 * 1024) {
        more = true;
        break;
      }
      bytes += size;
      rows.push_back(std::move(item));
    }
    put(r, 200, {{"rows", std::move(rows)}, {"truncated", more}, {"ledger", revision_}});
  }

  void lease(const httplib::Request& q, httplib::Response& r) {
    const uint64_t id = std::stoull(q.path.substr(8));
    const auto it = leases_.find(id);
    if (it == leases_.end()) return put(r, 404, {{"error", "no such lease"}});
    if (q.method == "DELETE")
      end_lease(id);
    else
      it->second.until = now() + it->second.ttl_s;
    put(r, 200, json::object());
  }

  void end_lease(uint64_t id) {
    leases_.erase(id);
    bool any = false;
    for (auto it = rows_.begin(); it != rows_.end();) {
      if (it->second.lease != id) {
        ++it;
        continue;
      }
      if (!any) ++revision_;
      any = true;
      log({it->first, true, {}, revision_});
      it = rows_.erase(it);
    }
  }

  void expire_leases() {
    while (true) {
      pause(0.02);
      Guard lock(mutex_);
      std::vector<uint64_t> over;
      for (const auto& [id, l] : leases_)
        if (now() > l.until) over.push_back(id);
      for (const uint64_t id : over) end_lease(id);
    }
  }

  const Site site_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Bucket requests_, writes_;
  std::map<std::string, Row> rows_;
  std::map<uint64_t, Lease> leases_;
  std::deque<Event> log_;
  uint64_t revision_ = 0, last_lease_ = 0, forgotten_to_ = 0;
  size_t refused_ = 0;
  Server server_;
};

// ---------------------------------------------------------------- what users uploaded, what ran

// Descriptions of the jobs (workers fetch them) and how long each task really runs; and the check
// of ran_twice, over what the machines see.
class World {
 public:
  struct Job {
    json spec;
    double run_s = 0;
  };
  void upload(const json& spec, double run_s) {
    Guard lock(mutex_);
    jobs_[spec.at("id").get<std::string>()] = {spec, run_s};
  }
  std::optional<Job> job(const std::string& id) {
    Guard lock(mutex_);
    const auto it = jobs_.find(id);
    if (it == jobs_.end()) return std::nullopt;
    return it->second;
  }
  // A task has its image on that machine: from now on it is on it.
  void starts(const std::string& task, uint64_t go, const std::string& machine) {
    Guard lock(mutex_);
    auto& on = on_machines_[task];
    for (const auto& [other, attempt] : on)
      if (other != machine) {
        ++ran_twice_;
        RECORD("BROKEN ran_twice: %s attempt %lu starts on %s while attempt %lu is on %s",
               task.c_str(), go, machine.c_str(), attempt, other.c_str());
      }
    on[machine] = go;
    ++starts_[task];
    started_order_.push_back({task, now()});
    RECORD("runs   %s attempt %lu on %s", task.c_str(), go, machine.c_str());
  }
  void leaves(const std::string& task, const std::string& machine, const std::string& why) {
    Guard lock(mutex_);
    on_machines_[task].erase(machine);
    RECORD("leaves %s on %s (%s)", task.c_str(), machine.c_str(), why.c_str());
    if (why == "done") done_.insert(task);
  }
  int ran_twice() {
    Guard lock(mutex_);
    return ran_twice_;
  }
  // The machine that a task is on, empty if it is on none.
  std::string machine_of(const std::string& task) {
    Guard lock(mutex_);
    const auto& on = on_machines_[task];
    return on.empty() ? "" : on.begin()->first;
  }
  size_t starts_of_job(const std::string& job) {
    Guard lock(mutex_);
    size_t n = 0;
    for (const auto& [task, count] : starts_)
      if (task.rfind(job + "/", 0) == 0) n += count;
    return n;
  }
  size_t done_of_job(const std::string& job) {
    Guard lock(mutex_);
    return std::count_if(done_.begin(), done_.end(),
                         [&](const auto& task) { return task.rfind(job + "/", 0) == 0; });
  }
  // ---- gangs: "They start together once the last task has its image, and they complete together"
  // A task of a gang has its image and waits for the others.
  void gather(const std::string& job, uint64_t go, const std::string& task) {
    Guard lock(mutex_);
    Gang& gang = gangs_[{job, go}];
    gang.members.insert(task);
    if (gang.members.size() == jobs_[job].spec.at("shifts").get<size_t>() && gang.ends_at < 0)
      gang.ends_at = now() + jobs_[job].run_s;
  }
  // When the gang's tasks complete; negative: it has not started.
  double gang_ends_at(const std::string& job, uint64_t go) {
    Guard lock(mutex_);
    return gangs_[{job, go}].ends_at;
  }
  void leave_gang(const std::string& job, uint64_t go, const std::string& task, bool done) {
    Guard lock(mutex_);
    Gang& gang = gangs_[{job, go}];
    if (!gang.members.erase(task) || done || gang.ends_at < 0 || gang.broken_at >= 0) return;
    gang.broken_at = now();
  }
  // When a running gang lost a task; negative: it has not.
  double gang_broken_at(const std::string& job, uint64_t go) {
    Guard lock(mutex_);
    return gangs_[{job, go}].broken_at;
  }
  // Tasks of the job that are on a machine.
  size_t on_machines(const std::string& job) {
    Guard lock(mutex_);
    size_t n = 0;
    for (const auto& [task, on] : on_machines_)
      if (task.rfind(job + "/", 0) == 0) n += on.size();
    return n;
  }
  bool is_done(const std::string& task) {
    Guard lock(mutex_);
    return done_.count(task);
  }
  double progress(const std::string& task) {
    Guard lock(mutex_);
    return progress_[task];
  }
  void save_progress(const std::string& task, double s) {
    Guard lock(mutex_);
    progress_[task] += s;
  }

 private:
  struct Gang {
    std::set<std::string> members;
    double ends_at = -1, broken_at = -1;
  };

  std::mutex mutex_;
  std::map<std::string, Job> jobs_;
  std::map<std::pair<std::string, uint64_t>, Gang> gangs_;
  std::map<std::string, std::map<std::string, uint64_t>> on_machines_;
  std::map<std::string, int> starts_;
  std::vector<std::pair<std::string, double>> started_order_;
  std::set<std::string> done_;
  std::map<std::string, double> progress_;
  int ran_twice_ = 0;
};

// ---------------------------------------------------------------- workers

struct NodeAddress {
  std::string label;
  int port;
};

// A machine with its worker.
class Worker {
 public:
  // A direct command as it arrived.
  struct Direct {
    std::string body;
    double at = 0;
  };
  // Called before a direct command's answer leaves; returns for how many seconds the network holds
  // the answer up.
  using HoldAnswer = std::function<double(const json& command)>;

  Worker(const Site& site, World& world, std::vector<NodeAddress> nodes, std::string name,
         std::string zone, bool spot)
      : site_(site),
        world_(world),
        nodes_(std::move(nodes)),
        name_(std::move(name)),
        zone_(std::move(zone)),
        spot_(spot),
        server_(8, [this](const httplib::Request& q, httplib::Response& r) { serve(q, r); }) {}

  const std::string& name() const { return name_; }
  std::string address() const { return server_.address(); }
  int port() const { return server_.port(); }
  HoldAnswer hold_answer;         // set before boot()
  std::atomic<bool> sick{false};  // every task that it starts fails shortly after

  void boot() {
    up = true;
    lease_from_ = now();
    node_ = static_cast<size_t>(chance() * static_cast<double>(nodes_.size())) % nodes_.size();
    RECORD("machine %s is up", name_.c_str());
    std::thread([this] { report_loop(); }).detach();
    std::thread([this] { task_loop(); }).detach();
  }
  // The machine is gone with all that is on it.
  void vanish() {
    Guard lock(mutex_);
    if (gone) return;
    gone = true;
    kill_all("machine gone");
    RECORD("machine %s is gone", name_.c_str());
  }
  // The direct commands that the worker carried out, oldest first.
  std::vector<Direct> executed() {
    Guard lock(mutex_);
    return executed_;
  }
  bool lists(const std::string& task) {
    Guard lock(mutex_);
    return tasks_.count(task);
  }
  // Whether a task of that size fits now.
  bool has_room_for(const json& spec) {
    Guard lock(mutex_);
    return !gone && fits(spec);
  }
  uint64_t warrant() {
    Guard lock(mutex_);
    return warrant_;
  }
  std::atomic<bool> up{false}, gone{false};

 private:
  struct Task {
    uint64_t go = 0;
    std::string standing, cause;
    bool stored = false, fails = false;
    double step_at = 0;  // when the current phase ends
    double began = 0;
    json spec;
  };

  static std::string job_of(const std::string& task) { return task.substr(0, task.find('/')); }

  // ---- direct commands

  void serve(const httplib::Request& q, httplib::Response& r) {
    if (!up || gone) return put(r, 503, {{"error", "not up"}});
    if (q.path == "/inspect") {
      Guard lock(mutex_);
      return put(r, 200, report());
    }
    const json in = unpack(q.body);
    if (!in.contains("warrant") || !in.contains("tenure"))
      return put(r, 400, {{"error", "no warrant or no tenure"}});
    {
      Guard lock(mutex_);
      const uint64_t warrant = in.at("warrant").get<uint64_t>();
      const bool refused = warrant < warrant_ || in.at("tenure").get<uint64_t>() != tenure_;
      RECORD("direct to %s: %s -> %s", name_.c_str(), in.dump().c_str(),
             refused ? "409" : "executed");
      if (refused) return put(r, 409, report());
      see(warrant);
      execute(in.value("orders", json::array()));
      executed_.push_back({q.body, now()});
      put(r, 200, report());
    }
    const double hold_s = hold_answer ? hold_answer(in) : 0;
    if (hold_s > 0) {
      RECORD("the network holds the answer of %s up for %.1f s", name_.c_str(), hold_s);
      pause(hold_s);
    }
  }

  void see(uint64_t warrant) {
    if (warrant <= warrant_) return;
    warrant_ = warrant;
    changed_ = true;
  }

  void execute(const json& orders) {
    for (const json& o : orders) {
      const auto task = o.at("shift").get<std::string>();
      const auto go = o.at("go").get<uint64_t>();
      if (o.at("verb") == "run")
        run(task, go);
      else if (o.at("verb") == "stop")
        stop(task, go, o.value("leave_s", 0.0));
      else if (o.at("verb") == "clear")
        clear(task, go);
    }
  }

  bool fits(const json& spec) const {
    double cpus = site_.type.cpus, gpus = site_.type.gpus, mem = site_.type.mem_gb;
    for (const auto& [name, t] : tasks_) {
      if (t.standing == "exited") continue;
      cpus -= t.spec.at("cpus").get<double>();
      gpus -= t.spec.at("gpus").get<double>();
      mem -= t.spec.at("mem_gb").get<double>();
    }
    constexpr double kSlack = 1e-6;
    return spec.at("cpus").get<double>() <= cpus + kSlack &&
           spec.at("gpus").get<double>() <= gpus + kSlack &&
           spec.at("mem_gb").get<double>() <= mem + kSlack;
  }

  void run(const std::string& task, uint64_t go) {
    const auto known = tasks_.find(task);
    if (known != tasks_.end() && known->second.go == go) return;
    Task t;
    t.go = go;
    const auto job = world_.job(job_of(task));
    if (known != tasks_.end() && known->second.standing != "exited") {
      // "in_use" would have to be listed beside the running attempt; no case here needs it.
      return;
    }
    changed_ = true;
    if (!job) {
      t.standing = "exited", t.cause = "no_such";
      t.spec = {{"cpus", 0.0}, {"gpus", 0.0}, {"mem_gb", 0.0}, {"shape", "array"}, {"shifts", 1}};
    } else {
      t.spec = job->spec;
      if (!fits(t.spec)) {
        t.standing = "exited", t.cause = "no_room";
      } else {
        t.standing = "pulling";
        const auto image = t.spec.at("kit").get<std::string>();
        const double gb = t.spec.at("image_gb").get<double>();
        t.step_at = now() + (images_.count(image) ? 0 : gb / site_.type.fetch_gb_per_s);
      }
    }
    tasks_[task] = t;
  }

  void stop(const std::string& task, uint64_t go, double leave_s) {
    const auto it = tasks_.find(task);
    if (it == tasks_.end() || it->second.go != go || it->second.standing == "exited") return;
    Task& t = it->second;
    const bool saves = t.standing == "running" && t.spec.at("marker_s").get<double>() > 0 &&
                       leave_s >= t.spec.at("stow_s").get<double>();
    if (saves) {
      t.standing = "saving";
      t.step_at = now() + t.spec.at("stow_s").get<double>();
      world_.save_progress(task, now() - t.began);
      t.stored = true;
      changed_ = true;
    } else if (t.standing != "saving" || leave_s <= 0) {
      t.stored = false;
      leave(task, t, "halted");
    }
  }

  void clear(const std::string& task, uint64_t go) {
    const auto it = tasks_.find(task);
    if (it == tasks_.end() || it->second.go != go || it->second.standing != "exited") return;
    tasks_.erase(it);
    changed_ = true;
    RECORD("clear  %s attempt %lu on %s", task.c_str(), go, name_.c_str());
  }

  // ---- tasks

  static bool is_gang(const Task& t) {
    return t.spec.at("shape") == "ensemble" && t.spec.at("shifts").get<int>() > 1;
  }

  void leave(const std::string& task, Task& t, const std::string& cause) {
    if (is_gang(t)) world_.leave_gang(job_of(task), t.go, task, cause == "done");
    if (t.standing != "pulling") world_.leaves(task, name_, cause);
    t.standing = "exited";
    t.cause = cause;
    changed_ = true;
  }

  void kill_all(const std::string& why) {
    for (auto& [task, t] : tasks_) {
      if (t.standing == "exited") continue;
      if (is_gang(t)) world_.leave_gang(job_of(task), t.go, task, false);
      if (t.standing != "pulling") world_.leaves(task, name_, why);
    }
    tasks_.clear();
  }

  void task_loop() {
    while (!gone) {
      pause(0.02);
      Guard lock(mutex_);
      if (gone) return;
      for (auto& [task, t] : tasks_) {
        if (t.standing == "exited" || now() < t.step_at) continue;
        if (is_gang(t) && t.standing != "saving") {
          step_gang_task(task, t);
        } else if (t.standing == "pulling") {
          images_.insert(t.spec.at("kit").get<std::string>());
          t.standing = "running";
          t.began = now();
          const double run_s = world_.job(job_of(task))->run_s;
          const bool was_done = world_.is_done(task);
          t.step_at = now() + (was_done ? 0 : std::max(0.1, run_s - world_.progress(task)));
          t.fails = sick;
          if (t.fails) t.step_at = now() + 0.5;
          changed_ = true;
          world_.starts(task, t.go, name_);
        } else if (t.standing == "running") {
          leave(task, t, t.fails ? "error" : "done");
        } else if (t.standing == "saving") {
          leave(task, t, "halted");
        }
      }
      if (now() - lease_from_ > site_.lease_s) {
        RECORD("machine %s: its lease ran out", name_.c_str());
        kill_all("lease ran out");
        ++tenure_;
        lease_from_ = now();
        changed_ = true;
      }
    }
  }

  void step_gang_task(const std::string& task, Task& t) {
    const std::string job = job_of(task);
    if (t.standing == "pulling") {
      images_.insert(t.spec.at("kit").get<std::string>());
      t.standing = "gathering";
      t.began = now();
      changed_ = true;
      world_.starts(task, t.go, name_);
      world_.gather(job, t.go, task);
      return;
    }
    const double ends_at = world_.gang_ends_at(job, t.go);
    if (t.standing == "gathering") {
      if (ends_at >= 0) {
        t.standing = "running";
        t.began = now();
        changed_ = true;
      } else if (now() - t.began > site_.gang_wait_s) {
        leave(task, t, "alone");
      }
      return;
    }
    const double broken_at = world_.gang_broken_at(job, t.go);
    if (broken_at >= 0) {
      if (now() - broken_at > 0.9 * site_.gang_peer_s) leave(task, t, "peers");
    } else if (now() >= ends_at) {
      leave(task, t, "done");
    }
  }

  // ---- reports

  json report() {
    json shifts = json::array();
    for (const auto& [task, t] : tasks_) {
      json s = {{"shift", task}, {"go", t.go}, {"standing", t.standing}};
      if (t.standing == "exited") s["cause"] = t.cause;
      if (t.standing == "exited" && t.stored) s["stored"] = true;
      shifts.push_back(std::move(s));
    }
    return {{"croft", name_},    {"addr", address()},   {"breed", site_.type.name},
            {"yard", zone_},     {"loaners", spot_},    {"tenure", tenure_},
            {"tally", ++tally_}, {"warrant", warrant_}, {"recall_s", nullptr},
            {"shifts", shifts}};
  }

  void report_loop() {
    std::unique_ptr<httplib::Client> http;
    size_t connected_to = nodes_.size();
    double last_sent = -1;
    double next = now();
    while (!gone) {
      pause(0.01);
      {
        Guard lock(mutex_);
        if (changed_) next = std::min(next, std::max(now(), last_sent + 0.5));
      }
      if (now() < next) continue;
      std::string body;
      uint64_t tenure = 0;
      {
        Guard lock(mutex_);
        if (gone) return;
        changed_ = false;
        tenure = tenure_;
        body = pack(report());
      }
      if (!http || connected_to != node_) {
        http = std::make_unique<httplib::Client>("127.0.0.1", nodes_[node_].port);
        http->set_keep_alive(true);
        http->set_tcp_nodelay(true);
        http->set_connection_timeout(4, 0);
        http->set_read_timeout(4, 0);
        http->set_write_timeout(4, 0);
        connected_to = node_;
      }
      const double sent = last_sent = now();
      const auto answer = http->Post("/hello", body, "application/msgpack");
      next = sent + site_.report_s * (0.75 + 0.5 * chance());
      if (answer && answer->status == 200) {
        Guard lock(mutex_);
        const json in = unpack(answer->body);
        const uint64_t warrant = in.value("warrant", uint64_t{0});
        if (warrant < warrant_ || tenure != tenure_ || now() - sent > 4) continue;
        see(warrant);
        lease_from_ = sent;
        const json orders = in.value("orders", json::array());
        if (!orders.empty()) RECORD("report of %s answered: %s", name_.c_str(), in.dump().c_str());
        execute(orders);
        continue;
      }
      http.reset();
      std::string steward;
      if (answer && answer->status == 421) {
        const json in = unpack(answer->body);
        if (in.is_object() && in.contains("steward") && in.at("steward").is_string())
          steward = in.at("steward").get<std::string>();
      }
      const auto named = std::find_if(nodes_.begin(), nodes_.end(),
                                      [&](const NodeAddress& n) { return n.label == steward; });
      if (named != nodes_.end() && named != nodes_.begin() + static_cast<long>(node_)) {
        node_ = static_cast<size_t>(named - nodes_.begin());
        next = now() + 0.5 * chance();
      } else {
        node_ = (node_ + 1) % nodes_.size();
        next = now() + 1;
      }
      Guard lock(mutex_);
      changed_ = false;
    }
  }

  const Site& site_;
  World& world_;
  const std::vector<NodeAddress> nodes_;
  const std::string name_, zone_;
  const bool spot_;
  std::mutex mutex_;
  std::map<std::string, Task> tasks_;
  std::set<std::string> images_;
  std::vector<Direct> executed_;
  uint64_t tenure_ = 1, tally_ = 0, warrant_ = 0;
  double lease_from_ = 0;
  bool changed_ = true;
  size_t node_ = 0;
  Server server_;
};

// ---------------------------------------------------------------- cloud

class Cloud {
 public:
  Cloud(const Site& site, World& world)
      : site_(site),
        world_(world),
        requests_(site.cloud_rps, 2),
        server_(16, [this](const httplib::Request& q, httplib::Response& r) { serve(q, r); }) {}
  std::string address() const { return server_.address(); }
  // To be set before the controllers start.
  std::map<std::pair<std::string, bool>, int> capacity;  // by zone and whether spot
  double boot_s = 1.5;  // "at times machines are up within a second or two"
  std::vector<NodeAddress> nodes;
  Worker::HoldAnswer hold_answer;
  std::function<void(Worker*)> on_rented;  // called before the machine boots

  std::vector<Worker*> machines() {
    Guard lock(mutex_);
    std::vector<Worker*> out;
    for (const Machine& m : machines_)
      if (!m.worker->gone) out.push_back(m.worker.get());
    return out;
  }
  Worker* machine(const std::string& name) {
    Guard lock(mutex_);
    for (const Machine& m : machines_)
      if (m.worker->name() == name) return m.worker.get();
    return nullptr;
  }

 private:
  struct Machine {
    std::unique_ptr<Worker> worker;
    std::string zone;
    bool spot;
    double rented_at, up_at, gone_at = -1;
  };

  void serve(const httplib::Request& q, httplib::Response& r) {
    Guard lock(mutex_);
    if (!requests_.take(1)) return put(r, 429, {{"error", "too many requests"}});
    if (q.path == "/machine_types") {
      const MachineType& t = site_.type;
      return put(r, 200,
                 {{"breeds",
                   {{{"name", t.name},
                     {"cpus", t.cpus},
                     {"gpus", t.gpus},
                     {"mem_gb", t.mem_gb},
                     {"local_gb", t.cache_gb},
                     {"fetch_gb_per_s", t.fetch_gb_per_s},
                     {"hourly", t.price},
                     {"low_price", t.spot_price},
                     {"boot_s", t.boot_s},
                     {"yards", site_.zones}}}}});
    }
    if (q.path == "/machines/return") return give_back(unpack(q.body), r);
    if (q.path == "/machines" && q.method == "POST") return rent(unpack(q.body), r);
    if (q.path == "/machines") return list(q, r);
    put(r, 400, {{"error", "malformed"}});
  }

  void rent(const json& in, httplib::Response& r) {
    const auto hire = in.at("hire").get<std::string>();
    if (const auto it = hired_.find(hire); it != hired_.end())
      return put(r, 200, {{"crofts", it->second}});
    const auto zone = in.at("yard").get<std::string>();
    const bool spot = in.at("loaners").get<bool>();
    int& left = capacity[{zone, spot}];
    const int count = std::min({in.at("how_many").get<int>(), left, 50});
    if (count <= 0) return put(r, 503, {{"error", "no capacity"}});
    left -= count;
    json names = json::array();
    for (int i = 0; i < count; ++i) {
      char name[32];
      snprintf(name, sizeof name, "m-%06d", ++last_);
      names.push_back(name);
      Machine m{std::make_unique<Worker>(site_, world_, nodes, name, zone, spot), zone, spot, now(),
                now() + boot_s};
      m.worker->hold_answer = hold_answer;
      Worker* worker = m.worker.get();
      machines_.push_back(std::move(m));
      if (on_rented) on_rented(worker);
      std::thread([worker, s = boot_s] {
        pause(s);
        if (!worker->gone) worker->boot();
      }).detach();
    }
    hired_[hire] = names;
    RECORD("cloud: %s rents %s", hire.c_str(), names.dump().c_str());
    put(r, 200, {{"crofts", names}});
  }

  void give_back(const json& in, httplib::Response& r) {
    for (const json& name : in.at("crofts"))
      for (Machine& m : machines_)
        if (m.worker->name() == name && m.gone_at < 0) {
          m.worker->vanish();
          m.gone_at = now();
          ++capacity[{m.zone, m.spot}];
        }
    RECORD("cloud: returned %s", in.at("crofts").dump().c_str());
    put(r, 200, json::object());
  }

  void list(const httplib::Request& q, httplib::Response& r) {
    const std::string after = q.has_param("after") ? q.get_param_value("after") : "";
    const double at = now() - site_.list_lag_s;
    json out = json::array();
    for (const Machine& m : machines_) {
      if (m.worker->name() <= after || m.rented_at > at || (m.gone_at >= 0 && m.gone_at <= at))
        continue;
      out.push_back({{"id", m.worker->name()},
                     {"addr", m.worker->address()},
                     {"breed", site_.type.name},
                     {"yard", m.zone},
                     {"loaners", m.spot},
                     {"standing", m.up_at <= at ? "running" : "booting"},
                     {"age_s", at - m.rented_at}});
    }
    put(r, 200, {{"crofts", out}, {"truncated", false}});
  }

  const Site& site_;
  World& world_;
  std::mutex mutex_;
  Bucket requests_;
  std::deque<Machine> machines_;
  std::map<std::string, json> hired_;
  int last_ = 0;
  Server server_;
};

// ---------------------------------------------------------------- controllers

// The controllers' processes, started with the command of deploy/service.toml.
class Controllers {
 public:
  struct Node {
    std::string label, zone, settings, log;
    int port = 0, mesh_port = 0;
    pid_t pid = 0;
  };

  Controllers(const Site& site, std::string folder) : site_(site), folder_(std::move(folder)) {
    command_ = run_command();
    for (int i = 0; i < site.nodes; ++i) {
      Node n;
      n.label = "croft-" + std::to_string(i);
      n.zone = site.zones[static_cast<size_t>(i) % site.zones.size()];
      n.port = free_port();
      n.mesh_port = free_port();
      n.settings = folder_ + "/" + n.label + ".json";
      n.log = folder_ + "/" + n.label + ".log";
      nodes_.push_back(n);
    }
  }
  std::vector<NodeAddress> addresses() const {
    std::vector<NodeAddress> out;
    for (const Node& n : nodes_) out.push_back({n.label, n.port});
    return out;
  }
  void write_settings(const std::string& state, const std::string& cloud) {
    for (const Node& n : nodes_) std::ofstream(n.settings) << settings(n, state, cloud).dump(1);
  }
  void start(size_t i) {
    Node& n = nodes_[i];
    std::vector<std::string> words = command_;
    words.push_back(n.settings);
    std::vector<char*> arguments;
    for (std::string& w : words) arguments.push_back(w.data());
    arguments.push_back(nullptr);
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(127);
      const int log = ::open(n.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, STDERR_FILENO);
      ::dup2(log, STDOUT_FILENO);
      for (int fd = 3; fd < 1024; ++fd) ::close(fd);
      ::execv(arguments[0], arguments.data());
      ::_exit(127);
    }
    n.pid = pid;
    RECORD("process of %s starts (pid %d)", n.label.c_str(), static_cast<int>(pid));
  }
  // No signal that the process could handle.
  void kill(size_t i) {
    Node& n = nodes_[i];
    if (n.pid <= 0) return;
    ::kill(n.pid, SIGKILL);
    ::waitpid(n.pid, nullptr, 0);
    n.pid = 0;
    RECORD("process of %s is killed", n.label.c_str());
  }
  void kill_all() {
    for (size_t i = 0; i < nodes_.size(); ++i) kill(i);
  }
  size_t size() const { return nodes_.size(); }
  Node& node(size_t i) { return nodes_[i]; }
  std::optional<size_t> index_of(const std::string& label) const {
    for (size_t i = 0; i < nodes_.size(); ++i)
      if (nodes_[i].label == label) return i;
    return std::nullopt;
  }
  bool is_healthy(size_t i) {
    httplib::Client c("127.0.0.1", nodes_[i].port);
    c.set_connection_timeout(1, 0);
    c.set_read_timeout(1, 0);
    const auto r = c.Get("/healthz");
    return r && r->status == 200;
  }
  // Resident memory of the process in MB, 0 if it has ended.
  double resident_mb(size_t i) const {
    if (nodes_[i].pid <= 0) return 0;
    std::ifstream in("/proc/" + std::to_string(nodes_[i].pid) + "/status");
    std::string word;
    double kb = 0;
    while (in >> word)
      if (word == "VmRSS:") in >> kb;
    return kb / 1024;
  }

 private:
  // The words of `run` in deploy/service.toml.
  static std::vector<std::string> run_command() {
    std::ifstream in("deploy/service.toml");
    std::string line;
    while (std::getline(in, line)) {
      if (line.rfind("run = ", 0) != 0) continue;
      const size_t a = line.find('"'), b = line.rfind('"');
      std::istringstream words(line.substr(a + 1, b - a - 1));
      std::vector<std::string> out;
      for (std::string w; words >> w;) out.push_back(w);
      return out;
    }
    std::cerr << "deploy/service.toml has no run command" << std::endl;
    std::exit(2);
  }

  json settings(const Node& own, const std::string& state, const std::string& cloud) const {
    json siblings = json::array();
    for (const Node& n : nodes_)
      if (n.label != own.label)
        siblings.push_back({{"label", n.label},
                            {"location", n.zone},
                            {"endpoint", "127.0.0.1:" + std::to_string(n.mesh_port)}});
    json teams = json::array();
    for (const std::string& team : site_.teams) {
      const auto g = site_.guarantees.find(team);
      const auto [cpus, gpus] = g == site_.guarantees.end() ? std::pair{0.0, 0.0} : g->second;
      teams.push_back(
          {{"name", team}, {"cpus", cpus}, {"cpus_max", 0.0}, {"gpus", gpus}, {"gpus_max", 0.0}});
    }
    return {{"label", own.label},
            {"location", own.zone},
            {"bind", "127.0.0.1:" + std::to_string(own.port)},
            {"mesh_addr", "127.0.0.1:" + std::to_string(own.mesh_port)},
            {"siblings", siblings},
            {"external", {{"cloud", cloud}, {"state", state}}},
            {"params",
             {{"nodes", site_.nodes},
              {"zones", site_.zones},
              {"teams", teams},
              {"objectives", site_.objectives},
              {"workers",
               {{"report_s", site_.report_s},
                {"lease_s", site_.lease_s},
                {"gang_wait_s", site_.gang_wait_s},
                {"gang_peer_s", site_.gang_peer_s},
                {"cancel_s", site_.cancel_s}}},
              {"state",
               {{"rps", site_.state_rps},
                {"write_rps", site_.write_rps},
                {"value_kb", site_.value_kb},
                {"txn_ops", site_.txn_ops}}},
              {"cloud", {{"rps", site_.cloud_rps}, {"list_lag_s", site_.list_lag_s}}},
              {"resources",
               {{"cores", site_.cores},
                {"memory_mb", site_.memory_mb},
                {"max_sockets", site_.max_sockets}}},
              {"clock_off_ms", site_.clock_off_ms}}}};
  }

  const Site& site_;
  const std::string folder_;
  std::vector<std::string> command_;
  std::vector<Node> nodes_;
};

// ---------------------------------------------------------------- users

struct Answer {
  int status = 0;  // 0: no answer
  json body;
};

inline Answer ask(int port, const char* method, const std::string& path, const json* body,
                  double timeout_s) {
  httplib::Client c("127.0.0.1", port);
  c.set_connection_timeout(0, 500'000);
  const auto us = static_cast<long>(timeout_s * 1e6);
  c.set_read_timeout(us / 1'000'000, us % 1'000'000);
  const auto r = std::string(method) == "GET"
                     ? c.Get(path)
                     : c.Post(path, body ? pack(*body) : std::string(), "application/msgpack");
  if (!r) return {};
  return {r->status, unpack(r->body)};
}

// Submits as a user does, at one node after another, for up to 60 s. Returns the status.
inline int submit(Controllers& controllers, const json& spec) {
  const auto id = spec.at("id").get<std::string>();
  int status = 0;
  size_t i = 0;
  for (const double end = now() + 60; now() < end; pause(1)) {
    const auto& node = controllers.node(i++ % controllers.size());
    status = ask(node.port, "POST", "/v2/runs", &spec, 5).status;
    RECORD("user: POST %s at %s -> %d", id.c_str(), node.label.c_str(), status);
    if (status == 201 || status == 200 || status == 400 || status == 422) break;
  }
  return status;
}

inline Answer poll(Controllers& controllers, size_t node, const std::string& id) {
  return ask(controllers.node(node).port, "GET", "/v2/runs/" + id, nullptr, 2);
}

// ---------------------------------------------------------------- a case

// Whether the disruption takes place.
inline bool trouble() {
  const char* t = std::getenv("TROUBLE");
  return !t || std::string(t) != "0";
}

inline json job(const std::string& id, const char* lot, const std::string& crew, const char* shape,
                const char* rank, int tasks, double cpus, double gpus, double mem_gb) {
  return {{"id", id},           {"lot", lot},
          {"crew", crew},       {"shape", shape},
          {"rank", rank},       {"shifts", tasks},
          {"cpus", cpus},       {"gpus", gpus},
          {"mem_gb", mem_gb},   {"kit", "img-" + std::string(lot)},
          {"image_gb", 0.5},    {"breeds", nullptr},
          {"yard", nullptr},    {"one_zone", false},
          {"scatter", false},   {"loaners", true},
          {"expected_s", 30.0}, {"marker_s", 0.0},
          {"stow_s", 0.0},      {"due_s", nullptr}};
}

// Ends a case: 0 the rule held, 1 it was broken, 2 the case could not run.
[[noreturn]] inline void finish(Controllers& controllers, int code, const std::string& why) {
  RECORD("%s: %s", code == 0 ? "HELD" : code == 1 ? "BROKEN" : "COULD NOT RUN", why.c_str());
  std::cout << (code == 0   ? "held: "
                : code == 1 ? "broken: "
                            : "could not run: ")
            << why << std::endl;
  controllers.kill_all();
  ::_exit(code);
}

}  // namespace rig
