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

constexpr int kIdleTimeoutMs = 60'000;  // of keep-alive connections
constexpr int kSweepIntervalMs = 5'000;
constexpr std::chrono::seconds kThreadIdleTimeout(10);
constexpr size_t kMinIdleThreads = 4;  // kept beyond kThreadIdleTimeout
constexpr int kReadTimeoutMs = 5'000;  // for the next bytes of a request
constexpr int kWriteTimeoutMs = 5'000;
constexpr size_t kMaxHeaderBytes = size_t{64} * 1024;  // headers and chunk framing of a request
constexpr int kListenBacklog = 512;                    // the library's default is 5
// If a request has waited longer than this for a thread, its connection is checked again, since the
// client may have closed it in the meantime.
constexpr std::chrono::milliseconds kConnectionRecheckDelay(500);
constexpr size_t kMaxEventsPerWait = 64;
constexpr size_t kStackBytes =
    1 << 20;  // address space, mostly unused; the library matches headers recursively

constexpr const char* kRequestPath = "/";
constexpr const char* kPeerClosedPath = "/left";  // handles requests whose client has disconnected
// Whether the handler of the current thread's request has asked to close the connection.
thread_local bool close_requested = false;

bool wait_for_events(int fd, short events, int ms) {
  pollfd p{fd, events, 0};
  int n = 0;
  do n = ::poll(&p, 1, ms);
  while (n < 0 && errno == EINTR);
  return n > 0;
}

}  // namespace

// A connection's socket with input and output buffers, so that a request usually takes one recv and
// a response one send.
class ConnectionStream : public httplib::Stream {
 public:
  explicit ConnectionStream(int fd) : fd_(fd) {}

  // Starts reading a request. Returns false if the client has closed the connection.
  bool begin_request() {
    bytes_left_ = kMaxHeaderBytes;
    return read_position_ < input_.size() || receive() > 0;
  }
  // Limits the remaining bytes of the request. The library limits only bodies with a
  // Content-Length; a chunked body could use all memory.
  void set_byte_limit(size_t bytes) { bytes_left_ = bytes; }
  bool is_exhausted() const { return bytes_left_ == 0; }
  bool has_buffered_input() const { return read_position_ < input_.size(); }
  bool peer_closed() const { return wait_for_events(fd_, POLLRDHUP, 0); }
  // Frees the memory of the buffers. Called when the connection becomes idle.
  void release_buffers() {
    std::string().swap(input_);
    std::string().swap(output_);
    read_position_ = 0;
  }
  bool flush() {
    size_t sent = 0;
    while (sent < output_.size()) {
      const ssize_t n = ::send(fd_, output_.data() + sent, output_.size() - sent, MSG_NOSIGNAL);
      if (n > 0) {
        sent += static_cast<size_t>(n);
      } else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        if (!wait_for_events(fd_, POLLOUT, kWriteTimeoutMs)) break;
      } else if (!(n < 0 && errno == EINTR)) {
        break;
      }
    }
    const bool all = sent == output_.size();
    output_.clear();
    return all;
  }

  bool is_readable() const override {
    return read_position_ < input_.size() || wait_for_events(fd_, POLLIN, kReadTimeoutMs);
  }
  bool is_writable() const override { return true; }
  ssize_t read(char* ptr, size_t size) override {
    if (is_exhausted()) return -1;
    if (read_position_ >= input_.size()) {
      const ssize_t n = fill(kReadTimeoutMs);
      if (n <= 0) return n;
    }
    const size_t n = std::min({size, input_.size() - read_position_, bytes_left_});
    std::memcpy(ptr, input_.data() + read_position_, n);
    read_position_ += n;
    bytes_left_ -= n;
    return static_cast<ssize_t>(n);
  }
  ssize_t write(const char* ptr, size_t size) override {
    output_.append(ptr, size);
    return static_cast<ssize_t>(size);
  }
  void get_remote_ip_and_port(std::string&, int&) const override {}
  void get_local_ip_and_port(std::string&, int&) const override {}
  socket_t socket() const override { return fd_; }

 private:
  ssize_t fill(int ms) {
    if (!wait_for_events(fd_, POLLIN, ms)) return -1;
    return receive();
  }
  ssize_t receive() {
    input_.resize(8192);
    read_position_ = 0;
    ssize_t n = 0;
    do n = ::recv(fd_, input_.data(), input_.size(), 0);
    while (n < 0 && errno == EINTR);
    input_.resize(n > 0 ? static_cast<size_t>(n) : 0);
    return n;
  }

  int fd_;
  std::string input_, output_;
  size_t read_position_ = 0;
  size_t bytes_left_ = 0;  // bytes that may still be read for the current request
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
  if (idle_threads_ >= queue_.size() || thread_count_ >= max_threads_) {
    work_available_.notify_one();
    return;
  }
  ++thread_count_;
  lock.unlock();
  try {
    start_thread([this] { run(); }, kStackBytes);
  } catch (const std::system_error&) {
    lock.lock();
    --thread_count_;  // a running thread will execute the work
  }
}

