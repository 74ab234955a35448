#pragma once
// cpp-httplib's server, fitted to small machines with a thousand kept-open connections: these wait
// together in one thread (a thread each took 45 KB, and memory for twice as many is needed while
// machines reconnect), and have a thread of a pool only while a request is served. Requests are
// read and answered with as few system calls as can be, and the listen backlog is deep.

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>

#include "config/config.h"

namespace rookdyke::net {

// Threads up to `most`; idle ones are used again, and end after a while. Beyond that, work queues.
class Threads : public httplib::TaskQueue {
 public:
  explicit Threads(size_t most) : most_(most) {}
  ~Threads() override = default;
  void enqueue(std::function<void()> fn) override;
  void shutdown() override;

 private:
  void run();
  const size_t most_;
  std::mutex mutex_;
  std::condition_variable wake_, ended_;
  std::deque<std::function<void()>> jobs_;
  size_t threads_ = 0, idle_ = 0;
  bool stop_ = false;
};

class ConnectionStream;

class Server : public httplib::Server {
 public:
  // One handler for all; Request::target is the path as sent, undecoded.
  using Handle = std::function<void(const httplib::Request&, httplib::Response&)>;

  Server(Endpoint at, size_t max_connections, size_t max_threads, size_t max_body,
         const Handle& handle);
  ~Server() override;
  // Binds, listens and serves in a thread of its own; false: the address cannot be had.
  bool start();
  void halt();
  int port() const { return at_.port; }
  // For a handler: the connection is closed after this answer.
  static void close_after_answer();

 private:
  using Time = std::chrono::steady_clock::time_point;
  struct Connection {
    std::shared_ptr<ConnectionStream> stream;
    Time idle_since;
  };
  bool process_and_close_socket(socket_t sock) override;
  // One request that has begun to arrive. `left`: its sender has closed the connection already.
  void serve(std::shared_ptr<ConnectionStream> stream, bool left, Time since);
  void keep(std::shared_ptr<ConnectionStream> stream);  // until the next one begins
  void watch_idle();
  void make_way();  // closes the connection that has been idle for longest
  void close(const std::shared_ptr<ConnectionStream>& stream);

  Endpoint at_;
  size_t most_, most_threads_;
  Threads* threads_ = nullptr;  // owned by the listening loop
  std::thread listener_, watcher_;
  std::mutex mutex_;
  std::unordered_map<int, Connection> idle_;  // by file descriptor, watched by epoll_
  std::atomic<size_t> open_{0};
  std::atomic<bool> halting_{false};
  int epoll_ = -1, wake_ = -1;
};

// Starts a thread with a small stack, unlike std::thread.
void start_thread(std::function<void()> fn, size_t stack_bytes);

}  // namespace rookdyke::net
