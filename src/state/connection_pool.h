#pragma once
// A bounded pool of connections to the state service, shared by the threads that serve users'
// requests. A state::Client is for one thread at a time; the pool hands each out to one borrower.

#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

#include "config/config.h"
#include "net/rate_limiter.h"
#include "state/client.h"

namespace rookdyke::state {

// Opens connections as they are needed, `max_connections` at most, and keeps them for the next
// borrower. All functions are thread-safe: the pool has a mutex of its own, under which no other is
// taken and nothing is sent.
class ConnectionPool {
 public:
  // A connection on loan: it goes back to the pool when this object ends. Empty if none became free
  // in time. For one thread; must not outlive its pool.
  class Connection {
   public:
    // Waits `timeout_s` at most while all connections are on loan.
    Connection(ConnectionPool& pool, double timeout_s);
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection();

    Client* operator->() { return client_.get(); }
    explicit operator bool() const { return client_ != nullptr; }

   private:
    ConnectionPool& pool_;
    std::unique_ptr<Client> client_;
  };

  // `budgets` must outlive the pool; every connection pays from them.
  ConnectionPool(Endpoint state, RateLimiters& limiters, size_t max_connections);

 private:
  // A connection that nobody uses, or a new one; at the bound it waits for one to come back. Null:
  // none came.
  std::unique_ptr<Client> acquire(double timeout_s);
  void release(std::unique_ptr<Client> client);

  const Endpoint state_;
  RateLimiters& limiters_;
  const size_t max_connections_;
  std::mutex mutex_;  // guards what follows
  std::condition_variable released_;
  std::vector<std::unique_ptr<Client>> idle_;
  size_t opened_ = 0;
};

}  // namespace rookdyke::state
