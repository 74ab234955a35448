#pragma once
// Stand-ins for everything outside the scheduler, in simulated time and in one process: the state
// service, the cloud, workers, users, and nodes that run the real core, ledger cache and ledger
// with the same rules of leadership as the daemon's threads. Messages can be lost, delayed,
// repeated and held back by cuts. Everything is decided by the seed: the same file gives the same
// run.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "checker.h"
#include "leadership/cancellations.h"
#include "leadership/lease_clock.h"
#include "scheduler/scheduler.h"

namespace rookdyke::test {

// ---- time
class Clock {
 public:
  double now = 0;
  void at(double when, std::function<void()> fn) {
    queue_.push({std::max(when, now), next_++, std::move(fn)});
  }
  void after(double s, std::function<void()> fn) { at(now + s, std::move(fn)); }
  void run(double until);

 private:
  struct Event {
    double when;
    uint64_t order;
    std::function<void()> fn;
    bool operator<(const Event& o) const {
      return when != o.when ? when > o.when : order > o.order;
    }
  };
  std::priority_queue<Event> queue_;
  uint64_t next_ = 0;
};

// ---- the state service
class Store {
 public:
  struct Entry {
    nlohmann::json value;
    uint64_t version = 0, lease = 0;
  };
  struct Event {
    std::string key;
    bool erased = false;
    nlohmann::json value;
    uint64_t version = 0;
  };
  explicit Store(Clock& clock) : clock_(clock) {}
  // What it takes: a transaction beyond them is rejected.
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
  // How much later a transaction is carried out, without an answer; negative: at once, with one.
  std::function<double()> lateness = [] { return -1.0; };
  // Whether a transaction that is carried out at once gets no answer.
  std::function<bool()> loses_answer = [] { return false; };
  // Whether the request that is served now gets no answer.
  bool unanswered_starts = false;

  ledger::Result commit(const ledger::Transaction& t);
  uint64_t grant(double ttl);
  bool renew(uint64_t lease);
  void drop(uint64_t lease);
  void end_outage();
  std::vector<Event> since(uint64_t revision) const;
  const Entry* get(const std::string& key) const;
  std::vector<std::pair<std::string, Entry>> rows_after(const std::string& key) const {
    return {rows_.upper_bound(key), rows_.end()};
  }

 private:
  ledger::Result apply(const ledger::Transaction& t);
  bool within_limits(const ledger::Transaction& t) const;
  void expire(uint64_t lease);
  struct Lease {
    double ttl, until;
  };
  Clock& clock_;
  std::map<std::string, Entry> rows_;
  std::map<uint64_t, Lease> leases_;
  std::vector<Event> log_;
  uint64_t next_lease_ = 0;
};

class World;

// ---- a machine with its worker
class Worker {
 public:
  Worker(World& w, std::string name, MachineType type, std::string zone, bool spot);
  void boot();
  void hang(double s);
  void vanish();  // the machine and all on it are gone
  void notice(double s);
  void end_epoch();
  bool terminated = false, hung = false, sick = false, up = false;
  double mute_until = -1;  // it reaches no controller; commands reach it
  double deaf_until = -1;  // its reports arrive; answers and commands do not reach it
  double rented_at;
  std::string name, zone;
  const MachineType type;
  const bool spot;

  struct Task {
    uint64_t attempt = 0;
    TaskPhase phase = TaskPhase::fetching;
    ExitCause cause = ExitCause::none;
    bool saved = false;
    uint64_t step = 0;  // outdates scheduled steps
    double began = 0;   // to run
    double ordered_at = -1;
  };
  std::map<std::pair<std::string, uint32_t>, Task> tasks;

  Heartbeat make_heartbeat();
  void execute(const std::vector<WorkerCommand>& commands, double ordered_at);
  std::optional<Heartbeat> direct(uint64_t fencing_token, uint64_t epoch,
                                  const std::vector<WorkerCommand>& commands);
  void begin(const std::string& job, uint32_t task);
  // By value: callers pass keys of the map that this erases from.
  void leave(std::string job, uint32_t task, ExitCause why, bool saved);
  void changed();

 private:
  void report();
  void answered(double sent, uint64_t epoch, int status, uint64_t fencing_token,
                const std::vector<WorkerCommand>& commands, const std::string& leader,
                double ordered_at);
  void next_in(double s);
  void check_lease();
  void on_machine(const std::string& job, uint32_t task, bool is);

