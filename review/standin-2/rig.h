#pragma once
// Stand-ins for the cases of the second review: state service, cloud, workers, users behind a load
// balancer, and the platform that starts, kills and restarts the controllers. Written from the
// users' pages; nothing of the project is linked in. Everything listens on 127.0.0.1 and runs on
// the real clock.

#include <arpa/inet.h>
#include <fcntl.h>
#include <httplib.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
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
#include <filesystem>
#include <fstream>
#include <functional>
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
constexpr const char* kHost = "127.0.0.1";
constexpr const char* kMsgpack = "application/msgpack";

// ---------------------------------------------------------------- time, record, messages

inline double now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}
inline void pause_s(double s) {
  if (s > 0) std::this_thread::sleep_for(std::chrono::duration<double>(s));
}
inline double random_in(double a, double b) {
  static std::mutex mutex;
  static std::mt19937 engine{std::random_device{}()};
  std::lock_guard lock(mutex);
  return std::uniform_real_distribution<double>(a, b)(engine);
}

// The case's record: what was sent, answered and run.
class Record {
 public:
  void open(const std::string& path) { file_ = fopen(path.c_str(), "w"); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2000];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    std::lock_guard lock(mutex_);
    if (!file_) return;
    fprintf(file_, "%8.3f %s\n", now(), text);
    fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};
inline Record& record() {
  static Record instance;
  return instance;
}

inline std::string pack(const json& message) {
  std::string body;
  json::to_msgpack(message, nlohmann::detail::output_adapter<char>(body));
  return body;
}
inline json unpack(const std::string& body) {
  json message = json::from_msgpack(body, true, false);
  return message.is_discarded() ? json() : message;
}
inline void answer(httplib::Response& response, int status, const json& body) {
  response.status = status;
  response.set_content(pack(body), kMsgpack);
}

inline int free_port() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = inet_addr(kHost);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0) return 0;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

// An httplib server with a thread for each connection.
class HttpServer {
 public:
  HttpServer(size_t threads, const std::function<void(httplib::Server&)>& routes) {
    server_.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    server_.set_keep_alive_max_count(1000000);
    server_.set_keep_alive_timeout(60);
    server_.set_tcp_nodelay(true);
    routes(server_);
    port_ = server_.bind_to_any_port(kHost);
    thread_ = std::thread([this] { server_.listen_after_bind(); });
  }
  int port() const { return port_; }
  void stop() {
    if (!thread_.joinable()) return;
    server_.stop();
    thread_.detach();  // connections that are still open end with the process
  }

 private:
  httplib::Server server_;
  int port_ = 0;
  std::thread thread_;
};

// Admits `rate` units per second, with a burst of `burst_s` seconds' worth.
class Budget {
 public:
  Budget(double rate, double burst_s) : rate_(rate), cap_(rate * burst_s), left_(cap_) {}
  bool take(double units) {
    const double t = now();
    left_ = std::min(cap_, left_ + (t - at_) * rate_);
    at_ = t;
    if (left_ < units) return false;
    left_ -= units;
    return true;
  }

 private:
  double rate_, cap_, left_, at_ = now();
};

// ---------------------------------------------------------------- state service

struct StateLimits {
  double rps = 250, write_rps = 25, value_kb = 8, latency_s = 0.005;
  size_t txn_ops = 16;
};

class StateService {
 public:
  explicit StateService(const StateLimits& limits)
      : limits_(limits),
        requests_(limits.rps, 1),
        writes_(limits.write_rps, 1),
        server_(200, [this](httplib::Server& s) { add_routes(s); }),
        expiry_([this] { expire_leases(); }) {}
  ~StateService() {
    stopping_ = true;
    expiry_.join();
  }
  int port() const { return server_.port(); }

  // The value of a key; null if there is none.
  json value(const std::string& key) {
    std::lock_guard lock(mutex_);
    const auto found = rows_.find(key);
    return found == rows_.end() ? json() : found->second.value;
  }
  // All values whose keys begin with the prefix.
  std::map<std::string, json> values(const std::string& prefix) {
    std::lock_guard lock(mutex_);
    std::map<std::string, json> found;
    for (auto it = rows_.lower_bound(prefix); it != rows_.end(); ++it) {
      if (it->first.compare(0, prefix.size(), prefix) != 0) break;
      found[it->first] = it->second.value;
    }
    return found;
  }
  size_t refused_for_rate() const { return refused_; }
  // Rows from before the test; to be called before anybody connects.
  void preload(const std::string& key, const json& value) {
    std::lock_guard lock(mutex_);
    ++ledger_;
    change(key, false, value, 0);
  }

  // Decides what becomes of a transaction before it is carried out; called without a lock.
  // Returns true to go on as usual, false to leave it without an answer (not carried out).
  std::function<bool(const json& transaction)> on_transaction;
  std::atomic<bool> outage{false};

 private:
  struct Row {
    json value;
    uint64_t stamp = 0, tether = 0;
  };
  struct Event {
    std::string key;
    bool deleted = false;
    json value;
    uint64_t stamp = 0;
  };
  struct Lease {
    double ttl_s = 0, ends_at = 0;
  };

  bool admit(httplib::Response& r, double changes = 0) {
    pause_s(limits_.latency_s);
    if (outage) {
      answer(r, 503, {{"error", "trouble"}});
      return false;
    }
    std::lock_guard lock(mutex_);
    if (!requests_.take(1) || (changes > 0 && !writes_.take(changes))) {
      ++refused_;
      answer(r, 429, {{"error", "too many"}});
      return false;
    }
    return true;
  }
  void change(const std::string& key, bool deleted, const json& value, uint64_t tether) {
    if (deleted)
      rows_.erase(key);
    else
      rows_[key] = {value, ledger_, tether};
    log_.push_back({key, deleted, value, ledger_});
    if (log_.size() > 10000) {
      dropped_through_ = log_.front().stamp;
      log_.pop_front();
    }
  }
  void end_lease(uint64_t id) {
    if (leases_.erase(id) == 0) return;
    std::vector<std::string> keys;
    for (const auto& [key, row] : rows_)
      if (row.tether == id) keys.push_back(key);
    if (keys.empty()) return;
    ++ledger_;
    for (const std::string& key : keys) change(key, true, nullptr, 0);
    changed_.notify_all();
  }
  void expire_leases() {
    while (!stopping_) {
      pause_s(0.02);
      std::lock_guard lock(mutex_);
      if (outage) {  // every lease has its full time again afterwards
        for (auto& [id, lease] : leases_) lease.ends_at = now() + lease.ttl_s;
        continue;
      }
      std::vector<uint64_t> over;
      for (const auto& [id, lease] : leases_)
        if (now() > lease.ends_at + 0.03) over.push_back(id);
      for (const uint64_t id : over) end_lease(id);
    }
  }

