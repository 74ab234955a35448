#include "state/connection_pool.h"

#include <chrono>
#include <utility>

namespace rookdyke::state {

ConnectionPool::Connection::Connection(ConnectionPool& pool, double timeout_s)
    : pool_(pool), client_(pool.acquire(timeout_s)) {}

ConnectionPool::Connection::~Connection() {
  if (client_) pool_.release(std::move(client_));
}

ConnectionPool::ConnectionPool(Endpoint endpoint, RateLimiters& limiters, size_t max_connections)
    : endpoint_(std::move(endpoint)), limiters_(limiters), max_connections_(max_connections) {}

std::unique_ptr<Client> ConnectionPool::acquire(double timeout_s) {
  std::unique_lock lock(mutex_);
  if (idle_clients_.empty() && open_count_ < max_connections_) {
    ++open_count_;
    return std::make_unique<Client>(endpoint_, limiters_);
  }
  client_released_.wait_for(lock, std::chrono::duration<double>(timeout_s),
                            [&] { return !idle_clients_.empty(); });
  if (idle_clients_.empty()) return nullptr;
  std::unique_ptr<Client> client = std::move(idle_clients_.back());
  idle_clients_.pop_back();
  return client;
}

void ConnectionPool::release(std::unique_ptr<Client> client) {
  std::lock_guard lock(mutex_);
  idle_clients_.push_back(std::move(client));
  client_released_.notify_one();
}

}  // namespace rookdyke::state
