#pragma once
// Data together with the mutex that guards it: the data can be reached only through a lock.

#include <condition_variable>
#include <mutex>
#include <utility>

namespace rookdyke {

template <typename T>
class Guarded {
 public:
  // Holds the mutex for its lifetime and gives access to the data. Not thread-safe.
  class Lock {
   public:
    Lock(std::mutex& mutex, T& data) : lock_(mutex), data_(data) {}

    T* operator->() { return &data_; }
    T& operator*() { return data_; }
    // The lock to pass to a condition variable, which releases the mutex while it waits.
    std::unique_lock<std::mutex>& mutex_lock() { return lock_; }

   private:
    std::unique_lock<std::mutex> lock_;
    T& data_;
  };

  template <typename... Args>
  explicit Guarded(Args&&... args) : data_(std::forward<Args>(args)...) {}

  // Blocks until no other lock exists.
  Lock lock() { return Lock(mutex_, data_); }

 private:
  std::mutex mutex_;
  T data_;
};

}  // namespace rookdyke