  void add_routes(httplib::Server& s) {
    s.Get("/keys", [this](const httplib::Request& q, httplib::Response& r) {
      if (!admit(r)) return;
      const std::string under = q.get_param_value("under"), after = q.get_param_value("after");
      size_t most = q.has_param("most") ? std::stoul(q.get_param_value("most")) : 1000;
      most = std::min<size_t>(most, 1000);
      std::lock_guard lock(mutex_);
      json rows = json::array();
      bool truncated = false;
      for (auto it = rows_.lower_bound(under); it != rows_.end(); ++it) {
        if (it->first.compare(0, under.size(), under) != 0) break;
        if (!after.empty() && it->first <= after) continue;
        if (rows.size() >= most) {
          truncated = true;
          break;
        }
        rows.push_back({{"k", it->first}, {"v", it->second.value}, {"stamp", it->second.stamp}});
      }
      answer(r, 200, {{"rows", rows}, {"truncated", truncated}, {"ledger", ledger_}});
    });
    s.Get(R"(/keys/(.+))", [this](const httplib::Request& q, httplib::Response& r) {
      if (!admit(r)) return;
      std::lock_guard lock(mutex_);
      const std::string key = q.matches[1];
      const auto found = rows_.find(key);
      if (found == rows_.end()) return answer(r, 404, {{"ledger", ledger_}});
      json body = {{"k", key}, {"v", found->second.value}, {"stamp", found->second.stamp}};
      if (found->second.tether) body["tether"] = found->second.tether;
      answer(r, 200, body);
    });
    s.Post("/txn", [this](const httplib::Request& q, httplib::Response& r) {
      const json body = unpack(q.body);
      if (!body.is_object()) return answer(r, 400, {{"error", "malformed"}});
      if (on_transaction && !on_transaction(body)) return lose_answer(r);
      commit(body, r);
    });
    s.Post("/leases", [this](const httplib::Request& q, httplib::Response& r) {
      if (!admit(r)) return;
      const json body = unpack(q.body);
      std::lock_guard lock(mutex_);
      const double ttl_s = body.value("ttl_ms", 0.0) / 1000;
      if (ttl_s < 0.1 || ttl_s > 600) return answer(r, 400, {{"error", "malformed"}});
      const uint64_t id = ++last_lease_;
      leases_[id] = {ttl_s, now() + ttl_s};
      answer(r, 200, {{"tether", id}});
    });
    s.Post(R"(/leases/(\d+)/renew)", [this](const httplib::Request& q, httplib::Response& r) {
      if (!admit(r)) return;
      std::lock_guard lock(mutex_);
      const auto found = leases_.find(std::stoull(q.matches[1]));
      if (found == leases_.end()) return answer(r, 404, json::object());
      found->second.ends_at = now() + found->second.ttl_s;
      answer(r, 200, json::object());
    });
    s.Delete(R"(/leases/(\d+))", [this](const httplib::Request& q, httplib::Response& r) {
      if (!admit(r)) return;
      std::lock_guard lock(mutex_);
      end_lease(std::stoull(q.matches[1]));
      answer(r, 200, json::object());
    });
    s.Get("/watch", [this](const httplib::Request& q, httplib::Response& r) {
      if (!admit(r)) return;
      const std::string under = q.get_param_value("under");
      const uint64_t after = std::stoull(q.get_param_value("after"));
      const double hold_s =
          q.has_param("hold_ms") ? std::stod(q.get_param_value("hold_ms")) / 1000 : 0;
      const double until = now() + hold_s;
      std::unique_lock lock(mutex_);
      while (true) {
        if (after < dropped_through_) return answer(r, 410, {{"ledger", ledger_}});
        json events = json::array();
        for (auto it = log_.rbegin(); it != log_.rend() && it->stamp > after; ++it) {
          if (it->key.compare(0, under.size(), under) != 0) continue;
          if (it->deleted)
            events.push_back({{"delete", it->key}, {"stamp", it->stamp}});
          else
            events.push_back({{"write", it->key}, {"v", it->value}, {"stamp", it->stamp}});
        }
        std::reverse(events.begin(), events.end());
        if (!events.empty() || now() >= until || stopping_)
          return answer(r, 200, {{"ledger", ledger_}, {"log", events}});
        changed_.wait_for(lock, std::chrono::milliseconds(50));
      }
    });
  }
  // No answer: the client's read runs into its time limit.
  static void lose_answer(httplib::Response& r) {
    pause_s(20);
    answer(r, 503, {{"error", "lost"}});
  }
  void commit(const json& body, httplib::Response& r) {
    const json conditions = body.value("if", json::array());
    const json changes = body.value("then", json::array());
    if (!admit(r, static_cast<double>(changes.size()))) return;
    bool too_large = changes.size() > limits_.txn_ops || conditions.size() > 4 * limits_.txn_ops ||
                     body.dump().size() > 64 * 1024;
    for (const json& c : changes)
      too_large = too_large || (c.contains("v") && static_cast<double>(c["v"].dump().size()) >
                                                       limits_.value_kb * 1024);
    if (too_large) return answer(r, 400, {{"error", "too large"}});
    std::lock_guard lock(mutex_);
    json failed = json::array();
    for (const json& c : conditions) {
      const std::string key = c.at("k");
      const auto row = rows_.find(key);
      if ((row == rows_.end() ? 0 : row->second.stamp) != c.at("stamp").get<uint64_t>())
        failed.push_back(key);
    }
    for (const json& c : changes) {
      const uint64_t tether = c.value("tether", uint64_t{0});
      if (tether && !leases_.count(tether)) return answer(r, 400, {{"error", "no such lease"}});
    }
    if (!failed.empty()) return answer(r, 409, {{"failed", failed}, {"ledger", ledger_}});
    if (!changes.empty()) ++ledger_;
    for (const json& c : changes) {
      if (c.contains("delete"))
        change(c["delete"], true, nullptr, 0);
      else
        change(c.at("write"), false, c.value("v", json()), c.value("tether", uint64_t{0}));
    }
    changed_.notify_all();
    answer(r, 200, {{"ledger", ledger_}});
  }

  const StateLimits limits_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Budget requests_, writes_;
  std::map<std::string, Row> rows_;
  std::deque<Event> log_;
  std::map<uint64_t, Lease> leases_;
  uint64_t ledger_ = 0, last_lease_ = 0, dropped_through_ = 0;
  std::atomic<size_t> refused_{0};
  std::atomic<bool> stopping_{false};
  HttpServer server_;
  std::thread expiry_;
};

// ---------------------------------------------------------------- jobs and what runs

struct MachineType {
  std::string name;
  double cpus = 0, gpus = 0, mem_gb = 0, cache_gb = 100, fetch_gb_per_s = 1, hourly = 1,
         low_price = 0.5, boot_s = 50;
  std::vector<std::string> zones;
};

struct TaskRun {
  std::string job, machine, zone, type;
  uint32_t task = 0;
  uint64_t go = 0;
  bool spot = false;
  double begins_at = 0, ends_at = -1;  // on the machine: from having its image until it is gone
  std::string end;
};