  World& w_;
  uint64_t epoch_ = 1, seq_ = 0, fencing_token_ = 0;
  double lease_from_ = 0;
  double recall_at_ = -1;
  size_t controller_ = 0;
  uint64_t timer_ = 0;
  bool in_flight_ = false, dirty_ = false;
  double last_sent_ = -1;
  struct Held {
    uint64_t fencing_token, epoch;
    std::vector<WorkerCommand> commands;
    double ordered_at;
  };
  void carry_out(const Held& h);
  std::vector<Held> held_;  // what arrived while it hung
  std::set<std::string> images_;
  friend class World;
};

// ---- a controller
class SimController {
 public:
  SimController(World& w, size_t index);
  void boot();
  void crash();
  bool alive = false;
  bool leading() const { return scheduler_ != nullptr; }
  Scheduler* scheduler() { return scheduler_.get(); }
  const Scheduler* scheduler() const { return scheduler_.get(); }
  uint64_t fencing_token() const { return fencing_token_; }
  const std::string& label() const { return label_; }
  void step_down(const std::string& why, double rest = 0);
  // It stands still for so long, in the middle of whatever it waits for; its clocks run on.
  void freeze(double s);
  double still_until = -1;

  struct HeartbeatAnswer {
    int status = 503;
    uint64_t fencing_token = 0;
    std::vector<WorkerCommand> commands;
    std::string leader;
  };
  HeartbeatAnswer on_heartbeat(const Heartbeat& r);
  // Answers a poll, submission or abort later, by `reply("pending"...)`; empty: 503.
  void user(const std::string& verb, const JobSpec& spec,
            const std::function<void(const std::string&)>& reply);

 private:
  void later(double s, void (SimController::*loop)());
  bool lease_confirmed();
  bool may_decide();
  uint64_t known_token() const;
  void may_confirm_cancelled(const std::string& id, uint64_t leader,
                             const std::function<void(bool)>& then);
  uint64_t on_cancellations(uint64_t fencing_token, const std::string& id, const CachedJob& job);
  void put_job(const std::string& id, const nlohmann::json& value, uint64_t version);
  void watch();
  void lead();
  void round();
  void commit();
  void cloud();
  void direct();
  void mesh();
  void stall_check();
  void barrier(std::function<void(bool)> then);
  void settle(const ledger::Transaction& t, bool repeat, int tries,
              const std::function<void(std::optional<ledger::Result>)>& then);

  World& w_;
  size_t index_;
  std::string label_;
  uint64_t life_ = 0;  // outdates what belongs to an earlier process
  LedgerCache ledger_cache_;
  uint64_t revision_ = 0;
  bool loaded_ = false, campaigning_ = false;
  std::unique_ptr<Scheduler> scheduler_;
  uint64_t fencing_token_ = 0, lease_ = 0;
  LeaseClock lease_clock_;
  KnownCancellations known_cancellations_;
  CancellationStaleness cancellation_staleness_;
  uint64_t highest_token_ = 0;
  double cooldown_until_ = 0, heard_state_ = -1e9, heard_sibling_ = -1e9;
  std::vector<std::function<void(bool)>> waiting_;
  bool committing_ = false, cloud_busy_ = false;
  double next_list_ = 0, next_renewal_ = 0;
  uint64_t transaction_count_ = 0;
};

// ---- everything
struct Cut {
  double until = 0;
  bool hold = false;
};

class World {
 public:
  World(Settings settings, std::vector<MachineType> types, size_t nodes, uint64_t seed);
  void start();

  Clock clock;
  Store store;
  Settings settings;
  std::vector<MachineType> types;
  std::mt19937_64 random;
  Checker checker;
  std::vector<std::unique_ptr<SimController>> nodes;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  double lose = 0, repeat = 0, slow = 0;  // chances per message
  // Copies of reports that come late, to any node: chance per report, and up to how late.
  double late_copies = 0, late_copies_s = 0;
  double late_writes = 0;   // chance per transaction to be carried out late and not answered
  double lost_answers = 0;  // chance per transaction to be carried out at once and not answered
  double keep_copies = 0;  // chance per report that a copy reaches all nodes as a new leader begins
  // Direct commands or their answers are held up: chance, and for up to how long.
  double hold_commands = 0, hold_commands_s = 0;
  double slow_state_s = 0;   // the state service answers after up to so long
  double cancel_at_end = 0;  // chance that a job is cancelled as its last task ends
  double odd_until = -1;     // until then users send odd requests
  // Until then users ask at all nodes, and repeat the submission, within milliseconds after a job
  // was accepted, ended or confirmed as cancelled; some cancel at once.
  double close_looks_until = -1;

  // A request over the network from one place to another; places are "n0".. for nodes, "state",
  // "cloud", "users", and machine names. `serve` runs there (perhaps late, perhaps twice);
  // `done(true)` follows if its answer came back, else `done(false)` after `timeout`.
  void call(const std::string& from, const std::string& to, double timeout,
            const std::function<void()>& served, const std::function<void(bool)>& done);
  void cut(const std::string& a, const std::string& b, double s, bool hold);
  // What lies in a zone is cut from all that does not. Controller i lies in zone i modulo their
  // number; the state service, the cloud and the users lie in none.
  void cut_zone(const std::string& zone, double s, bool hold);
  // The state service refuses that place alone.
  void refuse(const std::string& place, double s) { refused_[place] = clock.now + s; }

