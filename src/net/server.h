#pragma once
// The HTTP server: cpp-httplib's, changed for small machines with a thousand kept-open connections.
// Idle connections are watched together by one epoll thread (a thread each took 45 KB), and take a
// thread of a bounded pool only while a request is served. A request usually takes one recv, an
// answer one send; the listen backlog is deep, since all workers reconnect at the same time. Owned
// by the controller: one server for users and workers, one for peer controllers.

#include <httplib.h>
#include <sys/epoll.h>

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

// A pool of up to max_threads threads. They are started as needed, reused, and end after some time
// without work; when all are busy, work waits in a queue. Thread-safe.
class ThreadPool : public httplib::TaskQueue {
 public:
  explicit ThreadPool(size_t max_threads) : max_threads_(max_threads) {}
  ~ThreadPool() override = default;
  void enqueue(std::function<void()> fn) override;
  void shutdown() override;

 private:
  void run();  // of each thread
  const size_t max_threads_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::condition_variable ended_;
  std::deque<std::function<void()>> queue_;
  size_t threads_ = 0;
  size_t idle_ = 0;
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
  // Binds, listens and serves in threads of its own; false: the address cannot be bound.
  bool start();
  // Stops serving and waits for its threads; also done by the destructor.
  void halt();
  int port() const { return at_.port; }
  // To be called by a handler: the connection is closed after this answer.
  static void close_after_response();

 private:
  using Time = std::chrono::steady_clock::time_point;
  struct Connection {
    std::shared_ptr<ConnectionStream> stream;
    Time idle_since;
  };
  bool process_and_close_socket(socket_t sock) override;
  // Serves a request that has begun to arrive at `readable_since`. `peer_closed`: its sender has
  // closed the connection already.
  void serve(std::shared_ptr<ConnectionStream> stream, bool peer_closed, Time readable_since);
  // Lets epoll watch the connection until the next request begins.
  void watch(std::shared_ptr<ConnectionStream> stream);
  // The epoll thread.
  void watch_idle();
  void dispatch(const epoll_event& event);
  void close_expired(Time now);
  void close_longest_idle();
  void close(const std::shared_ptr<ConnectionStream>& stream);

  Endpoint at_;
  size_t max_connections_;
  size_t max_threads_;
  ThreadPool* thread_pool_ = nullptr;  // owned by the listening loop
  std::thread listener_;
  std::thread watcher_;
  std::mutex mutex_;
  std::unordered_map<int, Connection> idle_;  // by file descriptor, watched by epoll_
  std::atomic<size_t> open_{0};
  std::atomic<bool> halting_{false};
  int epoll_ = -1;
  int wake_ = -1;  // an eventfd that wakes the epoll thread to halt
};

// Starts a detached thread with a stack of that size, which std::thread cannot. Throws
// std::system_error.
void start_thread(std::function<void()> fn, size_t stack_bytes);

}  // namespace rookdyke::net