// What users have submitted, and what is and was on which machine. Judges nothing by itself.
class Floor {
 public:
  void add_job(const json& job, double run_s) {
    std::lock_guard lock(mutex_);
    jobs_[job.at("id")] = {job, run_s};
  }
  std::optional<json> job(const std::string& id) {
    std::lock_guard lock(mutex_);
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) return std::nullopt;
    return found->second.description;
  }
  double run_s(const std::string& id) {
    std::lock_guard lock(mutex_);
    return jobs_.at(id).run_s;
  }
  bool is_done(const std::string& id, uint32_t task) {
    std::lock_guard lock(mutex_);
    return done_.count({id, task}) > 0;
  }
  void mark_done(const std::string& id, uint32_t task) {
    std::lock_guard lock(mutex_);
    done_.insert({id, task});
  }
  size_t begin(const TaskRun& run) {
    std::lock_guard lock(mutex_);
    runs_.push_back(run);
    runs_.back().begins_at = now();
    if (on_begin) on_begin(runs_, runs_.back());
    return runs_.size() - 1;
  }
  void end(size_t index, const std::string& why) {
    std::lock_guard lock(mutex_);
    runs_[index].ends_at = now();
    runs_[index].end = why;
  }
  std::vector<TaskRun> runs() {
    std::lock_guard lock(mutex_);
    return runs_;
  }
  // Called with every start, under the floor's lock.
  std::function<void(const std::vector<TaskRun>&, const TaskRun&)> on_begin;

 private:
  struct Job {
    json description;
    double run_s = 0;
  };
  std::recursive_mutex mutex_;  // on_begin may ask for jobs
  std::map<std::string, Job> jobs_;
  std::set<std::pair<std::string, uint32_t>> done_;
  std::vector<TaskRun> runs_;
};

// ---------------------------------------------------------------- workers

struct Node {
  std::string label;
  int port = 0;
};

struct WorkerSettings {
  double report_s = 3, lease_s = 18;
  std::vector<Node> nodes;
};

class Worker {
 public:
  Worker(std::string name, const MachineType& type, std::string zone, bool spot,
         const WorkerSettings& settings, Floor& floor)
      : name_(std::move(name)),
        type_(type),
        zone_(std::move(zone)),
        spot_(spot),
        settings_(settings),
        floor_(floor),
        session_began_at_(now()),
        answered_sent_at_(now()),
        node_(static_cast<size_t>(random_in(0, static_cast<double>(settings.nodes.size()) - 0.01))),
        server_(3, [this](httplib::Server& s) { add_routes(s); }) {
    reporter_ = std::thread([this] { report_loop(); });
    ticker_ = std::thread([this] { tick_loop(); });
  }
  // The machine is gone, with all that is on it. Returns once nothing runs any more.
  void end(const std::string& why) {
    {
      std::lock_guard lock(mutex_);
      if (gone_) return;
      gone_ = true;
      for (Task& task : tasks_) leave(task, why);
      tasks_.clear();
    }
    changed_.notify_all();
  }
  ~Worker() {
    end("end of the test");
    server_.stop();
    reporter_.join();
    ticker_.join();
  }
  std::string addr() const { return std::string(kHost) + ":" + std::to_string(server_.port()); }
  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  bool spot() const { return spot_; }

  // -- Troubles.

  // A cut in mode "hold": what is on its way is held back and delivered, in order, afterwards.
  // Connections cannot be opened meanwhile.
  void cut() {
    std::lock_guard lock(mutex_);
    cut_ = true;
    record().line("machine %s is cut off", name_.c_str());
  }
  void heal() {
    std::vector<Held> held;
    {
      std::lock_guard lock(mutex_);
      cut_ = false;
      held.swap(held_);
      record().line("machine %s is no longer cut off; %zu held reports are delivered",
                    name_.c_str(), held.size());
    }
    changed_.notify_all();
    for (const Held& h : held) {
      (void)!::send(h.fd, h.bytes.data(), h.bytes.size(), MSG_NOSIGNAL);
      record().line("held report of %s delivered: tenure %llu tally %llu", name_.c_str(),
                    static_cast<unsigned long long>(h.tenure),
                    static_cast<unsigned long long>(h.tally));
    }
    if (!held.empty()) pause_s(0.02);
    for (const Held& h : held) ::close(h.fd);  // the packet that closes it comes behind
  }
  bool is_cut() {
    std::lock_guard lock(mutex_);
    return cut_;
  }
  // While sick, it fails every task that it starts.
  void set_sick(bool on) {
    std::lock_guard lock(mutex_);
    sick_ = on;
    record().line("machine %s %s", name_.c_str(), on ? "is sick" : "is no longer sick");
  }

  // -- State, for the test.

  bool is_gone() {
    std::lock_guard lock(mutex_);
    return gone_;
  }
  // Tasks that have not exited.
  std::vector<std::string> tasks_present() {
    std::lock_guard lock(mutex_);
    std::vector<std::string> present;
    for (const Task& t : tasks_)
      if (t.state != "exited") present.push_back(t.job + "/" + std::to_string(t.task));
    return present;
  }
  bool has_room_for(const json& job) {
    std::lock_guard lock(mutex_);
    return !gone_ && fits(job);
  }
  // When the report was sent that was answered last.
  double answered_sent_at() {
    std::lock_guard lock(mutex_);
    return answered_sent_at_;
  }
  uint64_t tenure() {
    std::lock_guard lock(mutex_);
    return tenure_;
  }
  uint64_t warrant() {
    std::lock_guard lock(mutex_);
    return warrant_;
  }

 private:
  struct Task {
    std::string job;
    uint32_t task = 0;
    uint64_t go = 0;
    std::string state = "pulling", cause;
    bool stored = false;
    double due_at = 0;  // of the next step
    std::optional<size_t> run;
  };
  struct Held {
    int fd = -1;
    std::string bytes;
    uint64_t tenure = 0, tally = 0;
  };

  // -- All below need mutex_, unless they say otherwise.