  // Cloud.
  struct RentalAnswer {
    CloudOutcome outcome = CloudOutcome::refused;
    std::vector<std::string> names;
  };
  RentalAnswer rent(const RentalRequest& h);
  void return_machines(const std::vector<std::string>& names);
  std::vector<ListedMachine> list() const;
  bool cloud_outage = false;
  std::map<std::pair<std::string, bool>, int> capacity;    // (zone, spot)
  std::map<std::string, std::vector<std::string>> rented;  // by request name
  size_t rentals = 0, returns = 0, charged = 0;
  double never_boots = 0, slow_boots = 1;  // chance; how many times as long boots take

  // Users.
  struct UserJob {
    JobSpec spec;
    double run_s = 10;
    bool faulty = false;
    std::string told;  // last standing
    double done_at = -1, cancelled_at = -1, first_start = -1;
    bool abort_asked = false;
    std::map<uint32_t, double> progress;
    std::set<uint32_t> done;
    size_t starts = 0;
    double served_s = 0;                // of a service: replicas' time that ended
    double submitted_at = 0;            // by its user
    std::set<uint64_t> saved_attempts;  // gangs
  };
  std::map<std::string, UserJob> jobs;
  void submit(const JobSpec& spec, double run_s, bool faulty);
  void abort(const std::string& id);
  // Cancels jobs that run and have longest to go, within a fifth of a second; up to eight of their
  // machines hang.
  void cancel_now(size_t jobs, double hang_s);
  void odd_requests(double s);
  // The share of a service's replica time that was served, from so long after its submission until
  // now, or until its user cancelled it.
  double served(const std::string& id, double after_s) const;
  // Until then submissions are written as version 0.1 does, which knows of no next limits.
  double old_rows_until = -1;
  // Asks all nodes about a job that may never have been submitted.
  void ask_all(const JobSpec& spec, const std::string& verb = "poll");
  // The last task of a job has ended.
  void ended(const std::string& id);
  double last_answer = 0;

  // Gangs.
  void gathered(const std::string& job, uint64_t attempt);
  void gang_lost(const std::string& job, uint64_t attempt);

  SimController* leader();
  void leader_begins();
  // The copy of a report may be kept until then.
  void keep_copy(const Heartbeat& r);
  // How often troubles met: a scenario demands by it that it brings about what it is for.
  void meet(const std::string& what);
  std::map<std::string, size_t> met;
  size_t machines_up() const;
  // Never the same twice: a step scheduled for a forgotten attempt must not fire for the next one.
  uint64_t new_step() { return ++steps_; }
  // When the message was sent that is served right now.
  double sent_at() const { return sent_at_; }
  double chance() { return std::uniform_real_distribution<double>(0, 1)(random); }

 private:
  void tick();
  void look_for_room();
  void try_submit(const std::string& id, double started);
  void try_abort(const std::string& id);
  void poll(const std::string& id);
  void odd_request();
  using Hears = std::function<void(const std::string& answer, const Asked& when)>;
  // One request to a node. It is heard once: the answer, or "" once its patience has run out.
  void ask(size_t controller, const std::string& verb, const JobSpec& spec, double patience,
           const Hears& hears);
  // One request about a job, sent once; its answer is checked like any other.
  void ask_once(const std::string& verb, const JobSpec& spec);
  void ask_node(size_t controller, const std::string& verb, const JobSpec& spec);
  void heard(const std::string& id, const std::string& answer, bool cancel_asked,
             const Asked& when);
  void close_looks(const std::string& id);
  void meet_cancelled(const UserJob& job);
  bool at_limit(const std::string& team) const;
  SimController* any_node(size_t& index);
  // When what arrives or is answered at a place is looked at: now, but for a node that stands
  // still.
  double awake_at(const std::string& place) const;
  // The cut that keeps two places apart now.
  const Cut* cut_between(const std::string& a, const std::string& b) const;
  std::string zone_of(const std::string& place) const;
  bool is_command(const std::string& from, const std::string& to) const;
  std::map<std::pair<std::string, std::string>, Cut> cuts_;
  std::map<std::string, Cut> zone_cuts_;
  std::map<std::string, double> refused_;
  std::vector<Heartbeat> kept_copies_;
  double led_since_ = -1;
  uint64_t next_machine_ = 0, steps_ = 0;
  double sent_at_ = 0, next_look_ = 0;
};

}  // namespace rookdyke::test
