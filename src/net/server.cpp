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
constexpr size_t kThreadsKept = 4;
constexpr int kReadMs = 5'000;  // within a request
constexpr int kWriteMs = 5'000;
constexpr size_t kMaxHead = size_t{64} * 1024;  // of a request: its headers, and what chunks take
constexpr int kBacklog = 512;                   // the library's is 5
// A request that waited for a thread this long is looked at again: its sender may have left.
constexpr std::chrono::milliseconds kLongWait(500);
constexpr size_t kStack = 1 << 20;  // reserved, not used: the library matches headers recursively

constexpr const char* kLeft = "/left";
thread_local bool closing = false;  // of the request that this thread serves

bool wait_for(int fd, short events, int ms) {
  pollfd p{fd, events, 0};
  int n = 0;
  do n = ::poll(&p, 1, ms);
  while (n < 0 && errno == EINTR);
  return n > 0;
}

}  // namespace

// Buffers both ways: a request is usually one recv, an answer one send.
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
  // Nothing is kept for a connection that waits.
  void rest() {
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

void Threads::enqueue(std::function<void()> fn) {
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

void Threads::run() {
  std::unique_lock lock(mutex_);
  while (true) {
    ++idle_;
    const bool woken =
        wake_.wait_for(lock, kThreadIdle, [this] { return stop_ || !jobs_.empty(); });
    --idle_;
    if (!woken && idle_ < kThreadsKept) continue;
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

void Threads::shutdown() {
  std::unique_lock lock(mutex_);
  stop_ = true;
  wake_.notify_all();
  ended_.wait(lock, [this] { return threads_ == 0; });
}

Server::Server(Endpoint at, size_t max_connections, size_t max_threads, size_t max_body,
               const Handle& handle)
    : at_(std::move(at)), most_(max_connections), most_threads_(max_threads) {
  set_payload_max_length(max_body);
  set_tcp_nodelay(true);
  set_keep_alive_max_count(1'000'000);
  set_keep_alive_timeout(kIdleMs / 1000);
  new_task_queue = [this] { return threads_ = new Threads(most_threads_); };
  // The library routes by regular expressions, which recurse over the path; every request is
  // routed as "/" and told apart by its target (process_and_close_socket).
  // One whose sender has left is not carried out (the process may have stood still meanwhile): its
  // user has asked somebody else since, and so has its worker.
  const httplib::Server::Handler left = [](const httplib::Request&, httplib::Response& res) {
    res.status = 503;
    res.set_header("Retry-After", "1");
  };
  Get("/", handle);
  Post("/", handle);
  Put("/", handle);
  Delete("/", handle);
  Get(kLeft, left);
  Post(kLeft, left);
  Put(kLeft, left);
  Delete(kLeft, left);
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

void Server::close_after_answer() { closing = true; }

void Server::close(const std::shared_ptr<ConnectionStream>& stream) {
  --open_;
  ::shutdown(stream->socket(), SHUT_RDWR);
  ::close(stream->socket());
}

// A new connection.
bool Server::process_and_close_socket(socket_t sock) {
  const int one = 1;
  ::setsockopt(sock, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (++open_ > most_) make_way();
  keep(std::make_shared<ConnectionStream>(sock));
  return true;
}

// Connections run short: the one that has been idle for longest is likeliest of a machine or user
// that is gone. New ones are never refused, health checks and siblings among them.
void Server::make_way() {
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

void Server::keep(std::shared_ptr<ConnectionStream> stream) {
  const int fd = stream->socket();
  stream->rest();
  epoll_event e{};
  e.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
  e.data.fd = fd;
  std::unique_lock lock(mutex_);
  if (halting_) {
    lock.unlock();
    return close(stream);
  }
  idle_[fd] = {std::move(stream), std::chrono::steady_clock::now()};
  // A connection that was watched before is still known to epoll, disarmed.
  if (::epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &e) != 0 &&
      ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &e) != 0) {
    stream = std::move(idle_[fd].stream);
    idle_.erase(fd);
    lock.unlock();
    close(stream);
  }
}

void Server::watch_idle() {
  std::vector<epoll_event> events(64);
  auto swept = std::chrono::steady_clock::now();
  while (!halting_) {
    const int n = ::epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), kSweepMs);
    for (int i = 0; i < n; ++i) {
      std::unique_lock lock(mutex_);
      auto it = idle_.find(events[static_cast<size_t>(i)].data.fd);
      if (it == idle_.end()) continue;
      std::shared_ptr<ConnectionStream> stream = std::move(it->second.stream);
      idle_.erase(it);
      lock.unlock();
      const bool left = events[static_cast<size_t>(i)].events & (EPOLLRDHUP | EPOLLHUP);
      threads_->enqueue([this, stream, left, since = std::chrono::steady_clock::now()] {
        serve(stream, left, since);
      });
    }
    const auto now = std::chrono::steady_clock::now();
    if (now - swept < std::chrono::milliseconds(kSweepMs)) continue;
    swept = now;
    std::vector<std::shared_ptr<ConnectionStream>> silent;
    {
      std::lock_guard lock(mutex_);
      for (auto it = idle_.begin(); it != idle_.end();) {
        const bool finished = now - it->second.idle_since > std::chrono::milliseconds(kIdleMs);
        if (finished) silent.push_back(std::move(it->second.stream));
        it = finished ? idle_.erase(it) : std::next(it);
      }
    }
    for (auto& s : silent) close(s);
  }
  std::lock_guard lock(mutex_);
  for (auto& [fd, c] : idle_) close(c.stream);
  idle_.clear();
}

void Server::serve(std::shared_ptr<ConnectionStream> stream, bool left, Time since) {
  if (!stream->begin()) return close(stream);
  if (!left && std::chrono::steady_clock::now() - since > kLongWait) left = stream->peer_left();
  do {
    bool closed = false;
    closing = false;
    const bool ok = process_request(*stream, left, closed, [&](httplib::Request& r) {
      r.path = left ? kLeft : "/";
      const bool sized = r.has_header("Content-Length") && !r.has_header("Transfer-Encoding");
      stream->allow(sized ? SIZE_MAX : payload_max_length_ + kMaxHead);
    });
    if (!stream->flush() || !ok || closed || left || closing || stream->spent())
      return close(stream);
  } while (stream->buffered() && stream->begin());
  keep(std::move(stream));
}

}  // namespace rookdyke::net