  void leave(Task& task, const std::string& why) {
    if (task.run) floor_.end(*task.run, why);
    task.run.reset();
  }
  void exit(Task& task, const std::string& cause) {
    leave(task, cause);
    task.state = "exited";
    task.cause = cause;
    change_ = true;
    record().line("task %s/%u go %llu on %s exited: %s", task.job.c_str(), task.task,
                  static_cast<unsigned long long>(task.go), name_.c_str(), cause.c_str());
  }
  bool fits(const json& job) {
    double cpus = type_.cpus, gpus = type_.gpus, mem = type_.mem_gb;
    for (const Task& t : tasks_) {
      if (t.state == "exited") continue;
      const auto other = floor_.job(t.job);
      cpus -= other->at("cpus").get<double>();
      gpus -= other->at("gpus").get<double>();
      mem -= other->at("mem_gb").get<double>();
    }
    constexpr double kSlack = 1e-6;
    return job.at("cpus").get<double>() <= cpus + kSlack &&
           job.at("gpus").get<double>() <= gpus + kSlack &&
           job.at("mem_gb").get<double>() <= mem + kSlack;
  }
  static bool parse_shift(const std::string& shift, std::string& job, uint32_t& task) {
    const size_t slash = shift.rfind('/');
    if (slash == std::string::npos) return false;
    job = shift.substr(0, slash);
    task = static_cast<uint32_t>(std::stoul(shift.substr(slash + 1)));
    return true;
  }
  void execute(const json& orders, const char* how) {
    for (const json& order : orders) {
      std::string job;
      uint32_t task = 0;
      if (!parse_shift(order.value("shift", ""), job, task)) continue;
      const auto go = order.value("go", uint64_t{0});
      const std::string verb = order.value("verb", "");
      record().line("order to %s (%s): %s %s/%u go %llu", name_.c_str(), how, verb.c_str(),
                    job.c_str(), task, static_cast<unsigned long long>(go));
      const auto found = std::find_if(tasks_.begin(), tasks_.end(), [&](const Task& t) {
        return t.job == job && t.task == task && t.go == go;
      });
      if (verb == "run" && found == tasks_.end()) start(job, task, go);
      if (verb == "stop" && found != tasks_.end() && found->state != "exited")
        exit(*found, "halted");
      if (verb == "clear" && found != tasks_.end() && found->state == "exited") {
        tasks_.erase(found);
        change_ = true;
      }
    }
  }
  void start(const std::string& job, uint32_t number, uint64_t go) {
    change_ = true;
    Task task;
    task.job = job;
    task.task = number;
    task.go = go;
    const auto description = floor_.job(job);
    const bool in_use = std::any_of(tasks_.begin(), tasks_.end(), [&](const Task& t) {
      return t.job == job && t.task == number && t.state != "exited";
    });
    const char* refused = !description          ? "no_such"
                          : in_use              ? "in_use"
                          : !fits(*description) ? "no_room"
                                                : nullptr;
    if (refused) {
      tasks_.push_back(task);
      return exit(tasks_.back(), refused);
    }
    const std::string image = description->at("kit");
    double fetch_s = 0;
    if (!images_.count(image))
      fetch_s = description->at("image_gb").get<double>() / type_.fetch_gb_per_s;
    images_.insert(image);
    task.due_at = now() + fetch_s;
    tasks_.push_back(task);
  }
  void advance(Task& task) {
    if (task.state == "exited" || now() < task.due_at) return;
    if (task.state == "pulling") {
      TaskRun run;
      run.job = task.job;
      run.task = task.task;
      run.go = task.go;
      run.machine = name_;
      run.zone = zone_;
      run.type = type_.name;
      run.spot = spot_;
      task.run = floor_.begin(run);
      record().line("task %s/%u go %llu starts on %s (zone %s)", task.job.c_str(), task.task,
                    static_cast<unsigned long long>(task.go), name_.c_str(), zone_.c_str());
      task.state = "running";
      change_ = true;
      task.due_at = now() + (sick_ ? 0.5 : floor_.run_s(task.job));
      if (floor_.is_done(task.job, task.task)) task.due_at = now();
      if (sick_) failing_.insert({task.job, task.task, task.go});
    } else if (task.state == "running") {
      if (failing_.erase({task.job, task.task, task.go}) > 0) return exit(task, "error");
      const bool is_service = floor_.job(task.job)->at("shape") == "service";
      if (!is_service) floor_.mark_done(task.job, task.task);
      exit(task, "done");
    }
  }
  json report() {
    json list = json::array();
    for (const Task& t : tasks_) {
      json entry = {
          {"shift", t.job + "/" + std::to_string(t.task)}, {"go", t.go}, {"standing", t.state}};
      if (t.state == "exited") entry["cause"] = t.cause;
      if (t.stored) entry["stored"] = true;
      list.push_back(entry);
    }
    return {{"croft", name_},    {"addr", addr()},      {"breed", type_.name},
            {"yard", zone_},     {"loaners", spot_},    {"tenure", tenure_},
            {"tally", ++tally_}, {"warrant", warrant_}, {"recall_s", nullptr},
            {"shifts", list}};
  }
  void see_token(uint64_t token) {
    if (token <= warrant_) return;
    warrant_ = token;
    if (now() - token_change_at_ < settings_.lease_s / 2) return;
    token_change_at_ = now();
    change_ = true;
  }
  void end_session_if_over() {
    const double since = std::max(answered_sent_at_, session_began_at_);
    if (now() - since <= settings_.lease_s) return;
    for (Task& task : tasks_) leave(task, "lease ran out");
    record().line("machine %s: lease ran out, session %llu ends with %zu tasks", name_.c_str(),
                  static_cast<unsigned long long>(tenure_), tasks_.size());
    tasks_.clear();
    failing_.clear();
    ++tenure_;
    session_began_at_ = now();
    change_ = true;
  }

  // -- Threads; without mutex_.

  void tick_loop() {
    while (true) {
      pause_s(0.02);
      std::lock_guard lock(mutex_);
      if (gone_) return;
      for (Task& task : tasks_) advance(task);
      end_session_if_over();
      if (change_) changed_.notify_all();
    }
  }

  void add_routes(httplib::Server& s) {
    s.Post("/do", [this](const httplib::Request& q, httplib::Response& r) {
      std::unique_lock lock(mutex_);
      // Held back by a cut; executed afterwards if token and session still match.
      changed_.wait(lock, [this] { return !cut_ || gone_; });
      if (gone_) return answer(r, 503, json::object());
      const json body = unpack(q.body);
      if (!body.contains("warrant") || !body.contains("tenure"))
        return answer(r, 400, {{"error", "missing"}});
      if (body["warrant"].get<uint64_t>() < warrant_ || body["tenure"].get<uint64_t>() != tenure_)
        return answer(r, 409, report());
      see_token(body["warrant"].get<uint64_t>());
      execute(body.value("orders", json::array()), "direct");
      answer(r, 200, report());
    });
    s.Get("/inspect", [this](const httplib::Request&, httplib::Response& r) {
      std::lock_guard lock(mutex_);
      answer(r, 200, report());
    });
  }

