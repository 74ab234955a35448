#include "state/connection_pool.h"

#include <chrono>
#include <utility>

namespace rookdyke::state {

ConnectionPool::Connection::Connection(ConnectionPool& pool, double timeout_s)
    : pool_(pool), client_(pool.acquire(timeout_s)) {}

ConnectionPool::Connection::~Connection() {
  if (client_) pool_.release(std::move(client_));
}

ConnectionPool::ConnectionPool(Endpoint state, RateLimiters& limiters, size_t max_connections)
    : state_(std::move(state)), limiters_(limiters), max_connections_(max_connections) {}

std::unique_ptr<Client> ConnectionPool::acquire(double timeout_s) {
  std::unique_lock lock(mutex_);
  if (idle_.empty() && opened_ < max_connections_) {
    ++opened_;
    return std::make_unique<Client>(state_, limiters_);
  }
  released_.wait_for(lock, std::chrono::duration<double>(timeout_s),
                     [&] { return !idle_.empty(); });
  if (idle_.empty()) return nullptr;
  std::unique_ptr<Client> client = std::move(idle_.back());
  idle_.pop_back();
  return client;
}

void ConnectionPool::release(std::unique_ptr<Client> client) {
  std::lock_guard lock(mutex_);
  idle_.push_back(std::move(client));
  released_.notify_one();
}

}  // namespace rookdyke::state
