#include "net/server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace rookdyke::net {

namespace {

constexpr int kIdleMs = 60'000;  // a silent kept-open connection is closed after this
constexpr int kSweepMs = 5'000;
constexpr std::chrono::seconds kThreadIdle(10);
constexpr size_t kMinIdleThreads = 4;  // these do not end
constexpr int kReadMs = 5'000;         // for the next bytes within a request
constexpr int kWriteMs = 5'000;
constexpr size_t kMaxHead = size_t{64} * 1024;  // of a request: its headers, and what chunks take
constexpr int kBacklog = 512;                   // the library's is 5
// After a request has waited for a thread for so long, its connection is checked again: its sender
// may have given up.
constexpr std::chrono::milliseconds kRecheckAfter(500);
constexpr size_t kEventBatch = 64;
constexpr size_t kStackBytes =
    1 << 20;  // reserved, not used: the library matches headers recursively

constexpr const char* kServePath = "/";
constexpr const char* kPeerClosedPath = "/left";  // of requests whose sender is not there any more
thread_local bool close_requested = false;  // by the handler of the request that this thread serves

bool wait_for(int fd, short events, int ms) {
  pollfd p{fd, events, 0};
  int n = 0;
  do n = ::poll(&p, 1, ms);
  while (n < 0 && errno == EINTR);
  return n > 0;
}

}  // namespace

// A connection's socket, buffered in both directions: a request is usually one recv, an answer one
// send.
class ConnectionStream : public httplib::Stream {
 public:
  explicit ConnectionStream(int fd) : fd_(fd) {}

  // Reads what has come; false: the peer has closed.
  bool begin() {
    left_ = kMaxHead;
    return from_ < in_.size() || receive() > 0;
  }
  // The library limits only bodies that name their length; one in chunks could take all memory.
  void allow(size_t bytes) { left_ = bytes; }
  bool spent() const { return left_ == 0; }
  bool buffered() const { return from_ < in_.size(); }
  bool peer_left() const { return wait_for(fd_, POLLRDHUP, 0); }
  // Frees the buffers of a connection that becomes idle.
  void release_buffers() {
    std::string().swap(in_);
    std::string().swap(out_);
    from_ = 0;
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
    if (spent()) return -1;
    if (from_ >= in_.size()) {
      const ssize_t n = fill(kReadMs);
      if (n <= 0) return n;
    }
    const size_t n = std::min({size, in_.size() - from_, left_});
    std::memcpy(ptr, in_.data() + from_, n);
    from_ += n;
    left_ -= n;
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
    return receive();
  }
  ssize_t receive() {
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
  size_t left_ = 0;  // bytes that the request may still have
};

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

void ThreadPool::enqueue(std::function<void()> fn) {
  std::unique_lock lock(mutex_);
  queue_.push_back(std::move(fn));
  if (idle_ >= queue_.size() || threads_ >= max_threads_) {
    wake_.notify_one();
    return;
  }
  ++threads_;
  lock.unlock();
  try {
    start_thread([this] { run(); }, kStackBytes);
  } catch (const std::system_error&) {
    lock.lock();
    --threads_;  // a thread that runs already takes the work
  }
}

void ThreadPool::run() {
  std::unique_lock lock(mutex_);
  while (true) {
    ++idle_;
    const bool woken =
        wake_.wait_for(lock, kThreadIdle, [this] { return stop_ || !queue_.empty(); });
    --idle_;
    if (!woken && idle_ < kMinIdleThreads) continue;
    if (queue_.empty()) break;
    auto fn = std::move(queue_.front());
    queue_.pop_front();
    lock.unlock();
    fn();
    fn = nullptr;
    lock.lock();
  }
  --threads_;
  ended_.notify_all();
}

void ThreadPool::shutdown() {
  std::unique_lock lock(mutex_);
  stop_ = true;
  wake_.notify_all();
  ended_.wait(lock, [this] { return threads_ == 0; });
}

Server::Server(Endpoint at, size_t max_connections, size_t max_threads, size_t max_body,
               const Handle& handle)
    : at_(std::move(at)), max_connections_(max_connections), max_threads_(max_threads) {
  set_payload_max_length(max_body);
  set_tcp_nodelay(true);
  set_keep_alive_max_count(1'000'000);
  set_keep_alive_timeout(kIdleMs / 1000);
  new_task_queue = [this] { return thread_pool_ = new ThreadPool(max_threads_); };
  // The library routes by regular expressions, which recurse over the path; every request is
  // routed as "/" and told apart by its target (process_and_close_socket).
  // A request whose sender has closed the connection is not executed (it may have waited while the
  // process was suspended): its sender has retried at another replica since.
  const httplib::Server::Handler peer_closed = [](const httplib::Request&, httplib::Response& res) {
    res.status = 503;
    res.set_header("Retry-After", "1");
  };
  Get(kServePath, handle);
  Post(kServePath, handle);
  Put(kServePath, handle);
  Delete(kServePath, handle);
  Get(kPeerClosedPath, peer_closed);
  Post(kPeerClosedPath, peer_closed);
  Put(kPeerClosedPath, peer_closed);
  Delete(kPeerClosedPath, peer_closed);
  set_exception_handler([](const httplib::Request&, httplib::Response& res,
                           const std::exception_ptr&) { res.status = 500; });
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
  epoll_ = ::epoll_create1(EPOLL_CLOEXEC);
  wake_ = ::eventfd(0, EFD_CLOEXEC);
  epoll_event e{};
  e.events = EPOLLIN;
  e.data.fd = wake_;
  if (epoll_ < 0 || wake_ < 0 || ::epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_, &e) != 0) return false;
  watcher_ = std::thread([this] { watch_idle(); });
  listener_ = std::thread([this] { listen_after_bind(); });
  return true;
}