  // Waits until the next report is due. Returns false once the machine is gone.
  bool wait_for_report(double due_at) {
    std::unique_lock lock(mutex_);
    while (!gone_) {
      const double at = change_ ? std::min(due_at, std::max(sent_at_ + 0.5, retry_at_)) : due_at;
      const double left = std::max(at, retry_at_) - now();
      if (left <= 0) return true;
      changed_.wait_for(lock, std::chrono::duration<double>(left));
    }
    return false;
  }
  void next_node() {
    drop_connection();
    node_ = (node_ + 1) % settings_.nodes.size();
    std::lock_guard lock(mutex_);
    retry_at_ = now() + 1;
    change_ = true;
  }
  void drop_connection() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  bool connect_to_node() {
    const double deadline = now() + 4;
    while (is_cut() && now() < deadline) pause_s(0.02);  // no answer to the connection attempt
    if (is_cut() || is_gone()) return false;
    fd_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = inet_addr(kHost);
    address.sin_port = htons(static_cast<uint16_t>(settings_.nodes[node_].port));
    const int one = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) return true;
    drop_connection();
    return false;
  }
  // Reads one response; status 0: none within the time limit.
  int read_response(double deadline, std::string& body, bool& closes) {
    std::string data;
    while (now() < deadline) {
      pollfd p{fd_, POLLIN, 0};
      if (::poll(&p, 1, 20) <= 0 || is_cut()) {
        if (is_gone()) return 0;
        if (is_cut()) pause_s(0.02);
        continue;
      }
      char buffer[16384];
      const ssize_t n = ::recv(fd_, buffer, sizeof buffer, 0);
      if (n <= 0) return 0;
      data.append(buffer, static_cast<size_t>(n));
      const size_t head_end = data.find("\r\n\r\n");
      if (head_end == std::string::npos) continue;
      std::string head = data.substr(0, head_end);
      std::transform(head.begin(), head.end(), head.begin(), ::tolower);
      const size_t at = head.find("content-length:");
      const size_t length = at == std::string::npos ? 0 : std::stoul(head.substr(at + 15));
      if (data.size() < head_end + 4 + length) continue;
      body = data.substr(head_end + 4, length);
      closes = head.find("connection: close") != std::string::npos;
      return std::stoi(data.substr(9, 3));
    }
    return 0;
  }

  void report_loop() {
    double due_at = now();
    while (wait_for_report(due_at)) {
      due_at = now() + settings_.report_s * random_in(0.75, 1.25);
      if (fd_ < 0 && !connect_to_node()) {
        next_node();
        continue;
      }
      std::string bytes;
      Held held;
      bool is_held = false;
      double sent_at = 0;
      {
        std::lock_guard lock(mutex_);
        if (gone_) break;
        change_ = false;
        retry_at_ = 0;
        const std::string body = pack(report());
        sent_at_ = sent_at = now();
        bytes = "POST /hello HTTP/1.1\r\nHost: " + std::string(kHost) +
                "\r\nContent-Type: " + kMsgpack +
                "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        is_held = cut_;
        held = {-1, bytes, tenure_, tally_};
      }
      const uint64_t session = held.tenure;
      if (!is_held) (void)!::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      std::string body;
      bool closes = false;
      const int status = read_response(sent_at + 4, body, closes);
      if (is_held) {
        // Given up and closed; the packets stay in the network until the cut ends.
        std::lock_guard lock(mutex_);
        held.fd = fd_;
        if (cut_)
          held_.push_back(held);
        else
          ::close(fd_);
        fd_ = -1;
      }
      handle(status, body, closes, sent_at, session);
    }
    drop_connection();
  }
  void handle(int status, const std::string& body, bool closes, double sent_at, uint64_t session) {
    if (status == 200) {
      const json message = unpack(body);
      std::lock_guard lock(mutex_);
      if (gone_) return;
      const bool valid = message.is_object() && message.contains("warrant") &&
                         message["warrant"].get<uint64_t>() >= warrant_ && session == tenure_;
      if (valid) {
        answered_sent_at_ = std::max(answered_sent_at_, sent_at);
        see_token(message["warrant"].get<uint64_t>());
        execute(message.value("orders", json::array()), "reply");
      }
      if (closes) drop_connection();
      return;
    }
    if (status == 421) {
      const json message = unpack(body);
      const std::string steward =
          message.is_object() ? message.value("steward", std::string()) : std::string();
      for (size_t i = 0; i < settings_.nodes.size(); ++i) {
        if (settings_.nodes[i].label != steward || i == node_) continue;
        drop_connection();
        node_ = i;
        std::lock_guard lock(mutex_);
        retry_at_ = now() + random_in(0, 0.3);
        change_ = true;
        return;
      }
    }
    next_node();
  }

  const std::string name_;
  const MachineType type_;
  const std::string zone_;
  const bool spot_;
  const WorkerSettings settings_;
  Floor& floor_;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Task> tasks_;
  std::set<std::tuple<std::string, uint32_t, uint64_t>> failing_;
  std::set<std::string> images_;
  std::vector<Held> held_;
  uint64_t tenure_ = 1, tally_ = 0, warrant_ = 0;
  double session_began_at_ = 0, answered_sent_at_ = 0, token_change_at_ = -1e9;
  double sent_at_ = -1e9, retry_at_ = 0;
  bool change_ = true, cut_ = false, sick_ = false, gone_ = false;

  size_t node_ = 0;  // of the reporter thread
  int fd_ = -1;      // of the reporter thread
  HttpServer server_;
  std::thread reporter_, ticker_;
};

// ---------------------------------------------------------------- cloud

struct CloudSettings {
  double rps = 4, latency_s = 0.08;
  std::vector<MachineType> types;
  std::map<std::pair<std::string, bool>, int> capacity;  // by zone and whether spot
};

class Cloud {
 public:
  Cloud(const CloudSettings& settings, const WorkerSettings& workers, Floor& floor)
      : settings_(settings),
        workers_(workers),
        floor_(floor),
        requests_(settings.rps, 2),
        server_(40, [this](httplib::Server& s) { add_routes(s); }),
        boots_([this] { boot_loop(); }) {}
  ~Cloud() {
    stopping_ = true;
    boots_.join();
    for (auto& [name, machine] : machines_)
      if (machine.worker) machine.worker->end("end of the test");
  }
  int port() const { return server_.port(); }
  // Seconds from the rental until the machine is up, by its number (from 1).
  std::function<double(int number)> boot_s = [](int) { return 1.0; };
  // How far the list that is asked for now is out of date.
  std::function<double()> list_lag_s = [] { return 3.0; };

  // The workers of machines that are up and not gone.
  std::vector<Worker*> workers() {
    std::lock_guard lock(mutex_);
    std::vector<Worker*> up;
    for (auto& [name, machine] : machines_)
      if (machine.worker && machine.gone_at < 0) up.push_back(machine.worker.get());
    return up;
  }
  Worker* worker(const std::string& name) {
    std::lock_guard lock(mutex_);
    const auto found = machines_.find(name);
    return found == machines_.end() ? nullptr : found->second.worker.get();
  }
  int capacity_left(const std::string& zone, bool spot) {
    std::lock_guard lock(mutex_);
    return settings_.capacity[{zone, spot}];
  }

