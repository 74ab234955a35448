#pragma once
// One controller: threads and blocking sockets around the pure core.
//
//   watcher   follows the ledger and gives read barriers
//   leader    the leader key: campaigns, renews, steps down
//   engine    rounds of the scheduler while leading
//   committer transactions of the scheduler
//   direct    commands that do not wait for a worker's next report
//   cloud     rentals, returns, lists, machine types
//   mesh      exchanges views with siblings
//   teller    tells the leader of cancellations before their users hear of them
//   stall     notices that the process stood still
//   api       a thread per connection of users, workers, health checks
//
// One mutex guards the scheduler, the ledger cache and the role; nothing blocks while holding it.

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "api/user_api.h"
#include "cloud/client.h"
#include "config/config.h"
#include "daemon/cancellation_gate.h"
#include "daemon/read_barrier.h"
#include "leadership/cancellations.h"
#include "leadership/lease_clock.h"
#include "ledger/ledger_cache.h"
#include "mesh/mesh.h"
#include "net/server.h"
#include "net/write_share.h"
#include "scheduler/scheduler.h"
#include "state/client.h"
#include "state/connection_pool.h"

namespace rookdyke {

// follower -> campaigning -> leading <-> doubtful -> resting -> follower
//   leading   holds the leader key as far as it can know
//   doubtful  could not renew for a lease's time: answers reports with its token, decides nothing
//   resting   gave the key up because no worker reached it: leaves the next election to the others
enum class Role : uint8_t { follower, campaigning, leading, unconfirmed, cooldown };
std::string_view to_string(Role r);

class Controller : private JobLedger {
 public:
  explicit Controller(Config config);
  ~Controller() override;
  bool start();
  void stop();
  int port() const { return api_->port(); }
  Role role() const;

 private:
  // -- node_http.cpp: JobLedger, for the users' requests
  bool wait_for_barrier(double timeout_s) override;
  void read(const std::function<void(const LedgerCache&)>& look) const override;
  std::vector<MachineType> machine_types() const override;
  std::string new_transaction_id() override;
  std::optional<ledger::Result> commit(const ledger::Transaction& t, double deadline) override;
  void apply_committed(const wire::Row& row) override;
  bool may_confirm_cancelled(const std::string& id, double deadline, uint64_t leader) override;
  bool siblings_are_served() const override;
  // -- node_http.cpp: other requests
  void serve(const httplib::Request& req, httplib::Response& res);
  void report(const httplib::Request& req, httplib::Response& res);
  void health(httplib::Response& res);
  void serve_mesh(const httplib::Request& req, httplib::Response& res);

  // -- node.cpp
  uint64_t on_cancellations(const mesh::Cancelled& c);
  struct Watcher;
  void watch_loop();
  void wait_for_next_read(const Watcher& watcher);
  bool read_rows_if_needed(Watcher& watcher);
  bool reload(state::Client& client);
  void apply_changes(const wire::Rows& changes, double sent);
  void apply(const wire::Row& row);  // under mutex_
  struct Leadership;
  struct LeadershipView;
  void election_loop();
  LeadershipView view_leadership();
  void renew_lease(Leadership& leadership, uint64_t lease);
  void on_renewal(state::Client::Renewal outcome, double sent);  // under mutex_
  void run_for_leader(Leadership& leadership, uint64_t lease);
  void resign(Leadership& leadership);
  bool campaign(state::Client& client);
  void step_down(Role to, const std::string& why);  // under mutex_
  void set_role(Role to, const std::string& why);   // under mutex_; the only place that changes it
  void scheduling_loop();
  void commit_loop();
  void cloud_loop();
  void direct_loop();
  void mesh_loop();
  void cancellation_loop();
  bool must_publish() const;  // under mutex_
  void publish_read_to(std::unique_lock<std::mutex>& lock, state::Client& client);
  void on_peer_view(const mesh::View& v);
  void check_limits(size_t machines);  // engine's alone, without mutex_
  void share_writes();                 // under mutex_: by demand, as far as it is known
  void lower_sizes();                  // under mutex_: the state service takes less at once
  bool is_isolated(double now) const;  // no sibling answers, nor does the state service
  std::string next_transaction_id();   // under mutex_
  mesh::View view();
  bool leads() const { return role_ == Role::leading || role_ == Role::unconfirmed; }
  uint64_t known_token() const;          // under mutex_: the highest known of
  bool knows_cancellations(double now);  // under mutex_: may keep workers' leases alive
  // -- standing still: a process may stop in any line while its clocks run on. Nothing that was
  // read, decided or queued before counts until the lease has been asked for again.
  void stall_check_loop();
  void notice_stall(double now);           // under mutex_: finds out that this process stood still
  bool lease_confirmed(double now);        // under mutex_: the lease was looked at since
  bool may_decide(double now);             // under mutex_: leads without doubt, and may decide
  bool is_unconfirmed_leader(double now);  // under mutex_: may still have cancelled work stopped
  bool lease_still_confirmed(
      uint64_t fencing_token);  // takes mutex_: right before something is sent
  void wait_for(std::unique_lock<std::mutex>& lock, std::condition_variable& cv, double s);

  Config config_;
  mutable std::mutex mutex_;
  std::condition_variable commit_cv_, cloud_cv_, direct_cv_, scheduling_cv_, election_cv_, mesh_cv_;
  std::atomic<bool> stop_{false};

  LedgerCache ledger_cache_;
  Role role_ = Role::follower;
  std::unique_ptr<Scheduler> scheduler_;
  uint64_t fencing_token_ = 0, lease_ = 0;
  double cooldown_until_ = 0;
  bool warned_sockets_ = false, warned_memory_ = false;  // engine's own
  LeaseClock lease_clock_;                               // of our lease, and of standing still
  std::vector<MachineType> types_;  // as the cloud tells, until the ledger has them
  uint64_t highest_token_ = 0;      // heard of from anybody
  std::string highest_leader_;

  // -- cancellations (leadership/cancellations.h)
  CancellationGate cancellation_gate_;  // under mutex_
  CancellationStaleness cancellation_staleness_;
  double published_at_ = -1e9;

  ReadBarrier read_barrier_;  // locks for itself; never waited at while mutex_ is held
  uint64_t revision_ = 0;     // the ledger cache holds all up to here (watcher's own)
  std::atomic<bool> loaded_{false};
  std::atomic<double> state_ok_at_{-1e9};
  std::atomic<double> siblings_at_{-1e9};     // a sibling was last heard
  std::atomic<double> siblings_ok_at_{-1e9};  // a sibling last said that the state answers it

  state::RateLimiters state_limiters_;
  net::RateLimiter cloud_limiter_;
  state::ConnectionPool state_connections_;  // for the users' requests

  UserApi user_api_;
  std::unique_ptr<net::Server> api_, mesh_;
  std::vector<std::thread> threads_;
  std::mt19937 random_;
  // Names this process among all that ever had its label: marks of a predecessor are never ours.
  std::string incarnation_;
  uint64_t transaction_count_ = 0;
  nlohmann::json image_locations_;      // the latest that a leader told
  uint64_t image_locations_token_ = 0;  // which one
  net::WriteShare write_share_;         // under mutex_
  bool sizes_lowered_ = false;          // under mutex_
};

}  // namespace rookdyke
