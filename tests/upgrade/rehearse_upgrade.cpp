// Rehearses the upgrade of a running deployment with real processes of two versions, against the
// stand-ins of the loopback tests: a rolling replacement a few at a time, a kill that comes back
// old, leaders of either version after leaders of the other, a cancellation in the middle, and then
// what only the new version can do. Usage: rehearse_upgrade OLD_PROGRAM NEW_PROGRAM DIRECTORY
//
// Not part of CI, for it needs the repository's history: tests/upgrade/run.sh builds the old
// version and starts this.

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include "loopback.h"

extern char** environ;

namespace rookdyke::test {
namespace {

constexpr int kReplicas = 5;
constexpr double kLeaseEnds = 3;  // seconds after its holder was killed
constexpr int kMostLeaderChanges = 25;

void check(bool ok, const std::string& what) {
  std::cout << (ok ? "ok    " : "FAIL  ") << what << std::endl;
  if (!ok) std::exit(1);
}

// One controller's process.
struct Replica {
  std::string label, settings, log;
  int port = 0, mesh_port = 0;
  bool is_new = false;
  pid_t process = 0;
};

class Rehearsal {
 public:
  Rehearsal(std::string old_program, std::string new_program, std::string directory)
      : programs_{std::move(old_program), std::move(new_program)},
        directory_(std::move(directory)) {
    for (int i = 0; i < kReplicas; ++i) {
      Replica r;
      r.label = "n-" + std::to_string(i);
      r.port = free_port();
      r.mesh_port = free_port();
      r.settings = directory_ + "/" + r.label + ".json";
      r.log = directory_ + "/" + r.label + ".log";
      replicas_.push_back(r);
    }
    for (const Replica& r : replicas_) std::ofstream(r.settings) << settings_of(r).dump(1);
    std::map<std::string, int> ports;
    for (const Replica& r : replicas_) ports[r.label] = r.port;
    cloud_.use(ports);
  }
  ~Rehearsal() {
    for (Replica& r : replicas_) kill_replica(r);
  }

  void run() {
    for (Replica& r : replicas_) start(r, false);
    check(until([&] { return leader() != nullptr; }), "the old version elects a leader");
    work("old replicas alone");
    submit(replicas_[0], job("wk-900001", 3));  // runs on through the whole upgrade
    submit(replicas_[1], job("wk-900002", 2));  // is cancelled in the middle of it
    check(
        until([&] { return cloud_.running("wk-900001") == 3 && cloud_.running("wk-900002") == 2; }),
        "tasks run that will see the whole upgrade");

    replace({0, 1}, true);
    work("two of five are new");
    replace({2}, false);  // it died before its turn and comes back old
    work("one came back old");
    lead_with(true);
    work("a new leader with old siblings");
    lead_with(false);
    work("an old leader after a new one");
    cancel("wk-900002");
    lead_with(true);
    work("a new leader after an old one");
    replace({2, 3}, true);
    work("four of five are new");
    lead_with(false);
    work("the last old one leads");
    replace({4}, true);
    check(until([&] { return leader() != nullptr && leader()->is_new; }), "a new replica leads");
    work("all are new");
    check(cloud_.running("wk-900001") == 3 && cloud_.started("wk-900001") == 3,
          "what ran before the upgrade has run on, and was started once");

    serve();
    state_.apply_lowered_limits({1024, 4, 20});
    work("the state service has lowered its limits");
    cancel("wk-900001");
    check(cloud_.ran_twice() == 0, "nothing ran twice");
    for (const Replica& r : replicas_) check_log(r);
  }