 private:
  struct Machine {
    std::string zone;
    MachineType type;
    bool spot = false;
    double rented_at = 0, up_at = 0, gone_at = -1;
    std::unique_ptr<Worker> worker;
  };
  bool admit(httplib::Response& r) {
    pause_s(settings_.latency_s);
    std::lock_guard lock(mutex_);
    if (requests_.take(1)) return true;
    answer(r, 429, {{"error", "too many"}});
    return false;
  }
  void add_routes(httplib::Server& s) {
    s.Get("/machine_types", [this](const httplib::Request&, httplib::Response& r) {
      if (!admit(r)) return;
      json list = json::array();
      for (const MachineType& t : settings_.types)
        list.push_back({{"name", t.name},
                        {"cpus", t.cpus},
                        {"gpus", t.gpus},
                        {"mem_gb", t.mem_gb},
                        {"local_gb", t.cache_gb},
                        {"fetch_gb_per_s", t.fetch_gb_per_s},
                        {"hourly", t.hourly},
                        {"low_price", t.low_price},
                        {"boot_s", t.boot_s},
                        {"yards", t.zones}});
      answer(r, 200, {{"breeds", list}});
    });
    s.Get("/machines", [this](const httplib::Request& q, httplib::Response& r) {
      if (!admit(r)) return;
      const double at = now() - list_lag_s();
      const std::string after = q.get_param_value("after");
      const size_t most = q.has_param("most") ? std::stoul(q.get_param_value("most")) : 500;
      std::lock_guard lock(mutex_);
      json list = json::array();
      bool truncated = false;
      for (const auto& [name, m] : machines_) {
        if (name <= after || m.rented_at > at || (m.gone_at >= 0 && m.gone_at <= at)) continue;
        if (list.size() >= most) {
          truncated = true;
          break;
        }
        json entry = {{"id", name},
                      {"breed", m.type.name},
                      {"yard", m.zone},
                      {"loaners", m.spot},
                      {"age_s", at - m.rented_at},
                      {"standing", m.up_at <= at ? "running" : "booting"}};
        if (m.worker) entry["addr"] = m.worker->addr();
        list.push_back(entry);
      }
      answer(r, 200, {{"crofts", list}, {"truncated", truncated}});
    });
    s.Post("/machines", [this](const httplib::Request& q, httplib::Response& r) {
      if (!admit(r)) return;
      const json body = unpack(q.body);
      std::lock_guard lock(mutex_);
      const std::string hire = body.at("hire"), zone = body.at("yard");
      const bool spot = body.at("loaners");
      if (const auto known = hires_.find(hire); known != hires_.end())
        return answer(r, 200, {{"crofts", known->second}});
      int& left = settings_.capacity[{zone, spot}];
      const int count = std::min({body.at("how_many").get<int>(), left, 50});
      if (count <= 0) {
        record().line("hire %s: no capacity in %s, %s", hire.c_str(), zone.c_str(),
                      spot ? "spot" : "ordinary");
        return answer(r, 503, {{"error", "no capacity"}});
      }
      json names = json::array();
      for (int i = 0; i < count; ++i) {
        char name[32];
        snprintf(name, sizeof name, "m-%06d", ++last_number_);
        Machine& m = machines_[name];
        m.zone = zone;
        m.spot = spot;
        for (const MachineType& t : settings_.types)
          if (t.name == body.at("breed")) m.type = t;
        m.rented_at = now();
        m.up_at = now() + boot_s(last_number_);
        names.push_back(name);
      }
      left -= count;
      hires_[hire] = names;
      record().line("hire %s: %s in %s, %s", hire.c_str(), names.dump().c_str(), zone.c_str(),
                    spot ? "spot" : "ordinary");
      answer(r, 200, {{"crofts", names}});
    });
    s.Post("/machines/return", [this](const httplib::Request& q, httplib::Response& r) {
      if (!admit(r)) return;
      const json body = unpack(q.body);
      std::lock_guard lock(mutex_);
      for (const json& name : body.at("crofts")) {
        const auto found = machines_.find(name.get<std::string>());
        if (found == machines_.end() || found->second.gone_at >= 0) continue;
        Machine& m = found->second;
        if (m.worker) m.worker->end("returned");
        m.gone_at = now();
        ++settings_.capacity[{m.zone, m.spot}];
        record().line("machine %s returned", found->first.c_str());
      }
      answer(r, 200, json::object());
    });
  }
  void boot_loop() {
    while (!stopping_) {
      pause_s(0.02);
      std::lock_guard lock(mutex_);
      for (auto& [name, m] : machines_) {
        if (m.worker || m.gone_at >= 0 || now() < m.up_at) continue;
        m.worker = std::make_unique<Worker>(name, m.type, m.zone, m.spot, workers_, floor_);
        record().line("machine %s is up (zone %s)", name.c_str(), m.zone.c_str());
      }
    }
  }

  CloudSettings settings_;
  const WorkerSettings workers_;
  Floor& floor_;
  std::mutex mutex_;
  Budget requests_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, json> hires_;
  int last_number_ = 0;
  std::atomic<bool> stopping_{false};
  HttpServer server_;
  std::thread boots_;
};

// ---------------------------------------------------------------- controllers

inline std::string& temporary_folder() {
  static std::string path;
  return path;
}