void ThreadPool::run() {
  std::unique_lock lock(mutex_);
  while (true) {
    ++idle_threads_;
    const bool notified = work_available_.wait_for(lock, kThreadIdleTimeout,
                                                   [this] { return stop_ || !queue_.empty(); });
    --idle_threads_;
    if (!notified && idle_threads_ < kMinIdleThreads) continue;
    if (queue_.empty()) break;
    auto fn = std::move(queue_.front());
    queue_.pop_front();
    lock.unlock();
    fn();
    fn = nullptr;
    lock.lock();
  }
  --thread_count_;
  thread_ended_.notify_all();
}

void ThreadPool::shutdown() {
  std::unique_lock lock(mutex_);
  stop_ = true;
  work_available_.notify_all();
  thread_ended_.wait(lock, [this] { return thread_count_ == 0; });
}

Server::Server(Endpoint address, size_t max_connections, size_t max_threads, size_t max_body,
               const RequestHandler& handle)
    : address_(std::move(address)), max_connections_(max_connections), max_threads_(max_threads) {
  set_payload_max_length(max_body);
  set_tcp_nodelay(true);
  set_keep_alive_max_count(1'000'000);
  set_keep_alive_timeout(kIdleTimeoutMs / 1000);
  new_task_queue = [this] { return thread_pool_ = new ThreadPool(max_threads_); };
  // The library matches paths with regular expressions, which recurse over the length of the
  // path. Therefore serve() replaces the path of every request by one of two fixed paths, and the
  // handler uses Request::target.
  // A request whose client has closed the connection is not executed: it may have waited while the
  // process was suspended, and the client has retried with another controller since.
  const httplib::Server::Handler peer_closed = [](const httplib::Request&, httplib::Response& res) {
    res.status = 503;
    res.set_header("Retry-After", "1");
  };
  Get(kRequestPath, handle);
  Post(kRequestPath, handle);
  Put(kRequestPath, handle);
  Delete(kRequestPath, handle);
  Get(kPeerClosedPath, peer_closed);
  Post(kPeerClosedPath, peer_closed);
  Put(kPeerClosedPath, peer_closed);
  Delete(kPeerClosedPath, peer_closed);
  set_exception_handler([](const httplib::Request&, httplib::Response& res,
                           const std::exception_ptr&) { res.status = 500; });
  set_error_handler(Handler([](const httplib::Request&, httplib::Response& res) {
    if (res.status == 413)
      res.status = 400;  // the API treats a body that is too large as malformed
  }));
}

Server::~Server() { halt(); }

bool Server::start() {
  if (address_.port == 0) {
    address_.port = bind_to_any_port(address_.host);
    if (address_.port <= 0) return false;
  } else if (!bind_to_port(address_.host, address_.port)) {
    return false;
  }
  ::listen(svr_sock_, kListenBacklog);
  epoll_fd_ = ::epoll_create1(EPOLL_CLOEXEC);
  wake_fd_ = ::eventfd(0, EFD_CLOEXEC);
  epoll_event e{};
  e.events = EPOLLIN;
  e.data.fd = wake_fd_;
  if (epoll_fd_ < 0 || wake_fd_ < 0 || ::epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, wake_fd_, &e) != 0)
    return false;
  watcher_thread_ = std::thread([this] { watch_idle_connections(); });
  listener_thread_ = std::thread([this] { listen_after_bind(); });
  return true;
}

void Server::halt() {
  if (!listener_thread_.joinable()) return;
  halting_ = true;
  const uint64_t one = 1;
  if (::write(wake_fd_, &one, sizeof one) < 0) return;
  watcher_thread_.join();
  stop();
  listener_thread_.join();
  ::close(epoll_fd_);
  ::close(wake_fd_);
}

void Server::close_after_response() { close_requested = true; }

void Server::close(const std::shared_ptr<ConnectionStream>& stream) {
  --open_connections_;
  ::shutdown(stream->socket(), SHUT_RDWR);
  ::close(stream->socket());
}