void Server::halt() {
  if (!listener_.joinable()) return;
  halting_ = true;
  const uint64_t one = 1;
  if (::write(wake_, &one, sizeof one) < 0) return;
  watcher_.join();
  stop();
  listener_.join();
  ::close(epoll_);
  ::close(wake_);
}

void Server::close_after_response() { close_requested = true; }

void Server::close(const std::shared_ptr<ConnectionStream>& stream) {
  --open_;
  ::shutdown(stream->socket(), SHUT_RDWR);
  ::close(stream->socket());
}

// A new connection.
bool Server::process_and_close_socket(socket_t sock) {
  const int one = 1;
  ::setsockopt(sock, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (++open_ > max_connections_) close_longest_idle();
  watch(std::make_shared<ConnectionStream>(sock));
  return true;
}

// At the limit of connections, the longest idle one is closed: it is the likeliest to belong to a
// machine or user that has disappeared. New ones, among them health checks, are never refused.
void Server::close_longest_idle() {
  std::shared_ptr<ConnectionStream> stream;
  {
    std::lock_guard lock(mutex_);
    const auto longest = std::min_element(
        idle_.begin(), idle_.end(),
        [](const auto& a, const auto& b) { return a.second.idle_since < b.second.idle_since; });
    if (longest == idle_.end()) return;
    stream = std::move(longest->second.stream);
    idle_.erase(longest);
  }
  close(stream);
}

void Server::watch(std::shared_ptr<ConnectionStream> stream) {
  const int fd = stream->socket();
  stream->release_buffers();
  epoll_event e{};
  e.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
  e.data.fd = fd;
  std::unique_lock lock(mutex_);
  if (halting_) {
    lock.unlock();
    return close(stream);
  }
  idle_[fd] = {std::move(stream), std::chrono::steady_clock::now()};
  // A connection that was watched before is still registered with epoll, disarmed (EPOLLONESHOT).
  if (::epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &e) != 0 &&
      ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &e) != 0) {
    stream = std::move(idle_[fd].stream);
    idle_.erase(fd);
    lock.unlock();
    close(stream);
  }
}

// Hands a connection on which a request begins, or which its peer closed, to the thread pool.
void Server::dispatch(const epoll_event& event) {
  std::shared_ptr<ConnectionStream> stream;
  {
    std::lock_guard lock(mutex_);
    const auto found = idle_.find(event.data.fd);
    if (found == idle_.end()) return;
    stream = std::move(found->second.stream);
    idle_.erase(found);
  }
  const bool peer_closed = event.events & (EPOLLRDHUP | EPOLLHUP);
  thread_pool_->enqueue([this, stream, peer_closed, since = std::chrono::steady_clock::now()] {
    serve(stream, peer_closed, since);
  });
}

// Closes the connections that have been idle for kIdleMs.
void Server::close_expired(Time now) {
  std::vector<std::shared_ptr<ConnectionStream>> expired;
  {
    std::lock_guard lock(mutex_);
    for (auto it = idle_.begin(); it != idle_.end();) {
      const bool is_expired = now - it->second.idle_since > std::chrono::milliseconds(kIdleMs);
      if (is_expired) expired.push_back(std::move(it->second.stream));
      it = is_expired ? idle_.erase(it) : std::next(it);
    }
  }
  for (const auto& stream : expired) close(stream);
}

void Server::watch_idle() {
  std::vector<epoll_event> events(kEventBatch);
  auto swept_at = std::chrono::steady_clock::now();
  while (!halting_) {
    const int count =
        ::epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), kSweepMs);
    for (int i = 0; i < count; ++i) dispatch(events[static_cast<size_t>(i)]);
    const auto now = std::chrono::steady_clock::now();
    if (now - swept_at < std::chrono::milliseconds(kSweepMs)) continue;
    swept_at = now;
    close_expired(now);
  }
  std::lock_guard lock(mutex_);
  for (auto& [fd, connection] : idle_) close(connection.stream);
  idle_.clear();
}

void Server::serve(std::shared_ptr<ConnectionStream> stream, bool peer_closed,
                   Time readable_since) {
  if (!stream->begin()) return close(stream);
  if (!peer_closed && std::chrono::steady_clock::now() - readable_since > kRecheckAfter)
    peer_closed = stream->peer_left();
  do {
    bool closed = false;
    close_requested = false;
    const bool ok = process_request(*stream, peer_closed, closed, [&](httplib::Request& request) {
      request.path = peer_closed ? kPeerClosedPath : kServePath;
      const bool has_length =
          request.has_header("Content-Length") && !request.has_header("Transfer-Encoding");
      stream->allow(has_length ? SIZE_MAX : payload_max_length_ + kMaxHead);
    });
    if (!stream->flush() || !ok || closed || peer_closed || close_requested || stream->spent())
      return close(stream);
  } while (stream->buffered() && stream->begin());
  watch(std::move(stream));
}

}  // namespace rookdyke::net