// Starts, kills and restarts controllers with the command of the deploy file.
class Platform {
 public:
  Platform(int count, json params, const std::vector<std::string>& zones, double restart_s)
      : params_(std::move(params)), zones_(zones), restart_s_(restart_s) {
    std::ifstream deploy("deploy/service.toml");
    for (std::string text; std::getline(deploy, text);)
      if (text.rfind("run = \"", 0) == 0) {
        std::istringstream words(text.substr(7, text.rfind('"') - 7));
        for (std::string word; words >> word;) command_.push_back(word);
      }
    char path[] = "/tmp/rookdyke-review-XXXXXX";
    folder_ = temporary_folder() = mkdtemp(path);
    for (int i = 0; i < count; ++i) {
      Controller c;
      c.node = {"croft-" + std::to_string(i), free_port()};
      c.mesh_port = free_port();
      controllers_.push_back(c);
    }
    params_["nodes"] = count;
  }
  ~Platform() {
    stopping_ = true;
    if (keeper_.joinable()) keeper_.join();
    for (size_t i = 0; i < controllers_.size(); ++i) kill_now(i);
    if (!getenv("KEEP_LOGS")) std::filesystem::remove_all(folder_);
  }
  std::vector<Node> nodes() const {
    std::vector<Node> all;
    for (const Controller& c : controllers_) all.push_back(c.node);
    return all;
  }
  const std::string& folder() const { return folder_; }
  void start(int state_port, int cloud_port) {
    for (size_t i = 0; i < controllers_.size(); ++i) {
      json siblings = json::array();
      for (size_t k = 0; k < controllers_.size(); ++k)
        if (k != i)
          siblings.push_back({{"label", controllers_[k].node.label},
                              {"location", zones_[k % zones_.size()]},
                              {"endpoint", address(controllers_[k].mesh_port)}});
      const json settings = {
          {"label", controllers_[i].node.label},
          {"location", zones_[i % zones_.size()]},
          {"bind", address(controllers_[i].node.port)},
          {"mesh_addr", address(controllers_[i].mesh_port)},
          {"siblings", siblings},
          {"external", {{"cloud", address(cloud_port)}, {"state", address(state_port)}}},
          {"params", params_}};
      std::ofstream(settings_file(i)) << settings.dump(2);
      launch(i);
    }
    keeper_ = std::thread([this] { keep(); });
  }
  size_t index_of(const std::string& label) const {
    for (size_t i = 0; i < controllers_.size(); ++i)
      if (controllers_[i].node.label == label) return i;
    return controllers_.size();
  }
  // Kills a controller; it comes back after the deployment's restart time.
  void crash(size_t i) {
    record().line("controller %s is killed", controllers_[i].node.label.c_str());
    kill_now(i);
  }
  pid_t pid(size_t i) {
    std::lock_guard lock(mutex_);
    return controllers_[i].pid;
  }
  int unexpected_ends() const { return unexpected_ends_; }
  // From now on a process that holds more than this is killed, and restarted as after any end.
  void limit_memory(double mb) { memory_mb_ = mb; }
  int ends_for_memory() const { return ends_for_memory_; }
  double most_memory_mb() const { return most_memory_mb_; }
  static double memory_mb(pid_t pid) {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string text; std::getline(status, text);)
      if (text.rfind("RssAnon:", 0) == 0) return std::stod(text.substr(8)) / 1024;
    return 0;
  }

 private:
  struct Controller {
    Node node;
    int mesh_port = 0;
    pid_t pid = 0;
    double restart_at = 0;
  };
  static std::string address(int port) { return std::string(kHost) + ":" + std::to_string(port); }
  std::string settings_file(size_t i) const {
    return folder_ + "/" + controllers_[i].node.label + ".json";
  }
  void launch(size_t i) {
    std::lock_guard lock(mutex_);
    Controller& c = controllers_[i];
    std::vector<std::string> words = command_;
    words.push_back(settings_file(i));
    const std::string log = folder_ + "/" + c.node.label + ".log";
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(1);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      for (int fd = 3; fd < 2000; ++fd) ::close(fd);
      std::vector<char*> argv;
      for (std::string& word : words) argv.push_back(word.data());
      argv.push_back(nullptr);
      execv(argv[0], argv.data());
      _exit(127);
    }
    c.pid = pid;
    record().line("controller %s started", c.node.label.c_str());
  }
  void kill_now(size_t i) {
    std::lock_guard lock(mutex_);
    Controller& c = controllers_[i];
    if (c.pid <= 0) return;
    ::kill(c.pid, SIGKILL);
    waitpid(c.pid, nullptr, 0);
    c.pid = 0;
    c.restart_at = now() + restart_s_;
  }
  void check_memory(size_t i) {
    const pid_t process = pid(i);
    if (process <= 0) return;
    const double used_mb = memory_mb(process);
    most_memory_mb_ = std::max(most_memory_mb_.load(), used_mb);
    if (memory_mb_ <= 0 || used_mb <= memory_mb_) return;
    record().line("controller %s holds %.0f MB, over its limit of %.0f MB: killed",
                  controllers_[i].node.label.c_str(), used_mb, memory_mb_.load());
    ++ends_for_memory_;
    kill_now(i);
  }
  void keep() {
    while (!stopping_) {
      pause_s(0.05);
      for (size_t i = 0; i < controllers_.size(); ++i) check_memory(i);
      for (size_t i = 0; i < controllers_.size(); ++i) {
        bool restart = false;
        {
          std::lock_guard lock(mutex_);
          Controller& c = controllers_[i];
          int status = 0;
          if (c.pid > 0 && waitpid(c.pid, &status, WNOHANG) == c.pid) {
            record().line("controller %s ended by itself, status %d", c.node.label.c_str(), status);
            ++unexpected_ends_;
            c.pid = 0;
            c.restart_at = now() + restart_s_;
          }
          restart = c.pid == 0 && now() >= c.restart_at;
        }
        if (restart && !stopping_) launch(i);
      }
    }
  }

  std::vector<std::string> command_;
  std::string folder_;
  std::vector<Controller> controllers_;
  json params_;
  std::vector<std::string> zones_;
  const double restart_s_;
  std::mutex mutex_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> unexpected_ends_{0}, ends_for_memory_{0};
  std::atomic<double> memory_mb_{0}, most_memory_mb_{0};
  std::thread keeper_;
};

// ---------------------------------------------------------------- users

struct Answer {
  int status = 0;  // 0: none
  json body;
  std::string node;
  double sent_at = 0, at = 0;
  double retry_after_s = 0;
  std::string standing() const {
    return body.is_object() ? body.value("standing", std::string()) : std::string();
  }
};

// Users behind the load balancer, which probes the nodes' health once a second.
class Users {
 public:
  explicit Users(std::vector<Node> nodes) : nodes_(std::move(nodes)), health_(nodes_.size()) {
    prober_ = std::thread([this] { probe_loop(); });
  }
  ~Users() {
    stopping_ = true;
    prober_.join();
  }
  // Submits until the job is accepted or refused for good, for up to 60 s. Returns the last answer.
  Answer submit(const json& job) {
    return repeat(
        "submit " + job.at("id").get<std::string>(),
        [&] { return ask("POST", "/v2/runs", job, 5); },
        [](const Answer& a) {
          return a.status == 200 || a.status == 201 || a.status == 400 || a.status == 422;
        });
  }
  Answer abort(const std::string& id) {
    return repeat(
        "abort " + id, [&] { return ask("POST", "/v2/runs/" + id + "/abort", json::object(), 5); },
        [](const Answer& a) { return a.status == 200; });
  }
  Answer poll(const std::string& id) { return ask("GET", "/v2/runs/" + id, json(), 2); }
  bool any_healthy() {
    std::lock_guard lock(mutex_);
    return std::any_of(health_.begin(), health_.end(), [](const Health& h) { return h.healthy; });
  }
  // One request to one node.
  static Answer ask_node(const Node& node, const std::string& method, const std::string& path,
                         const json& body, double timeout_s) {
    Answer a;
    a.node = node.label;
    a.sent_at = now();
    httplib::Client client(kHost, node.port);
    client.set_connection_timeout(0, 500000);
    client.set_read_timeout(static_cast<time_t>(timeout_s), 0);
    const auto result =
        method == "POST" ? client.Post(path, pack(body), kMsgpack) : client.Get(path);
    a.at = now();
    if (!result) return a;
    a.status = result->status;
    a.body = unpack(result->body);
    if (result->has_header("Retry-After"))
      a.retry_after_s = std::stod(result->get_header_value("Retry-After"));
    return a;
  }

