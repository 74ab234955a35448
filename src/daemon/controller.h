#pragma once
// One controller process: constructs the components, starts their threads and the HTTP servers, and
// stops them. The components share only SharedState and the thread-safe objects declared before it.
//
//   StallDetector         detects that the process was suspended
//   LedgerWatcher         watches the ledger and completes read barriers
//   LeaderElection        campaigns for the leader key, renews its lease, and resigns
//   SchedulingLoop        runs scheduling rounds while this controller leads
//   TransactionCommitter  commits the scheduler's transactions
//   CommandDispatcher     sends direct commands to workers
//   CloudReconciler       rents, returns and lists machines; reads the machine types
//   PeerExchange          exchanges views with the peer controllers
//   CancellationNotifier  notifies the leader of cancellations before they are confirmed to users
//   HeartbeatEndpoint, HealthEndpoint, MeshEndpoint, UserApi   serve requests on server threads

#include <httplib.h>

#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "api/user_api.h"
#include "config/config.h"
#include "daemon/cancellation_notifier.h"
#include "daemon/cloud_reconciler.h"
#include "daemon/command_dispatcher.h"
#include "daemon/health_endpoint.h"
#include "daemon/heartbeat_endpoint.h"
#include "daemon/leader_election.h"
#include "daemon/ledger_watcher.h"
#include "daemon/mesh_endpoint.h"
#include "daemon/peer_exchange.h"
#include "daemon/reachability.h"
#include "daemon/read_barrier.h"
#include "daemon/replica_ledger.h"
#include "daemon/scheduling_loop.h"
#include "daemon/shared_state.h"
#include "daemon/stall_detector.h"
#include "daemon/transaction_committer.h"
#include "daemon/transaction_ids.h"
#include "leadership/role.h"
#include "net/rate_limiter.h"
#include "net/server.h"
#include "state/client.h"

namespace rookdyke {

class Controller {
 public:
  explicit Controller(Config config);
  // Calls stop().
  ~Controller();
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  // Opens the listening sockets and starts the threads. Must be called once. Returns false if a
  // socket cannot be opened.
  bool start();
  // Joins all threads and closes the servers. Later calls have no effect.
  void stop();
  // The port that serves users and workers. Valid after start().
  int port() const { return server_->port(); }
  Role role() const;

 private:
  void serve(const httplib::Request& request, httplib::Response& response);
  void route(const httplib::Request& request, httplib::Response& response);

  const Config config_;
  state::RateLimiters state_limiters_;
  net::RateLimiter cloud_limiter_;
  Reachability reachability_;
  ReadBarrier read_barrier_;
  TransactionIds transaction_ids_;
  mutable SharedState shared_;  // mutable because reading it takes its lock

  StallDetector stall_detector_;
  LedgerWatcher ledger_watcher_;
  LeaderElection leader_election_;
  SchedulingLoop scheduling_loop_;
  TransactionCommitter transaction_committer_;
  CommandDispatcher command_dispatcher_;
  CloudReconciler cloud_reconciler_;
  PeerExchange peer_exchange_;
  CancellationNotifier cancellation_notifier_;

  ReplicaLedger replica_ledger_;
  UserApi user_api_;
  HeartbeatEndpoint heartbeat_endpoint_;
  HealthEndpoint health_endpoint_;
  MeshEndpoint mesh_endpoint_;

  std::unique_ptr<net::Server> server_, mesh_server_;
  std::vector<std::thread> threads_;
};

}  // namespace rookdyke
