#pragma once
// A bounded pool of connections to the state service, shared by the threads that serve user
// requests. Each connection is lent to one thread at a time, since state::Client is not
// thread-safe.

#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

#include "config/config.h"
#include "state/client.h"

namespace rookdyke::state {

// Opens up to `max_connections` connections on demand and keeps them open for reuse. Thread-safe:
// the pool acquires no other mutex and does no network I/O while it holds its own.
class ConnectionPool {
 public:
  // A borrowed connection, returned to the pool by the destructor. Empty if no connection became
  // available before the timeout. Not thread-safe; must not outlive its pool.
  class Connection {
   public:
    // Waits up to `timeout_s` if all connections are borrowed.
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

  // All connections share `limiters`, which must outlive the pool.
  ConnectionPool(Endpoint endpoint, RateLimiters& limiters, size_t max_connections);

 private:
  // Returns an idle connection, or a new one if there is none. If `max_connections` are open, waits
  // for one to be released; returns null on timeout.
  std::unique_ptr<Client> acquire(double timeout_s);
  void release(std::unique_ptr<Client> client);

  const Endpoint endpoint_;
  RateLimiters& limiters_;
  const size_t max_connections_;
  std::mutex mutex_;  // guards the members below
  std::condition_variable client_released_;
  std::vector<std::unique_ptr<Client>> idle_clients_;
  size_t open_count_ = 0;
};

}  // namespace rookdyke::state