 private:
  json settings_of(const Replica& own) const {
    json peers = json::array();
    for (const Replica& r : replicas_)
      if (r.label != own.label)
        peers.push_back({{"label", r.label},
                         {"location", "a"},
                         {"endpoint", "127.0.0.1:" + std::to_string(r.mesh_port)}});
    const json next = {{"write_rps", 150.0}, {"value_kb", 1.0}, {"txn_ops", 4}};
    return {
        {"label", own.label},
        {"location", "a"},
        {"bind", "127.0.0.1:" + std::to_string(own.port)},
        {"mesh_addr", "127.0.0.1:" + std::to_string(own.mesh_port)},
        {"siblings", peers},
        {"external",
         {{"cloud", "127.0.0.1:" + std::to_string(cloud_.port())},
          {"state", "127.0.0.1:" + std::to_string(state_.port())}}},
        {"params",
         {{"nodes", kReplicas},
          {"zones", {"a"}},
          {"teams", {{{"name", "t"}, {"cpus", 0}, {"cpus_max", 12}, {"gpus", 0}, {"gpus_max", 0}}}},
          {"workers",
           {{"report_s", 5},
            {"lease_s", 60},
            {"gang_wait_s", 40},
            {"gang_peer_s", 6},
            {"cancel_s", 90}}},
          {"state",
           {{"rps", 1000}, {"write_rps", 200}, {"value_kb", 8}, {"txn_ops", 8}, {"next", next}}},
          {"cloud", {{"rps", 50}, {"list_lag_s", 3}}},
          {"resources", {{"cores", 1}, {"memory_mb", 500}, {"max_sockets", 1000}}}}},
        {"clock_off_ms", 10}};
  }

