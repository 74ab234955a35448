#include "daemon/controller.h"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <utility>

#include "net/steady_clock.h"

namespace rookdyke {

namespace {

constexpr double kCooldown = 12;      // a leader without reports is no candidate
constexpr double kLeaderShare = 0.6;  // of requests to the state service; followers share the rest
constexpr double kStateFresh = 2.5;   // the state service counts as answering this long
// A doubtful leader keeps its workers' leases alive no longer than this: no outage that the
// service is meant to ride out lasts as long, and a cut one must let go some time.
constexpr double kMaxUnconfirmed = 60;
// A doubtful leader that hears no sibling either for this long is likelier cut off than a witness
// of an outage: it leaves its workers to whom the others elect.
constexpr double kIsolatedAfter = 5;
constexpr double kHintsEvery = 5;
constexpr size_t kApiThreads = 160;  // requests served at once; users' wait for the state service
constexpr size_t kMeshThreads = 8;
constexpr size_t kUserConnections = 4;  // to the state service, for the users' requests
constexpr int kDirectThreads = 3;
constexpr double kPublishEvery = 0.6;
constexpr size_t kMaxCancellationsPerMessage = 256;  // cancellations in a message to the leader
constexpr double kMinRoundGap = 0.06;                // rounds follow events no closer than this
constexpr int kReloadRows = 500;
// Requests about the lease are given up sooner than others: the lease does not wait.
constexpr double kLeaseTimeout = 0.8;
constexpr double kCandidacyJitter = 0.3;  // candidates wait up to this long before they try
// Looks for a vacant leader key follow one another so fast while nobody leads, and while one does.
constexpr double kWaitVacant = 0.1;
constexpr double kWaitLed = 0.5;
constexpr double kWatchShare = 0.45;   // of a node's requests to the state service: for watches
constexpr double kShortestGap = 0.02;  // between two watches, and between two renewals
// After a look at the ledger that failed, the next one follows this much later, or at the next
// call.
constexpr double kRetryWatch = 0.15;
constexpr double kRetryReload = 0.3;
// After this long without an answer the ledger is asked how far it has gone on; beyond so many
// changes it is read anew.
constexpr double kLongBehind = 3;
constexpr uint64_t kMostBehind = 200;
constexpr double kStallCheckInterval =
    0.25;  // the process looks at itself this often (leadership/lease_clock.h)

std::optional<double> next_write_rps(const Settings& settings) {
  if (!settings.next_limits) return std::nullopt;
  return settings.next_limits->write_rps;
}

std::vector<std::string> labels_of(const std::vector<Sibling>& siblings) {
  std::vector<std::string> labels;
  labels.reserve(siblings.size());
  for (const Sibling& s : siblings) labels.push_back(s.label);
  return labels;
}

}  // namespace

std::string_view to_string(Role r) {
  switch (r) {
    case Role::follower:
      return "follower";
    case Role::campaigning:
      return "campaigning";
    case Role::leading:
      return "leading";
    case Role::unconfirmed:
      return "doubtful";
    case Role::cooldown:
      return "resting";
  }
  return "";
}

Controller::Controller(Config config)
    : config_(std::move(config)),
      state_limiters_(config_.state_rps, config_.write_rps, next_write_rps(config_.scheduler)),
      cloud_limiter_(config_.cloud_rps),
      state_connections_(config_.state, state_limiters_, kUserConnections),
      user_api_(config_.scheduler, *this),
      random_(std::random_device{}()),
      write_share_(config_.scheduler.label, labels_of(config_.siblings), config_.nodes,
                   config_.write_rps) {
  incarnation_ = config_.scheduler.label + "." +
                 std::to_string(std::chrono::system_clock::now().time_since_epoch().count()) + "." +
                 std::to_string(random_());
  api_ = std::make_unique<net::Server>(
      config_.bind, connections_from_outside(config_), kApiThreads, 64 * 1024,
      [this](const httplib::Request& q, httplib::Response& r) { serve(q, r); });
  mesh_ = std::make_unique<net::Server>(
      config_.mesh, connections_from_siblings(config_), kMeshThreads, 256 * 1024,
      [this](const httplib::Request& q, httplib::Response& r) { serve_mesh(q, r); });
}

Controller::~Controller() { stop(); }

Role Controller::role() const {
  std::lock_guard lock(mutex_);
  return role_;
}

bool Controller::start() {
  {
    std::lock_guard lock(mutex_);
    set_role(Role::follower, "start");
  }
  if (!api_->start() || !mesh_->start()) return false;
  lease_clock_ = LeaseClock(steady_now());
  cancellation_staleness_ = config_.nodes == 1 ? CancellationStaleness::of_only_controller()
                                               : CancellationStaleness(labels_of(config_.siblings));
  threads_.emplace_back([this] { stall_check_loop(); });
  threads_.emplace_back([this] { watch_loop(); });
  threads_.emplace_back([this] { election_loop(); });
  threads_.emplace_back([this] { scheduling_loop(); });
  threads_.emplace_back([this] { commit_loop(); });
  threads_.emplace_back([this] { cloud_loop(); });
  threads_.emplace_back([this] { mesh_loop(); });
  threads_.emplace_back([this] { cancellation_loop(); });
  for (int i = 0; i < kDirectThreads; ++i) threads_.emplace_back([this] { direct_loop(); });
  return true;
}

void Controller::stop() {
  if (stop_.exchange(true)) return;
  {
    std::lock_guard lock(mutex_);
    commit_cv_.notify_all();
    cloud_cv_.notify_all();
    direct_cv_.notify_all();
    scheduling_cv_.notify_all();
    election_cv_.notify_all();
    mesh_cv_.notify_all();
    cancellation_gate_.stop();
  }
  read_barrier_.stop();
  for (std::thread& t : threads_) t.join();
  threads_.clear();
  api_->halt();
  mesh_->halt();
}

void Controller::wait_for(std::unique_lock<std::mutex>& lock, std::condition_variable& cv,
                          double s) {
  if (!stop_) cv.wait_for(lock, std::chrono::duration<double>(std::max(0.001, s)));
}

// ---------------------------------------------------------------- the ledger's ledger cache

void Controller::apply(const wire::Row& row) {
  if (row.erased) {
    ledger_cache_.erase(row.key, row.version);
    return;
  }
  ledger_cache_.put(row.key, row.value, row.version);
  if (!scheduler_) return;
  static const std::string prefix = ledger::kJobPrefix;
  if (row.key.compare(0, prefix.size(), prefix) != 0) return;
  const std::string id = row.key.substr(prefix.size());
  if (const CachedJob* j = ledger_cache_.job(id)) scheduler_->on_job_row(*j, id, steady_now());
}

// Page by page, so that no more than one is held at a time. What the ledger cache shows meanwhile
// is for no barrier: the watch that follows gives the next one.
bool Controller::reload(state::Client& client) {
  std::string after;
  uint64_t first = 0;
  size_t rows = 0;
  {
    std::lock_guard lock(mutex_);
    ledger_cache_.begin_reload();
  }
  while (true) {
    auto page = client.range(ledger::kPrefix, after, kReloadRows);
    if (!page) return false;
    if (first == 0) first = page->revision;
    if (!page->rows.empty()) after = page->rows.back().key;
    rows += page->rows.size();
    std::lock_guard lock(mutex_);
    for (const wire::Row& r : page->rows) apply(r);
    if (!page->more || page->rows.empty()) break;
  }
  std::lock_guard lock(mutex_);
  ledger_cache_.end_reload();
  // Later pages may show later changes; the watch from the first page's revision repeats them.
  revision_ = first;
  spdlog::info("ledger read: {} rows at revision {}", rows, first);
  return true;
}

// What the watcher's thread keeps between its reads.
struct Controller::Watcher {
  state::Client client;
  bool loaded = false;     // all rows were read; only changes are missing
  double last_at = 0;      // the last read was begun
  double answered_at = 0;  // a watch was answered last
};

// A watch that holds nothing back is a read of the current revision and of all changes up to
// it in one request: each is a barrier for every poll that was waiting when it was sent.
void Controller::watch_loop() {
  Watcher watcher{state::Client(config_.state, state_limiters_)};
  while (!stop_) {
    wait_for_next_read(watcher);
    const ReadBarrier::Read read = read_barrier_.begin_read();
    if (stop_) break;
    watcher.last_at = steady_now();
    const bool reachable = read_rows_if_needed(watcher);
    // The watch catches up with what changed between the pages of a reload.
    state::Client::Watch changes;
    const double sent = steady_now();
    if (reachable) changes = watcher.client.watch(ledger::kPrefix, revision_, 0);
    switch (changes.kind) {
      case state::Client::Watch::Kind::too_old:
        spdlog::warn("ledger: watch from revision {} is too old, reading anew", revision_);
        watcher.loaded = false;
        break;  // the callers wait for the next read
      case state::Client::Watch::Kind::events:
        watcher.answered_at = steady_now();
        read_barrier_.answered();
        apply_changes(changes.rows, sent);
        read_barrier_.succeeded(read);
        break;
      case state::Client::Watch::Kind::failed:
        read_barrier_.failed(read, watcher.loaded ? kRetryWatch : kRetryReload);
        break;
    }
  }
}

// Until a caller waits or it is time, but no sooner than this node's part of the requests allows.
void Controller::wait_for_next_read(const Watcher& watcher) {
  double interval, gap;
  {
    std::lock_guard lock(mutex_);
    const bool lead = leads();
    interval = lead ? config_.leader_watch_s : config_.follower_watch_s;
    const double share = lead ? kLeaderShare : (1 - kLeaderShare) / std::max(1, config_.nodes - 1);
    gap = std::max(kShortestGap, 1 / (kWatchShare * share * config_.state_rps));
  }
  const double until = watcher.last_at + interval - steady_now();
  if (watcher.loaded && until > 0) read_barrier_.wait_for_caller(until);
  const double soon = watcher.last_at + gap - steady_now();
  if (soon > 0 && !stop_) std::this_thread::sleep_for(std::chrono::duration<double>(soon));
}

// Reads all rows if none were read yet, or if too much has changed since. False: the ledger did not
// answer.
//
// A watch answers with all changes since, whatever their size: those of two minutes cut off
// take more memory than a controller has, and had two of five killed (docs/rounds.md, round
// 20). The rows as they are do not; so one that was long without an answer asks first how far
// the ledger has gone on.
bool Controller::read_rows_if_needed(Watcher& watcher) {
  if (watcher.loaded && steady_now() - watcher.answered_at > kLongBehind) {
    const auto head = watcher.client.range(ledger::kPrefix, "", 1);
    if (!head) return false;
    if (head->revision > revision_ + kMostBehind) {
      spdlog::info("ledger: {} changes behind, reading anew", head->revision - revision_);
      watcher.loaded = false;
    }
  }
  if (!watcher.loaded) watcher.loaded = reload(watcher.client);
  return watcher.loaded;
}

// What a watch that was sent then has answered.
void Controller::apply_changes(const wire::Rows& changes, double sent) {
  std::lock_guard lock(mutex_);
  for (const wire::Row& r : changes.rows) apply(r);
  revision_ = std::max(revision_, changes.revision);
  state_ok_at_ = steady_now();
  loaded_ = true;
  if (ledger_cache_.leader_version() > highest_token_ && !ledger_cache_.leader().empty()) {
    highest_token_ = ledger_cache_.leader_version();
    highest_leader_ = ledger_cache_.leader();
  }
  if (scheduler_ && scheduler_->needs_round()) scheduling_cv_.notify_one();
  cancellation_staleness_.proven(sent);
  if (leads() && ledger_cache_.leader_version() > fencing_token_)
    step_down(Role::follower, "the leader key is not ours");
  if (leads()) cancellation_gate_.leader_has_read(revision_);
  cancellation_gate_.leader_has_read(ledger_cache_.read_to());
  if (must_publish()) cancellation_gate_.wake_notifier();
  if (!leads() && ledger_cache_.leader().empty()) election_cv_.notify_all();
}

// ---------------------------------------------------------------- leadership

void Controller::set_role(Role to, const std::string& why) {
  if (role_ != to || to == Role::follower)
    spdlog::info("role: {} -> {} ({})", to_string(role_), to_string(to), why);
  role_ = to;
  const bool lead = leads() || to == Role::campaigning;
  const double share = config_.nodes == 1 ? 0.95
                       : lead             ? kLeaderShare
                                          : (0.95 - kLeaderShare) / (config_.nodes - 1);
  state_limiters_.requests.set_share(share);
  share_writes();
  cloud_limiter_.set_share(config_.nodes == 1 ? 0.95 : lead ? 0.7 : 0.25 / (config_.nodes - 1));
}

std::string Controller::next_transaction_id() {
  return incarnation_ + "." + std::to_string(++transaction_count_);
}

void Controller::lower_sizes() {
  sizes_lowered_ = true;
  if (scheduler_) scheduler_->apply_lowered_limits();
}

void Controller::share_writes() {
  write_share_.set_limit(state_limiters_.update_write_rate());
  const std::string leader = leads() ? config_.scheduler.label : highest_leader_;
  state_limiters_.writes.set_share(write_share_.share(leader, steady_now()));
}

bool Controller::is_isolated(double now) const {
  return !config_.siblings.empty() && now - siblings_at_ > kIsolatedAfter &&
         now - state_ok_at_ > kIsolatedAfter;
}

void Controller::step_down(Role to, const std::string& why) {
  scheduler_.reset();
  fencing_token_ = 0;
  if (to == Role::cooldown) cooldown_until_ = steady_now() + kCooldown;
  set_role(to, why);
  election_cv_.notify_all();
}

bool Controller::campaign(state::Client& client) {
  const double granted = steady_now();  // its time runs from here at the earliest
  const auto lease = client.grant(config_.lease_ttl_s);
  if (!lease) return false;
  ledger::Transaction t;
  {
    std::lock_guard lock(mutex_);
    t.transaction_id = next_transaction_id();
  }
  t.conditions = {{ledger::kLeaderKey, 0}};
  t.changes = {{ledger::kLeaderKey,
                false,
                {{"label", config_.scheduler.label}, {"w", t.transaction_id}},
                *lease}};
  ledger::Result r = client.commit(t, 0.5);
  if (r.outcome == ledger::Outcome::unknown) r = client.commit_repeated(t, 0.5);
  if (r.outcome != ledger::Outcome::applied) {
    client.drop(*lease);  // whatever became of the write, the key goes with its lease
    return false;
  }
  // Everything that a predecessor committed lies before this key; the barrier brings it here.
  if (!read_barrier_.wait(2.0)) {
    client.drop(*lease);
    return false;
  }
  std::lock_guard lock(mutex_);
  const std::vector<MachineType> types =
      !ledger_cache_.types().empty() ? ledger_cache_.types() : types_;
  if (types.empty() || ledger_cache_.leader_version() != r.revision) {
    spdlog::warn("elected but not able to lead: machine types {}, key {} of {}",
                 types.empty() ? "unknown" : "known", ledger_cache_.leader_version(), r.revision);
    lease_ = *lease;
    set_role(Role::follower, "not able to lead");
    return false;
  }
  const double now = steady_now();
  notice_stall(now);
  lease_clock_.kept(granted);
  if (!lease_clock_.runs(now, config_.lease_ttl_s)) {
    // It took too long, or we stood still meanwhile: somebody else may lead by now.
    lease_ = *lease;
    set_role(Role::follower, "elected too late");
    return false;
  }
  lease_ = *lease;
  fencing_token_ = r.revision;
  scheduler_ = std::make_unique<Scheduler>(config_.scheduler, types, fencing_token_, now);
  scheduler_->set_day_offset(
      std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count() -
      now);
  if (sizes_lowered_) scheduler_->apply_lowered_limits();
  scheduler_->load(ledger_cache_, now);
  if (image_locations_token_ > 0) scheduler_->load_image_locations(image_locations_, now);
  highest_token_ = std::max(highest_token_, fencing_token_);
  highest_leader_ = config_.scheduler.label;
  set_role(Role::leading, "elected with token " + std::to_string(fencing_token_));
  mesh_cv_.notify_all();
  scheduling_cv_.notify_all();
  cloud_cv_.notify_all();
  return true;
}

void Controller::notice_stall(double now) {
  const double still = lease_clock_.stall(now);
  if (still <= 0) return;
  spdlog::warn("this process did not run for {:.1f} s", still);
  // The silence of others was our own.
  if (scheduler_) scheduler_->on_process_stall(still, now);
  siblings_at_ = std::min(now, siblings_at_ + still);
  election_cv_.notify_all();
}

bool Controller::lease_confirmed(double now) {
  notice_stall(now);
  return leads() && lease_clock_.lease_confirmed(now, config_.lease_ttl_s);
}

bool Controller::may_decide(double now) {
  return role_ == Role::leading && scheduler_ && lease_confirmed(now);
}

bool Controller::is_unconfirmed_leader(double now) {
  return role_ == Role::unconfirmed && scheduler_ && lease_confirmed(now);
}

bool Controller::lease_still_confirmed(uint64_t fencing_token) {
  std::lock_guard lock(mutex_);
  return fencing_token_ == fencing_token && lease_confirmed(steady_now());
}

void Controller::stall_check_loop() {
  std::unique_lock lock(mutex_);
  while (!stop_) {
    notice_stall(steady_now());
    lock.unlock();
    std::this_thread::sleep_for(std::chrono::duration<double>(kStallCheckInterval));
    lock.lock();
  }
}

// What the leadership's thread keeps between its rounds.
struct Controller::Leadership {
  state::Client client;
  std::uniform_real_distribution<double> jitter{0.0, kCandidacyJitter};
  double next_renewal = 0;
  bool held = false;  // lease_ is ours to drop once we no longer lead
};

// One moment of it, seen under mutex_.
struct Controller::LeadershipView {
  Role role = Role::follower;
  uint64_t lease = 0;
  bool vacant = false;       // nobody leads, by a fresh look
  bool types_known = false;  // the machine types, without which nobody can lead
};

void Controller::election_loop() {
  Leadership leadership{state::Client(config_.state, state_limiters_, kLeaseTimeout)};
  while (!stop_) {
    const LeadershipView seen = view_leadership();
    if (seen.role == Role::leading || seen.role == Role::unconfirmed) {
      leadership.held = true;
      renew_lease(leadership, seen.lease);
    } else if (leadership.held) {
      leadership.client.drop(seen.lease);
      leadership.held = false;
    } else if (seen.role == Role::follower && seen.vacant && seen.types_known) {
      run_for_leader(leadership, seen.lease);
    }
    std::unique_lock lock(mutex_);
    const double wait = leads() ? std::max(kShortestGap, leadership.next_renewal - steady_now())
                        : ledger_cache_.leader().empty() ? kWaitVacant
                                                         : kWaitLed;
    wait_for(lock, election_cv_, wait);
  }
  resign(leadership);
}

Controller::LeadershipView Controller::view_leadership() {
  std::lock_guard lock(mutex_);
  const double now = steady_now();
  if (role_ == Role::cooldown && now >= cooldown_until_) set_role(Role::follower, "rested");
  LeadershipView out;
  out.role = role_;
  out.lease = lease_;
  // Only a fresh look tells that nobody leads.
  out.vacant = loaded_ && ledger_cache_.leader().empty() &&
               now - state_ok_at_ < 2 * config_.follower_watch_s + 1;
  out.types_known = !ledger_cache_.types().empty() || !types_.empty();
  return out;
}

// Does nothing before it is time to. The outcome is applied under mutex_.
void Controller::renew_lease(Leadership& leadership, uint64_t lease) {
  const double sent = steady_now();
  if (sent < leadership.next_renewal) return;
  const auto outcome = leadership.client.renew(lease);
  std::lock_guard lock(mutex_);
  on_renewal(outcome, sent);
  leadership.next_renewal = sent + config_.lease_ttl_s / 3;
}

void Controller::on_renewal(state::Client::Renewal outcome, double sent) {
  const double now = steady_now();
  notice_stall(now);
  lease_clock_.asked(sent);
  if (!leads()) return;
  if (outcome == state::Client::Renewal::kept) {
    lease_clock_.kept(sent);
    cancellation_staleness_.proven(sent);
    if (role_ == Role::unconfirmed) set_role(Role::leading, "the lease is renewed");
  } else if (outcome == state::Client::Renewal::ended) {
    step_down(Role::follower, "the lease ended");
  } else if (!lease_clock_.runs(now, config_.lease_ttl_s)) {
    if (role_ == Role::leading) set_role(Role::unconfirmed, "the lease could not be renewed");
    if (now - lease_clock_.kept_at() > kMaxUnconfirmed)
      step_down(Role::follower, "in doubt for too long");
  }
}

// Waits a little, so that not all try at once, and campaigns if still nobody leads. `lease`: the
// one that we knew of before.
void Controller::run_for_leader(Leadership& leadership, uint64_t lease) {
  double wait = 0;
  {
    std::lock_guard lock(mutex_);  // random_ serves the users' requests too
    wait = leadership.jitter(random_);
  }
  std::this_thread::sleep_for(std::chrono::duration<double>(wait));
  bool still_vacant = false;
  {
    std::lock_guard lock(mutex_);
    still_vacant = role_ == Role::follower && ledger_cache_.leader().empty();
    if (still_vacant) set_role(Role::campaigning, "nobody leads");
  }
  if (still_vacant && !campaign(leadership.client)) {
    std::lock_guard lock(mutex_);
    if (role_ == Role::campaigning) set_role(Role::follower, "not elected");
    if (lease_ != lease) leadership.held = true;
  }
  leadership.next_renewal = 0;
}

// When the process ends: others need not wait for the lease's end.
void Controller::resign(Leadership& leadership) {
  std::unique_lock lock(mutex_);
  const uint64_t lease = lease_;
  const bool mine = leads();
  if (mine) step_down(Role::follower, "stopping");
  lock.unlock();
  if (mine) leadership.client.drop(lease);
}

// ---------------------------------------------------------------- the scheduler's threads

// One clear warning for each limit that does not carry the fleet. Reads a file: mutex_ isn't held.
void Controller::check_limits(size_t machines) {
  const size_t room = connections_from_outside(config_);
  if (machines > room && !std::exchange(warned_sockets_, true))
    spdlog::warn("max_sockets leaves {} connections for workers and users, fewer than {} machines",
                 room, machines);
  std::ifstream statm("/proc/self/statm");
  double pages = 0, resident = 0;
  if (!(statm >> pages >> resident)) return;
  const double mb = resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
  if (config_.memory_mb > 0 && mb > 0.8 * config_.memory_mb && !std::exchange(warned_memory_, true))
    spdlog::warn("{:.0f} MB of the {:.0f} MB that the settings allow are in use", mb,
                 config_.memory_mb);
}

void Controller::scheduling_loop() {
  std::unique_lock lock(mutex_);
  double next_summary = 0, last_round = 0;
  std::optional<size_t> machines_to_check;
  while (!stop_) {
    // Nothing that is notified meanwhile is lost: what there is to do is looked at only after it.
    if (machines_to_check) {
      lock.unlock();
      check_limits(*machines_to_check);
      lock.lock();
      machines_to_check.reset();
    }
    double interval = 0.5;
    if (const double gap = last_round + kMinRoundGap - steady_now(); gap > 0) {
      lock.unlock();
      std::this_thread::sleep_for(std::chrono::duration<double>(gap));
      lock.lock();
      continue;
    }
    if (may_decide(steady_now())) {
      const double now = steady_now();
      if (scheduler_->has_lost_leadership()) {
        step_down(Role::follower, "the core lost its claim");
      } else if (scheduler_->receives_no_heartbeats(now)) {
        // Cut from the workers while the state service still answers: they can only be reached
        // by another node. Their machines are not returned for our own deafness.
        step_down(Role::cooldown, "no worker reaches us");
      } else {
        scheduler_->round(now);
        last_round = now;
        const double took = steady_now() - now;
        // Under load rounds come more seldom and each takes more at once.
        interval = std::clamp(12 * took, config_.scheduler.tuning.round_s,
                              config_.scheduler.tuning.round_max_s);
        commit_cv_.notify_all();
        cloud_cv_.notify_all();
        direct_cv_.notify_one();
        if (now >= next_summary) {
          next_summary = now + 10;
          const auto s = scheduler_->summary(now);
          spdlog::info(
              "jobs {} waiting {} live {}; machines ready {} booting {} draining {} "
              "silent {}, target {}",
              s.jobs, s.waiting, s.live, s.ready, s.booting, s.draining, s.silent, s.target);
          machines_to_check = s.ready + s.booting + s.draining;
        }
      }
    } else if (role_ == Role::unconfirmed && scheduler_ && scheduler_->has_lost_leadership()) {
      step_down(Role::follower, "the core lost its claim");
    } else if (is_unconfirmed_leader(steady_now())) {
      scheduler_->release_cancelled_work(steady_now());
      cloud_cv_.notify_all();
    }
    wait_for(lock, scheduling_cv_, interval);
  }
}

void Controller::commit_loop() {
  state::Client client(config_.state, state_limiters_);
  std::unique_lock lock(mutex_);
  while (!stop_) {
    std::optional<PendingTransaction> p;
    // The transaction is made up only when it can go out: what comes meanwhile rides along.
    if (const double wait = state_limiters_.writes.wait_for(1); wait > 0.002) {
      wait_for(lock, commit_cv_, wait);
      continue;
    }
    if (may_decide(steady_now()))
      p = scheduler_->next_transaction(steady_now(),
                                       static_cast<size_t>(state_limiters_.writes.there()));
    if (!p) {
      wait_for(lock, commit_cv_, 0.5);
      continue;
    }
    const uint64_t fencing_token = fencing_token_;
    lock.unlock();
    const ledger::Result r =
        p->repeat ? client.commit_repeated(p->txn, 2.0) : client.commit(p->txn, 2.0);
    lock.lock();
    if (r.outcome == ledger::Outcome::applied) state_ok_at_ = steady_now();
    if (scheduler_ && fencing_token_ == fencing_token) {
      scheduler_->on_result(p->id, r, steady_now());
      if (scheduler_->uses_lowered_limits() && !sizes_lowered_) {
        sizes_lowered_ = true;
        mesh_cv_.notify_all();  // the siblings are to know it too
      }
    }
    direct_cv_.notify_one();
    if (r.outcome == ledger::Outcome::refused || r.outcome == ledger::Outcome::unknown)
      wait_for(lock, commit_cv_, 0.1);
  }
}

void Controller::direct_loop() {
  std::unique_lock lock(mutex_);
  while (!stop_) {
    std::optional<DirectCommand> d;
    if (may_decide(steady_now())) d = scheduler_->next_direct_command(steady_now());
    if (!d) {
      wait_for(lock, direct_cv_, 1.0);
      continue;
    }
    const uint64_t fencing_token = fencing_token_;
    lock.unlock();
    const size_t colon = d->addr.rfind(':');
    bool answered = false;
    std::optional<Heartbeat> report;
    int port = 0;
    if (colon != std::string::npos) port = std::atoi(d->addr.c_str() + colon + 1);
    if (port > 0) {
      httplib::Client http(d->addr.substr(0, colon), port);
      http.set_tcp_nodelay(true);
      http.set_connection_timeout(0, 500'000);
      http.set_read_timeout(1, 0);
      http.set_write_timeout(1, 0);
      const std::string body = wire::pack(wire::direct(fencing_token, *d));
      if (!lease_still_confirmed(fencing_token)) {  // we stood still, or stepped down
        lock.lock();
        if (scheduler_ && fencing_token_ == fencing_token)
          scheduler_->on_direct_command_result(*d, true, std::nullopt, steady_now());
        continue;
      }
      const auto r = http.Post(wire::kDirect, body, "application/msgpack");
      if (r) {
        // 409 and 400: nothing was executed, and nothing will be.
        answered = r->status == 200 || r->status == 409 || r->status == 400;
        if (const auto body = wire::unpack(r->body)) report = wire::parse_heartbeat(*body);
      } else {
        // A connection that was given up does not complete afterwards: nothing was sent.
        answered = r.error() == httplib::Error::Connection ||
                   r.error() == httplib::Error::ConnectionTimeout;
        spdlog::debug("direct orders to {}: {}", d->addr, httplib::to_string(r.error()));
      }
    } else {
      answered = true;  // no address to send to
    }
    lock.lock();
    if (scheduler_ && fencing_token_ == fencing_token) {
      scheduler_->on_direct_command_result(*d, answered, report, steady_now());
      if (scheduler_->needs_round()) scheduling_cv_.notify_one();
    }
  }
}

void Controller::cloud_loop() {
  cloud::Client client(config_.cloud, cloud_limiter_);
  state::Client state(config_.state, state_limiters_);
  double next_list = 0, next_types = 0;
  const double list_every = std::max(2.0, config_.scheduler.list_lag_s * 0.7);
  std::unique_lock lock(mutex_);
  while (!stop_) {
    const double now = steady_now();
    const bool lead = may_decide(now);
    const uint64_t fencing_token = fencing_token_;
    const auto may_send = [this, fencing_token] { return lease_still_confirmed(fencing_token); };
    const bool want_types = (ledger_cache_.types().empty() && types_.empty()) || lead;
    if (want_types && now >= next_types) {
      const bool have = !ledger_cache_.types().empty();
      lock.unlock();
      auto types = client.types();
      lock.lock();
      next_types = steady_now() + (types ? 20 : 0.7);
      if (types) {
        if (scheduler_ && fencing_token_ == fencing_token) scheduler_->set_prices(*types);
        types_ = *types;
        election_cv_.notify_all();
        if (lead && !have && fencing_token_ == fencing_token) {
          ledger::Transaction t;
          t.conditions = {{ledger::kLeaderKey, fencing_token}, {ledger::kTypesKey, 0}};
          t.changes = {{ledger::kTypesKey, false, ledger::encode_types(*types), 0}};
          lock.unlock();
          state.commit(t, 1.0);  // absent: whoever leads next writes it
          lock.lock();
        }
      }
      continue;
    }
    const bool doubtful = !lead && is_unconfirmed_leader(now);
    if (!lead && !doubtful) {
      wait_for(lock, cloud_cv_, 0.7);
      continue;
    }
    if (auto names = scheduler_->next_return(now, doubtful); !names.empty()) {
      lock.unlock();
      const CloudOutcome o = client.return_machines(names, may_send);
      lock.lock();
      if (scheduler_ && fencing_token_ == fencing_token)
        scheduler_->on_return(names, o, steady_now());
      commit_cv_.notify_all();
      continue;
    }
    if (doubtful) {
      wait_for(lock, cloud_cv_, 0.7);
      continue;
    }
    if (auto h = scheduler_->next_rental_request(now)) {
      lock.unlock();
      const auto got = client.rent(*h, may_send);
      lock.lock();
      if (scheduler_ && fencing_token_ == fencing_token)
        scheduler_->on_rental_result(*h, got.outcome, got.machines, steady_now());
      continue;
    }
    if (now >= next_list) {
      lock.unlock();
      const double asked = steady_now();
      const auto list = client.list();
      lock.lock();
      next_list = steady_now() + list_every;
      if (list && scheduler_ && fencing_token_ == fencing_token)
        scheduler_->on_machine_list(*list, asked, steady_now());
      continue;
    }
    wait_for(lock, cloud_cv_, std::min(0.5, std::max(0.05, next_list - now)));
  }
}

// ---------------------------------------------------------------- siblings

uint64_t Controller::known_token() const {
  return std::max({highest_token_, fencing_token_,
                   ledger_cache_.leader().empty() ? 0 : ledger_cache_.leader_version()});
}

mesh::View Controller::view() {
  std::lock_guard lock(mutex_);
  mesh::View v;
  v.label = config_.scheduler.label;
  v.incarnation = incarnation_;
  v.read_to = cancellation_gate_.leader_read_to();
  v.state_ok = steady_now() - state_ok_at_ < kStateFresh;
  v.writes = write_share_.own_demand();
  v.rate_lowered = state_limiters_.sees_lowered_write_rate();
  v.sizes_lowered = sizes_lowered_;
  v.fencing_token = known_token();
  v.leader = highest_leader_;
  return v;
}

void Controller::on_peer_view(const mesh::View& v) {
  std::lock_guard lock(mutex_);
  siblings_at_ = steady_now();
  if (v.state_ok) siblings_ok_at_ = steady_now();
  if (!v.images.is_null() && v.fencing_token >= image_locations_token_) {
    image_locations_ = v.images;
    image_locations_token_ = v.fencing_token;
  }
  write_share_.record_sibling(v.label, v.writes, steady_now());
  if (v.rate_lowered) state_limiters_.on_sibling_refused();
  if (v.sizes_lowered) lower_sizes();
  // Together with the token below: who relies on a leader's word knows of that leader.
  cancellation_gate_.leader_has_read(v.read_to);
  if (v.fencing_token <= highest_token_) return;
  highest_token_ = v.fencing_token;
  highest_leader_ = v.leader;
  // Invariant 2: a leader cut from the state service alone learns here that others elected.
  if (leads() && v.fencing_token > fencing_token_)
    step_down(Role::follower, v.label + " knows token " + std::to_string(v.fencing_token));
}

void Controller::mesh_loop() {
  std::vector<std::unique_ptr<mesh::Peer>> peers;
  for (const Sibling& s : config_.siblings) peers.push_back(std::make_unique<mesh::Peer>(s));
  double next_hints = 0;
  while (!stop_) {
    nlohmann::json images;
    {
      std::lock_guard lock(mutex_);
      const double now = steady_now();
      if (role_ == Role::leading && scheduler_ && now >= next_hints) {
        next_hints = now + kHintsEvery;
        images = scheduler_->image_locations();
      }
      const double asked = state_limiters_.writes.asked();
      const double backlog = scheduler_ && leads() ? static_cast<double>(scheduler_->unsent()) : 0;
      write_share_.record_own(asked, backlog, now);
      share_writes();
    }
    for (auto& p : peers) {
      if (stop_) return;
      mesh::View ours = view();
      ours.images = images;
      const double sent = steady_now();
      if (auto v = p->exchange(ours)) {
        on_peer_view(*v);
        std::lock_guard lock(mutex_);
        cancellation_staleness_.on_sibling_answer(p->label(), v->incarnation, v->fencing_token,
                                                  fencing_token_, sent, steady_now());
      }
    }
    std::unique_lock lock(mutex_);
    wait_for(lock, mesh_cv_, 1.0);
  }
}

// ---------------------------------------------------------------- cancellations

// A leader that has no proof of having heard all cancellations lets its workers go before any lease
// that it renewed could outlast cancel_s (leadership/cancellations.h).
bool Controller::knows_cancellations(double now) {
  return now - cancellation_staleness_.at() <=
         staleness_limit(config_.scheduler.cancel_s, config_.scheduler.lease_s);
}

// Whether a sibling that cannot be told may wait to hear how far we have read.
bool Controller::must_publish() const {
  if (role_ != Role::leading || ledger_cache_.last_cancelled() <= ledger_cache_.read_to())
    return false;
  const double now = steady_now();
  if (now - published_at_ < kPublishEvery) return false;
  return write_share_.reachable_siblings(now) < config_.nodes - 1;
}

// Through the ledger, where siblings cannot be told.
void Controller::publish_read_to(std::unique_lock<std::mutex>& lock, state::Client& client) {
  published_at_ = steady_now();
  ledger::Transaction t;
  t.transaction_id = next_transaction_id();
  t.conditions = {{ledger::kLeaderKey, fencing_token_}};
  t.changes = {{ledger::kReadToKey, false, cancellation_gate_.leader_read_to(), 0}};
  lock.unlock();
  client.commit(t, 0.5);  // refused, or without an answer: the next one tells more
  lock.lock();
}

void Controller::cancellation_loop() {
  state::Client state(config_.state, state_limiters_, 0.8);
  std::map<std::string, std::unique_ptr<mesh::Peer>> peers;
  for (const Sibling& s : config_.siblings) peers[s.label] = std::make_unique<mesh::Peer>(s);
  std::unique_lock lock(mutex_);
  while (!stop_) {
    if (must_publish() && may_decide(steady_now())) publish_read_to(lock, state);
    mesh::Cancelled c;
    const std::string leader = ledger_cache_.leader();
    auto peer = peers.find(leader);
    if (!leader.empty()) c.fencing_token = ledger_cache_.leader_version();
    for (const CancellationGate::Pending& p : cancellation_gate_.pending()) {
      if (c.rows.size() >= kMaxCancellationsPerMessage) break;
      const CachedJob* j = ledger_cache_.job(p.job);
      // Whom to ask follows from a ledger that has the row: an older one may name a leader that
      // was over when it was written.
      const bool placed = p.leader > 0 ? p.leader <= c.fencing_token : j && revision_ >= j->version;
      if (!j || !placed || peer == peers.end()) {
        cancellation_gate_.set_tried(p.job);
        continue;
      }
      c.rows.push_back({p.job, ledger::encode(j->row), j->version});
    }
    if (c.rows.empty()) {
      cancellation_gate_.wake_waiting();
      cancellation_gate_.wait_for_pending(lock, kPublishEvery);
      continue;
    }
    lock.unlock();
    const auto fencing_token = peer->second->send_cancellations(c);
    lock.lock();
    // An older leader's word counts for nothing; a newer one has loaded what was written before.
    const bool acknowledged = fencing_token && *fencing_token >= c.fencing_token;
    if (acknowledged)
      highest_token_ = std::max(highest_token_, *fencing_token);
    else
      spdlog::info("cancellations of {} jobs: {} has not taken them up", c.rows.size(), leader);
    for (const mesh::Cancelled::Row& r : c.rows) {
      if (acknowledged) cancellation_gate_.acknowledge(r.job, r.version);
      cancellation_gate_.set_tried(r.job);
    }
    cancellation_gate_.wake_waiting();
  }
}

// Rows of cancelled jobs as a sibling tells them. Answers with the token under which their tasks
// will be stopped, 0 if that cannot be promised.
uint64_t Controller::on_cancellations(const mesh::Cancelled& c) {
  std::lock_guard lock(mutex_);
  if (leads() && c.fencing_token > fencing_token_)
    step_down(Role::follower, "a sibling knows a newer leader");
  if (!leads() || !scheduler_ || scheduler_->has_lost_leadership() ||
      !lease_confirmed(steady_now()))
    return 0;
  for (const mesh::Cancelled::Row& r : c.rows) {
    const auto row = ledger::decode_job(r.job, r.value);
    if (!row || row->status != ledger::JobStatus::cancelled) return 0;
    apply({ledger::job_key(r.job), r.value, r.version, false});
  }
  return fencing_token_;
}

}  // namespace rookdyke
