#pragma once
// A bounded pool of connections to the state service, shared by the threads that serve users'
// requests. A state::Client is for one thread at a time; the pool lends each to one borrower.

#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

#include "config/config.h"
#include "state/client.h"

namespace rookdyke::state {

// Opens connections as they are needed, `max_connections` at most, and keeps them for the next
// borrower. Thread-safe: the pool has a mutex of its own; while holding it, it takes no other and
// sends nothing.
class ConnectionPool {
 public:
  // A borrowed connection, returned to the pool by the destructor. Empty if none became free in
  // time. For one thread; must not outlive its pool.
  class Connection {
   public:
    // Waits `timeout_s` at most while all connections are borrowed.
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

  // `limiters` must outlive the pool; all its connections share them.
  ConnectionPool(Endpoint state, RateLimiters& limiters, size_t max_connections);

 private:
  // An idle connection, or a new one; at the limit it waits for one to be released. Null: none was
  // in time.
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
