#include "daemon/read_barrier.h"

#include <algorithm>
#include <chrono>

namespace rookdyke {

bool ReadBarrier::wait(double timeout_s) {
  if (failing()) return false;  // known to fail: said at once
  std::unique_lock lock(mutex_);
  const uint64_t mine = ++calls_;
  called_.notify_all();
  finished_.wait_for(lock, std::chrono::duration<double>(timeout_s),
                     [&] { return stopped_ || answered_to_ >= mine || failed_to_ >= mine; });
  return answered_to_ >= mine;
}

void ReadBarrier::stop() {
  std::lock_guard lock(mutex_);
  stopped_ = true;
  called_.notify_all();
  finished_.notify_all();
}

void ReadBarrier::wait_for_caller(double longest_s) {
  std::unique_lock lock(mutex_);
  called_.wait_for(lock, std::chrono::duration<double>(longest_s),
                   [&] { return stopped_ || calls_ > std::max(answered_to_, failed_to_); });
}

ReadBarrier::Read ReadBarrier::begin_read() {
  std::lock_guard lock(mutex_);
  return calls_;
}

void ReadBarrier::succeeded(Read read) {
  std::lock_guard lock(mutex_);
  answered_to_ = read;
  finished_.notify_all();
}

void ReadBarrier::failed(Read read, double pause_s) {
  std::unique_lock lock(mutex_);
  failed_to_ = read;
  finished_.notify_all();
  // Before any of them returns, so that none asks again in vain.
  ++consecutive_failures_;
  if (!stopped_) called_.wait_for(lock, std::chrono::duration<double>(pause_s));
}

}  // namespace rookdyke