 private:
  struct Health {
    bool healthy = false, ever = false;
    int failures = 0, successes = 0;
    double unhealthy_since = 0;
  };
  Answer repeat(const std::string& what, const std::function<Answer()>& once,
                const std::function<bool(const Answer&)>& is_final) {
    const double until = now() + 60;
    Answer a;
    while (now() < until && !stopping_) {
      a = once();
      record().line("%s at %s: %d %s", what.c_str(), a.node.c_str(), a.status,
                    a.standing().c_str());
      if (is_final(a)) return a;
      pause_s(std::max(1.0, std::min(30.0, a.retry_after_s)));
    }
    return a;
  }
  Answer ask(const std::string& method, const std::string& path, const json& body,
             double timeout_s) {
    Answer a;
    for (int attempt = 0; attempt < 3; ++attempt) {
      const auto node = choose();
      if (!node) return a;
      a = ask_node(*node, method, path, body, timeout_s);
      if (a.status != 0 || a.at - a.sent_at > 1) return a;
    }
    return a;
  }
  std::optional<Node> choose() {
    std::lock_guard lock(mutex_);
    for (size_t i = 0; i < nodes_.size(); ++i) {
      next_ = (next_ + 1) % nodes_.size();
      if (health_[next_].healthy) return nodes_[next_];
    }
    return std::nullopt;
  }
  void probe_loop() {
    while (!stopping_) {
      for (size_t i = 0; i < nodes_.size(); ++i) {
        const bool ok = ask_node(nodes_[i], "GET", "/healthz", json(), 1).status == 200;
        std::lock_guard lock(mutex_);
        Health& h = health_[i];
        h.failures = ok ? 0 : h.failures + 1;
        h.successes = ok ? h.successes + 1 : 0;
        if (h.healthy && h.failures >= 2) {
          h.healthy = false;
          h.unhealthy_since = now();
        } else if (!h.healthy && ok &&
                   (!h.ever || (h.successes >= 2 && now() - h.unhealthy_since > 3))) {
          h.healthy = h.ever = true;
        }
      }
      pause_s(any_healthy() ? 0.9 : 0.2);
    }
  }

  std::vector<Node> nodes_;
  std::mutex mutex_;
  std::vector<Health> health_;
  size_t next_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread prober_;
};

// ---------------------------------------------------------------- the frame of a case

inline bool trouble() {
  const char* value = getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

constexpr int kBroken = 1, kHeld = 0, kCannotRun = 2;

// Waits until the condition holds; returns whether it did.
inline bool wait_until(double deadline, const std::function<bool()>& condition) {
  while (now() < deadline) {
    if (condition()) return true;
    pause_s(0.05);
  }
  return condition();
}

// Opens the record and limits the case to `limit_s` seconds.
inline void begin_case(const char* folder, double limit_s = 119) {
  now();
  signal(SIGPIPE, SIG_IGN);
  record().open(std::string(folder) + "/record.txt");
  record().line("trouble: %s", trouble() ? "on" : "off");
  std::thread([limit_s] {
    pause_s(limit_s);
    record().line("time is up: the case could not run to its end");
    std::error_code ignored;
    if (!getenv("KEEP_LOGS") && !temporary_folder().empty())
      std::filesystem::remove_all(temporary_folder(), ignored);
    _exit(kCannotRun);  // the controllers end with this process (PR_SET_PDEATHSIG)
  }).detach();
}
// Ends all that was started, then the process.
[[noreturn]] inline void finish(int code, const std::string& why, Platform* platform) {
  record().line("result %d: %s", code, why.c_str());
  printf("%s\n", why.c_str());
  fflush(stdout);
  if (platform) platform->~Platform();
  _exit(code);
}

inline json job(const std::string& id, const std::string& lot, const std::string& crew,
                const std::string& shape, int shifts, double cpus, double gpus, double mem_gb) {
  return {{"id", id},         {"lot", lot},          {"crew", crew},
          {"shape", shape},   {"rank", "standard"},  {"shifts", shifts},
          {"cpus", cpus},     {"gpus", gpus},        {"mem_gb", mem_gb},
          {"kit", "img-01"},  {"image_gb", 0.2},     {"breeds", nullptr},
          {"yard", nullptr},  {"one_zone", false},   {"scatter", false},
          {"loaners", false}, {"expected_s", 120.0}, {"marker_s", 0.0},
          {"stow_s", 0.0},    {"due_s", nullptr}};
}

// -- The two small deployments (the operators' brief and site files).

inline json katunayake_params() {
  json teams = json::array();
  for (int i = 0; i < 6; ++i)
    teams.push_back({{"name", "gate-vision-0" + std::to_string(i)},
                     {"cpus", 0.0},
                     {"cpus_max", 0.0},
                     {"gpus", 0.0},
                     {"gpus_max", 0.0}});
  const auto objective = [](const char* kind, const char* name, double within_s, double share) {
    return json{{"kind", kind}, {"class", name}, {"within_s", within_s}, {"share", share}};
  };
  return {
      {"nodes", 3},
      {"zones", {"terminal-west"}},
      {"teams", teams},
      {"objectives",
       {objective("wait", "plate-training", 25, 0.88), objective("wait", "plate-training", 40, 0.9),
        objective("finished", "plate-training", 300, 0.9),
        objective("finished", "gate-replay", 180, 0.8),
        objective("finished", "gate-replay", 300, 0.97)}},
      {"workers",
       {{"report_s", 3.0},
        {"lease_s", 18.0},
        {"gang_wait_s", 50.0},
        {"gang_peer_s", 6.0},
        {"cancel_s", 38.0}}},
      {"state", {{"rps", 250.0}, {"write_rps", 25.0}, {"value_kb", 8.0}, {"txn_ops", 16}}},
      {"cloud", {{"rps", 4.0}, {"list_lag_s", 6.0}}},
      {"resources", {{"cores", 0.2}, {"memory_mb", 104.0}, {"max_sockets", 1500}}},
      {"clock_off_ms", 100.0}};
}
inline MachineType negombo() {
  return {"negombo-gpu64", 64, 8, 384, 150, 0.5, 28.76, 6.85, 50, {"terminal-west"}};
}
inline StateLimits katunayake_state() { return {250, 25, 8, 0.005, 16}; }

inline json registo_params() {
  json params = katunayake_params();
  params["zones"] = {"lisboa-norte", "setubal-sul"};
  params["teams"] = json::array({{{"name", "extraction"},
                                  {"cpus", 0.0},
                                  {"cpus_max", 0.0},
                                  {"gpus", 0.0},
                                  {"gpus_max", 0.0}}});
  const auto objective = [](const char* kind, const char* name, double within_s, double share) {
    return json{{"kind", kind}, {"class", name}, {"within_s", within_s}, {"share", share}};
  };
  params["objectives"] = {objective("wait", "reader-training", 12, 0.85),
                          objective("wait", "reader-training", 25, 0.94),
                          objective("finished", "reader-training", 400, 0.94),
                          objective("finished", "filing-sweep", 150, 0.95),
                          objective("finished", "filing-sweep", 300, 0.98)};
  params["workers"] = {{"report_s", 3.0},
                       {"lease_s", 29.0},
                       {"gang_wait_s", 40.0},
                       {"gang_peer_s", 6.0},
                       {"cancel_s", 59.0}};
  params["state"] = {{"rps", 90.0}, {"write_rps", 35.0}, {"value_kb", 8.0}, {"txn_ops", 8}};
  params["cloud"] = {{"rps", 5.0}, {"list_lag_s", 3.0}};
  params["resources"] = {{"cores", 0.24}, {"memory_mb", 136.0}, {"max_sockets", 3000}};
  params["clock_off_ms"] = 1000.0;
  return params;
}
inline MachineType tejo() {
  return {"tejo-gpu24", 24, 2, 192, 60, 0.8, 6.5, 2.25, 50, {"lisboa-norte", "setubal-sul"}};
}
inline StateLimits registo_state() { return {90, 35, 8, 0.002, 8}; }

}  // namespace rig
