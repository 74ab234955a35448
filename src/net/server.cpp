#include "net/server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace rookdyke::net {

namespace {

constexpr int kIdleMs = 60'000;  // a silent kept-open connection is closed after this
constexpr int kReadMs = 5'000;   // within a request
constexpr int kWriteMs = 5'000;
constexpr int kBacklog = 512;       // the library's is 5
constexpr size_t kStack = 1 << 20;  // reserved, not used: the library matches headers recursively

bool wait_for(int fd, short events, int ms) {
  pollfd p{fd, events, 0};
  int n = 0;
  do n = ::poll(&p, 1, ms);
  while (n < 0 && errno == EINTR);
  return n > 0;
}

// Buffers both ways: a request is usually one recv, an answer one send.
class ConnectionStream : public httplib::Stream {
 public:
  explicit ConnectionStream(int fd) : fd_(fd) {}

  // Blocks until a request begins; false: closed or idle for too long.
  bool await_request() {
    if (from_ < in_.size()) return true;
    return fill(kIdleMs) > 0;
  }
  bool flush() {
    size_t sent = 0;
    while (sent < out_.size()) {
      const ssize_t n = ::send(fd_, out_.data() + sent, out_.size() - sent, MSG_NOSIGNAL);
      if (n > 0) {
        sent += static_cast<size_t>(n);
      } else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        if (!wait_for(fd_, POLLOUT, kWriteMs)) break;
      } else if (!(n < 0 && errno == EINTR)) {
        break;
      }
    }
    const bool all = sent == out_.size();
    out_.clear();
    return all;
  }

  bool is_readable() const override { return from_ < in_.size() || wait_for(fd_, POLLIN, kReadMs); }
  bool is_writable() const override { return true; }
  ssize_t read(char* ptr, size_t size) override {
    if (from_ >= in_.size()) {
      const ssize_t n = fill(kReadMs);
      if (n <= 0) return n;
    }
    const size_t n = std::min(size, in_.size() - from_);
    std::memcpy(ptr, in_.data() + from_, n);
    from_ += n;
    return static_cast<ssize_t>(n);
  }
  ssize_t write(const char* ptr, size_t size) override {
    out_.append(ptr, size);
    return static_cast<ssize_t>(size);
  }
  void get_remote_ip_and_port(std::string&, int&) const override {}
  void get_local_ip_and_port(std::string&, int&) const override {}
  socket_t socket() const override { return fd_; }

 private:
  ssize_t fill(int ms) {
    if (!wait_for(fd_, POLLIN, ms)) return -1;
    in_.resize(8192);
    from_ = 0;
    ssize_t n = 0;
    do n = ::recv(fd_, in_.data(), in_.size(), 0);
    while (n < 0 && errno == EINTR);
    in_.resize(n > 0 ? static_cast<size_t>(n) : 0);
    return n;
  }

  int fd_;
  std::string in_, out_;
  size_t from_ = 0;
};

}  // namespace

void start_thread(std::function<void()> fn, size_t stack_bytes) {
  pthread_attr_t attr;
  pthread_attr_init(&attr);
  pthread_attr_setstacksize(&attr, stack_bytes);
  pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
  auto* arg = new std::function<void()>(std::move(fn));
  pthread_t id;
  const int rc = pthread_create(
      &id, &attr,
      [](void* p) -> void* {
        std::unique_ptr<std::function<void()>> f(static_cast<std::function<void()>*>(p));
        (*f)();
        return nullptr;
      },
      arg);
  pthread_attr_destroy(&attr);
  if (rc != 0) {
    delete arg;
    throw std::system_error(rc, std::generic_category(), "pthread_create");
  }
}

void ConnectionThreads::enqueue(std::function<void()> fn) {
  std::unique_lock lock(mutex_);
  jobs_.push_back(std::move(fn));
  if (idle_ >= jobs_.size() || threads_ >= most_) {
    wake_.notify_one();
    return;
  }
  ++threads_;
  lock.unlock();
  try {
    start_thread([this] { run(); }, kStack);
  } catch (const std::system_error&) {
    lock.lock();
    --threads_;  // it waits for a thread that is there
  }
}

void ConnectionThreads::run() {
  std::unique_lock lock(mutex_);
  while (true) {
    ++idle_;
    wake_.wait(lock, [this] { return stop_ || !jobs_.empty(); });
    --idle_;
    if (jobs_.empty()) break;
    auto fn = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    fn();
    fn = nullptr;
    lock.lock();
  }
  --threads_;
  ended_.notify_all();
}

void ConnectionThreads::shutdown() {
  std::unique_lock lock(mutex_);
  stop_ = true;
  wake_.notify_all();
  ended_.wait(lock, [this] { return threads_ == 0; });
}

bool ConnectionThreads::crowded() const {
  std::lock_guard lock(mutex_);
  return threads_ - idle_ + jobs_.size() > most_ * 9 / 10;
}

Server::Server(Endpoint at, size_t max_connections, size_t max_body, Handle handle)
    : at_(std::move(at)), most_(max_connections) {
  set_payload_max_length(max_body);
  set_tcp_nodelay(true);
  set_keep_alive_max_count(1'000'000);
  set_keep_alive_timeout(kIdleMs / 1000);
  new_task_queue = [this] { return threads_ = new ConnectionThreads(most_); };
  // The library routes by regular expressions, which recurse over the path; every request is
  // routed as "/" and told apart by its target (process_and_close_socket).
  Get("/", handle);
  Post("/", handle);
  Put("/", handle);
  Delete("/", handle);
  set_exception_handler([](const httplib::Request&, httplib::Response& res, std::exception_ptr) {
    res.status = 500;
  });
  set_error_handler(Handler([](const httplib::Request&, httplib::Response& res) {
    if (res.status == 413) res.status = 400;  // too large a body is malformed here
  }));
}

Server::~Server() { halt(); }

bool Server::start() {
  if (at_.port == 0) {
    at_.port = bind_to_any_port(at_.host);
    if (at_.port <= 0) return false;
  } else if (!bind_to_port(at_.host, at_.port)) {
    return false;
  }
  ::listen(svr_sock_, kBacklog);
  listener_ = std::thread([this] { listen_after_bind(); });
  return true;
}

void Server::halt() {
  if (!listener_.joinable()) return;
  stop();
  listener_.join();
}

bool Server::process_and_close_socket(socket_t sock) {
  const int one = 1;
  ::setsockopt(sock, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  {
    ConnectionStream stream(sock);
    while (svr_sock_ != INVALID_SOCKET && stream.await_request()) {
      bool closed = false;
      // When threads run short, connections are given up after an answer to make way.
      const bool ok = process_request(stream, threads_->crowded(), closed,
                                      [](httplib::Request& r) { r.path = "/"; });
      if (!stream.flush() || !ok || closed) break;
    }
  }
  ::shutdown(sock, SHUT_RDWR);
  ::close(sock);
  return true;
}

}  // namespace rookdyke::net