// Called by the library for each new connection.
bool Server::process_and_close_socket(socket_t sock) {
  const int one = 1;
  ::setsockopt(sock, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (++open_connections_ > max_connections_) close_longest_idle();
  watch(std::make_shared<ConnectionStream>(sock));
  return true;
}

// Called when the connection limit is exceeded. The connection that has been idle longest is the
// most likely to belong to a machine or user that has disappeared. New connections, such as those
// of health checks, are never refused.
void Server::close_longest_idle() {
  std::shared_ptr<ConnectionStream> stream;
  {
    std::lock_guard lock(mutex_);
    const auto longest = std::min_element(
        idle_connections_.begin(), idle_connections_.end(),
        [](const auto& a, const auto& b) { return a.second.idle_since < b.second.idle_since; });
    if (longest == idle_connections_.end()) return;
    stream = std::move(longest->second.stream);
    idle_connections_.erase(longest);
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
  idle_connections_[fd] = {std::move(stream), std::chrono::steady_clock::now()};
  // A connection that was watched before is still registered with epoll, but disarmed
  // (EPOLLONESHOT).
  if (::epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, fd, &e) != 0 &&
      ::epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &e) != 0) {
    stream = std::move(idle_connections_[fd].stream);
    idle_connections_.erase(fd);
    lock.unlock();
    close(stream);
  }
}

// Passes a connection to the thread pool when a request arrives or the client has closed it.
void Server::dispatch(const epoll_event& event) {
  std::shared_ptr<ConnectionStream> stream;
  {
    std::lock_guard lock(mutex_);
    const auto found = idle_connections_.find(event.data.fd);
    if (found == idle_connections_.end()) return;
    stream = std::move(found->second.stream);
    idle_connections_.erase(found);
  }
  const bool peer_closed = event.events & (EPOLLRDHUP | EPOLLHUP);
  thread_pool_->enqueue([this, stream, peer_closed, since = std::chrono::steady_clock::now()] {
    serve(stream, peer_closed, since);
  });
}

// Closes the connections that have been idle for longer than kIdleTimeoutMs.
void Server::close_expired(Time now) {
  std::vector<std::shared_ptr<ConnectionStream>> expired;
  {
    std::lock_guard lock(mutex_);
    for (auto it = idle_connections_.begin(); it != idle_connections_.end();) {
      const bool is_expired =
          now - it->second.idle_since > std::chrono::milliseconds(kIdleTimeoutMs);
      if (is_expired) expired.push_back(std::move(it->second.stream));
      it = is_expired ? idle_connections_.erase(it) : std::next(it);
    }
  }
  for (const auto& stream : expired) close(stream);
}

void Server::watch_idle_connections() {
  std::vector<epoll_event> events(kMaxEventsPerWait);
  auto last_sweep_at = std::chrono::steady_clock::now();
  while (!halting_) {
    const int count =
        ::epoll_wait(epoll_fd_, events.data(), static_cast<int>(events.size()), kSweepIntervalMs);
    for (int i = 0; i < count; ++i) dispatch(events[static_cast<size_t>(i)]);
    const auto now = std::chrono::steady_clock::now();
    if (now - last_sweep_at < std::chrono::milliseconds(kSweepIntervalMs)) continue;
    last_sweep_at = now;
    close_expired(now);
  }
  std::lock_guard lock(mutex_);
  for (auto& [fd, connection] : idle_connections_) close(connection.stream);
  idle_connections_.clear();
}

void Server::serve(std::shared_ptr<ConnectionStream> stream, bool peer_closed,
                   Time readable_since) {
  if (!stream->begin_request()) return close(stream);
  if (!peer_closed && std::chrono::steady_clock::now() - readable_since > kConnectionRecheckDelay)
    peer_closed = stream->peer_closed();
  do {
    bool closed = false;
    close_requested = false;
    const bool ok = process_request(*stream, peer_closed, closed, [&](httplib::Request& request) {
      request.path = peer_closed ? kPeerClosedPath : kRequestPath;
      const bool has_length =
          request.has_header("Content-Length") && !request.has_header("Transfer-Encoding");
      stream->set_byte_limit(has_length ? SIZE_MAX : payload_max_length_ + kMaxHeaderBytes);
    });
    if (!stream->flush() || !ok || closed || peer_closed || close_requested ||
        stream->is_exhausted())
      return close(stream);
  } while (stream->has_buffered_input() && stream->begin_request());
  watch(std::move(stream));
}

}  // namespace rookdyke::net
