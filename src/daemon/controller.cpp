#include "daemon/controller.h"

#include <spdlog/spdlog.h>

#include <optional>
#include <string>
#include <utility>

#include "net/steady_clock.h"
#include "wire/wire.h"

namespace rookdyke {

namespace {

constexpr size_t kServerThreads = 160;  // users' requests block while they wait for the ledger
constexpr size_t kMeshThreads = 8;
constexpr size_t kMaxBodyBytes = size_t{64} * 1024;
constexpr size_t kMaxMeshBodyBytes = size_t{256} * 1024;
constexpr int kDispatcherThreads = 3;
constexpr double kSlowRequestS = 0.2;

std::optional<double> next_write_rps(const Settings& settings) {
  if (!settings.next_limits) return std::nullopt;
  return settings.next_limits->write_rps;
}

// Logs a request that was slow or ended with a 5xx status. Logs in the destructor, when the request
// has been handled.
class SlowRequestLog {
 public:
  SlowRequestLog(const httplib::Request& request, const httplib::Response& response)
      : request_(request), response_(response) {}
  SlowRequestLog(const SlowRequestLog&) = delete;
  SlowRequestLog& operator=(const SlowRequestLog&) = delete;
  ~SlowRequestLog() {
    const double elapsed_s = steady_now() - started_at_;
    if (elapsed_s > kSlowRequestS || response_.status >= 500)
      spdlog::debug("{} {}: {} after {:.0f} ms", request_.method, request_.target, response_.status,
                    1000 * elapsed_s);
  }

 private:
  const httplib::Request& request_;
  const httplib::Response& response_;
  const double started_at_ = steady_now();
};

}  // namespace

Controller::Controller(Config config)
    : config_(std::move(config)),
      state_limiters_(config_.state_rps, config_.write_rps, next_write_rps(config_.scheduler)),
      cloud_limiter_(config_.cloud_rps),
      transaction_ids_(config_.scheduler.label),
      shared_(config_, state_limiters_, cloud_limiter_, reachability_),
      stall_detector_(shared_),
      ledger_watcher_(config_, shared_, state_limiters_, read_barrier_, reachability_),
      leader_election_(config_, shared_, state_limiters_, read_barrier_, reachability_,
                       transaction_ids_),
      scheduling_loop_(config_, shared_),
      transaction_committer_(config_, shared_, state_limiters_, reachability_),
      command_dispatcher_(shared_),
      cloud_reconciler_(config_, shared_, cloud_limiter_, state_limiters_),
      peer_exchange_(config_, shared_, state_limiters_, reachability_, transaction_ids_),
      cancellation_notifier_(config_, shared_, state_limiters_, transaction_ids_),
      replica_ledger_(config_, shared_, state_limiters_, read_barrier_, reachability_,
                      transaction_ids_),
      user_api_(config_.scheduler, replica_ledger_),
      heartbeat_endpoint_(config_, shared_, reachability_),
      health_endpoint_(reachability_),
      mesh_endpoint_(shared_, peer_exchange_) {
  server_ = std::make_unique<net::Server>(
      config_.bind, connections_from_outside(config_), kServerThreads, kMaxBodyBytes,
      [this](const httplib::Request& request, httplib::Response& response) {
        serve(request, response);
      });
  mesh_server_ = std::make_unique<net::Server>(
      config_.mesh, connections_from_peers(config_), kMeshThreads, kMaxMeshBodyBytes,
      [this](const httplib::Request& request, httplib::Response& response) {
        mesh_endpoint_.serve(request, response);
      });
}

Controller::~Controller() { stop(); }

Role Controller::role() const { return shared_.lock()->role(); }

bool Controller::start() {
  shared_.lock()->start(steady_now());
  if (!server_->start() || !mesh_server_->start()) return false;
  threads_.emplace_back([this] { stall_detector_.run(); });
  threads_.emplace_back([this] { ledger_watcher_.run(); });
  threads_.emplace_back([this] { leader_election_.run(); });
  threads_.emplace_back([this] { scheduling_loop_.run(); });
  threads_.emplace_back([this] { transaction_committer_.run(); });
  threads_.emplace_back([this] { cloud_reconciler_.run(); });
  threads_.emplace_back([this] { peer_exchange_.run(); });
  threads_.emplace_back([this] { cancellation_notifier_.run(); });
  for (int i = 0; i < kDispatcherThreads; ++i)
    threads_.emplace_back([this] { command_dispatcher_.run(); });
  return true;
}

void Controller::stop() {
  if (!shared_.stop()) return;
  read_barrier_.stop();
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
  server_->halt();
  mesh_server_->halt();
}

void Controller::serve(const httplib::Request& request, httplib::Response& response) {
  const SlowRequestLog log(request, response);
  route(request, response);
}

void Controller::route(const httplib::Request& request, httplib::Response& response) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == wire::kHeartbeatPath && request.method == "POST")
    heartbeat_endpoint_.serve(request, response);
  else if (path == wire::kHealthPath && request.method == "GET")
    health_endpoint_.serve(response);
  else
    user_api_.serve(request, response);
}

}  // namespace rookdyke