  void start(Replica& r, bool as_new) {
    r.is_new = as_new;
    const std::string& program = programs_[as_new ? 1 : 0];
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, r.log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    std::string name = program, option = "--config", settings = r.settings;
    std::array<char*, 4> arguments{name.data(), option.data(), settings.data(), nullptr};
    const int error =
        posix_spawn(&r.process, program.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    check(error == 0, "start " + r.label + (as_new ? " (new)" : " (old)"));
  }

  // With no signal to it, as the platform does. Its lease runs out.
  void kill_replica(Replica& r) {
    if (r.process == 0) return;
    ::kill(r.process, SIGKILL);
    ::waitpid(r.process, nullptr, 0);
    r.process = 0;
    const auto* key = state_.row(ledger::kLeaderKey);
    if (!key || key->value.value("label", "") != r.label) return;
    const uint64_t lease = key->lease;
    std::this_thread::sleep_for(std::chrono::duration<double>(kLeaseEnds));
    state_.end_lease(lease);
  }

  void replace(const std::vector<size_t>& which, bool as_new) {
    for (const size_t i : which) kill_replica(replicas_[i]);
    for (const size_t i : which) start(replicas_[i], as_new);
    check(until([&] {
            return std::all_of(which.begin(), which.end(),
                               [&](size_t i) { return is_healthy(replicas_[i]); });
          }),
          "those that were replaced are healthy");
  }

  bool is_healthy(const Replica& r) {
    httplib::Client c("127.0.0.1", r.port);
    const auto answer = c.Get("/healthz");
    return answer && answer->status == 200;
  }

  Replica* leader() {
    const auto* key = state_.row(ledger::kLeaderKey);
    if (!key) return nullptr;
    const std::string label = key->value.value("label", "");
    const auto it = std::find_if(replicas_.begin(), replicas_.end(),
                                 [&](const Replica& r) { return r.label == label; });
    return it == replicas_.end() ? nullptr : &*it;
  }

  // Ends leaders, which come back as they were, until one of that version leads.
  void lead_with(bool of_new) {
    const std::string what = of_new ? "new" : "old";
    for (int i = 0; i < kMostLeaderChanges; ++i) {
      check(until([&] { return leader() != nullptr; }), "somebody leads");
      Replica& r = *leader();
      if (r.is_new == of_new) return check(true, "the " + what + " version leads");
      kill_replica(r);
      until([&] { return leader() != nullptr; });
      start(r, r.is_new);
      until([&] { return is_healthy(r); });
    }
    check(false, "the " + what + " version leads");
  }

  std::pair<int, json> ask(const Replica& r, const std::string& path,
                           const std::string* body = nullptr) {
    httplib::Client c("127.0.0.1", r.port);
    c.set_read_timeout(10, 0);
    const auto answer = body ? c.Post(path, *body, "application/msgpack") : c.Get(path);
    return answer ? std::make_pair(answer->status, body_of(answer->body))
                  : std::make_pair(0, json());
  }

  void submit(const Replica& r, const json& description) {
    const std::string body = wire::pack(description);
    int status = 0;
    until([&] {
      status = ask(r, "/v2/runs", &body).first;
      return status != 0 && status != 503;
    });
    check(status == 201 || status == 200,
          "submit " + description.at("id").get<std::string>() + " at " + r.label);
  }

  std::string status(const Replica& r, const std::string& id) {
    const auto [status, body] = ask(r, "/v2/runs/" + id);
    return status == 200 ? body.value("standing", "") : std::to_string(status);
  }

  bool all_say(const std::string& id, const std::string& what) {
    return until([&] {
      return std::all_of(replicas_.begin(), replicas_.end(),
                         [&](const Replica& r) { return status(r, id) == what; });
    });
  }

  // A job at each replica is done, and all say so.
  void work(const std::string& when) {
    std::vector<std::string> ids;
    for (const Replica& r : replicas_) {
      std::array<char, 16> id{};
      std::snprintf(id.data(), id.size(), "wk-%06d", ++submitted_);
      ids.emplace_back(id.data());
      submit(r, job(ids.back(), 40));
    }
    for (const std::string& id : ids)
      check(all_say(id, "done"), std::string(id).append(" is done, ").append(when));
  }

  // At a replica that does not lead, if there is one.
  void cancel(const std::string& id) {
    check(until([&] { return leader() != nullptr; }), "somebody leads");
    const Replica* lead = leader();
    const Replica& at = replicas_[0].label == lead->label ? replicas_[1] : replicas_[0];
    const std::string none;
    check(until([&] { return ask(at, "/v2/runs/" + id + "/abort", &none).first == 200; }),
          "cancel " + id + " at " + at.label);
    check(all_say(id, "aborted"), "all say that " + id + " is cancelled");
    check(until([&] { return cloud_.running(id) == 0; }), "nothing of " + id + " runs on");
  }

  // As a new user would: a service is submitted, loses its replicas and has them again, and is
  // cancelled.
  void serve() {
    const std::string id = "wk-900003";
    json service = job(id, 3);
    service["shape"] = "service";
    service["expected_s"] = 0.0;
    service["rank"] = "critical";
    submit(replicas_[3], service);
    check(until([&] { return cloud_.running(id) == 3; }), "three replicas run");
    cloud_.fail_tasks(id);
    check(until([&] { return cloud_.started(id) >= 6 && cloud_.running(id) == 3; }),
          "all three failed and run again");
    check(status(replicas_[2], id) == "running", "it is running");
    cancel(id);
    service["id"] = "wk-900004";
    service["shifts"] = 13;
    const std::string body = wire::pack(service);
    check(ask(replicas_[1], "/v2/runs", &body).first == 422, "one beyond its team's limit: 422");
  }

  static void check_log(const Replica& r) {
    std::ifstream in(r.log);
    std::string line;
    size_t errors = 0;
    while (std::getline(in, line))
      if (line.find(" error ") != std::string::npos) {
        std::cout << "      " << line << std::endl;
        ++errors;
      }
    check(errors == 0, "no errors in the log of " + r.label);
  }

  std::array<std::string, 2> programs_;
  std::string directory_;
  StateService state_;
  CloudAndWorkers cloud_;
  std::vector<Replica> replicas_;
  int submitted_ = 100;
};

}  // namespace
}  // namespace rookdyke::test

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: rehearse_upgrade OLD_PROGRAM NEW_PROGRAM DIRECTORY" << std::endl;
    return 2;
  }
  rookdyke::test::Rehearsal(argv[1], argv[2], argv[3]).run();
  std::cout << "the upgrade works" << std::endl;
}
