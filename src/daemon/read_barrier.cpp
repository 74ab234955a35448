#include "daemon/read_barrier.h"

#include <algorithm>
#include <chrono>

namespace rookdyke {

bool ReadBarrier::wait(double timeout_s) {
  if (failing()) return false;  // fails fast instead of waiting for the timeout
  std::unique_lock lock(mutex_);
  const uint64_t call = ++call_count_;
  caller_arrived_.notify_all();
  read_finished_.wait_for(lock, std::chrono::duration<double>(timeout_s), [&] {
    return stopped_ || applied_through_ >= call || failed_through_ >= call;
  });
  return applied_through_ >= call;
}

void ReadBarrier::stop() {
  std::lock_guard lock(mutex_);
  stopped_ = true;
  caller_arrived_.notify_all();
  read_finished_.notify_all();
}

void ReadBarrier::wait_for_caller(double timeout_s) {
  std::unique_lock lock(mutex_);
  caller_arrived_.wait_for(lock, std::chrono::duration<double>(timeout_s), [&] {
    return stopped_ || call_count_ > std::max(applied_through_, failed_through_);
  });
}

ReadBarrier::ReadId ReadBarrier::begin_read() {
  std::lock_guard lock(mutex_);
  return call_count_;
}

void ReadBarrier::on_read_applied(ReadId read) {
  std::lock_guard lock(mutex_);
  applied_through_ = read;
  read_finished_.notify_all();
}

void ReadBarrier::on_read_failed(ReadId read, double pause_s) {
  std::unique_lock lock(mutex_);
  failed_through_ = read;
  read_finished_.notify_all();
  // Incremented before the mutex is released, so that a caller that retries sees failing().
  ++consecutive_failures_;
  if (!stopped_) caller_arrived_.wait_for(lock, std::chrono::duration<double>(pause_s));
}

}  // namespace rookdyke
