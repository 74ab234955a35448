#pragma once
// HTTP server: cpp-httplib's server, adapted to about a thousand keep-alive connections on a small
// machine. One epoll thread watches all idle connections, since a thread for each took 45 KB; a
// connection uses a thread of a bounded pool only while a request is served. A request usually
// takes one recv and a response one send. The listen backlog is long, since all workers may
// reconnect at the same time. The controller owns two servers: one for users and workers, one for
// peer controllers.

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

// A pool of up to `max_threads` threads. Threads are started on demand, reused, and end after an
// idle timeout. Work is queued while all threads are busy. Thread-safe.
class ThreadPool : public httplib::TaskQueue {
 public:
  explicit ThreadPool(size_t max_threads) : max_threads_(max_threads) {}
  ~ThreadPool() override = default;
  void enqueue(std::function<void()> fn) override;
  void shutdown() override;

 private:
  void run();  // main function of each thread
  const size_t max_threads_;
  std::mutex mutex_;
  std::condition_variable work_available_;
  std::condition_variable thread_ended_;
  std::deque<std::function<void()>> queue_;
  size_t thread_count_ = 0;
  size_t idle_threads_ = 0;
  bool stop_ = false;
};

class ConnectionStream;

// start() and halt() are to be called by the owner's thread; handlers run concurrently on the
// threads of the pool.
class Server : public httplib::Server {
 public:
  // Handles all requests. Request::target holds the path as it was sent, not decoded.
  using RequestHandler = std::function<void(const httplib::Request&, httplib::Response&)>;

  Server(Endpoint address, size_t max_connections, size_t max_threads, size_t max_body,
         const RequestHandler& handle);
  ~Server() override;
  // Binds the address and starts the threads that listen and serve. Returns false if the address
  // cannot be bound.
  bool start();
  // Stops serving and waits for the threads to end. Also called by the destructor.
  void halt();
  int port() const { return address_.port; }
  // To be called by a handler to have the connection closed after the response.
  static void close_after_response();

 private:
  using Time = std::chrono::steady_clock::time_point;
  struct Connection {
    std::shared_ptr<ConnectionStream> stream;
    Time idle_since;
  };
  bool process_and_close_socket(socket_t sock) override;
  // Serves a request whose first bytes arrived at `readable_since`. `peer_closed` tells that the
  // client has already closed the connection.
  void serve(std::shared_ptr<ConnectionStream> stream, bool peer_closed, Time readable_since);
  // Adds the connection to the idle ones, which epoll watches until the next request arrives.
  void watch(std::shared_ptr<ConnectionStream> stream);
  // Main function of the epoll thread.
  void watch_idle_connections();
  void dispatch(const epoll_event& event);
  void close_expired(Time now);
  void close_longest_idle();
  void close(const std::shared_ptr<ConnectionStream>& stream);

  Endpoint address_;
  size_t max_connections_;
  size_t max_threads_;
  ThreadPool* thread_pool_ = nullptr;  // owned by the library's listening loop
  std::thread listener_thread_;
  std::thread watcher_thread_;
  std::mutex mutex_;
  // By file descriptor; watched by epoll_fd_, guarded by mutex_.
  std::unordered_map<int, Connection> idle_connections_;
  std::atomic<size_t> open_connections_{0};
  std::atomic<bool> halting_{false};
  int epoll_fd_ = -1;
  int wake_fd_ = -1;  // eventfd that wakes the epoll thread when the server halts
};

// Starts a detached thread with the given stack size, which std::thread does not support. Throws
// std::system_error if the thread cannot be created.
void start_thread(std::function<void()> fn, size_t stack_bytes);

}  // namespace rookdyke::net
