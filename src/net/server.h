#pragma once
// cpp-httplib's server, fitted to small machines: a kept-open connection waits in one poll
// instead of many short ones, requests are read and answered with as few system calls as can be,
// threads are bounded, small and reused, and the listen backlog is deep.

#include <httplib.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "config/config.h"

namespace rookdyke::net {

// A thread per connection up to `most`; idle ones are used again. Beyond that, connections queue.
class ConnectionThreads : public httplib::TaskQueue {
 public:
  explicit ConnectionThreads(size_t most) : most_(most) {}
  ~ConnectionThreads() override = default;
  void enqueue(std::function<void()> fn) override;
  void shutdown() override;
  bool crowded() const;

 private:
  void run();
  const size_t most_;
  mutable std::mutex mutex_;
  std::condition_variable wake_, ended_;
  std::deque<std::function<void()>> jobs_;
  size_t threads_ = 0, idle_ = 0;
  bool stop_ = false;
};

class Server : public httplib::Server {
 public:
  // One handler for all; Request::target is the path as sent, undecoded.
  using Handle = std::function<void(const httplib::Request&, httplib::Response&)>;

  Server(Endpoint at, size_t max_connections, size_t max_body, Handle handle);
  ~Server() override;
  // Binds, listens and serves in a thread of its own; false: the address cannot be had.
  bool start();
  void halt();
  int port() const { return at_.port; }

 private:
  bool process_and_close_socket(socket_t sock) override;

  Endpoint at_;
  size_t most_;
  ConnectionThreads* threads_ = nullptr;  // owned by the listening loop
  std::thread listener_;
};

// Starts a thread with a small stack, unlike std::thread.
void start_thread(std::function<void()> fn, size_t stack_bytes);

}  // namespace rookdyke::net
