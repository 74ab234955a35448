#pragma once
// Read barriers: a caller waits until this controller's ledger cache contains at least everything
// that was committed before the call. One thread, LedgerWatcher, reads the ledger repeatedly. A
// read that is sent after the call satisfies the barrier once it is applied, for all waiting
// callers at once.

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace rookdyke {

// Matches waiting callers with the watcher's reads. Thread-safe: its own mutex guards the counters.
// No other mutex is acquired while it is held, and callers must not hold SharedState's lock.
class ReadBarrier {
 public:
  // -- For any thread.

  // Waits until a read that was sent after this call is applied, and returns true then. Returns
  // false if that read fails, after `timeout_s`, after stop(), and immediately while failing().
  bool wait(double timeout_s);
  // Whether the state service is considered unreachable: two consecutive reads failed. Lock-free.
  bool failing() const { return consecutive_failures_ >= kFailureThreshold; }
  // Ends all waits, including the watcher's, and makes later ones return immediately.
  void stop();

  // -- For the watcher only.

  // Identifies a read of the ledger. The value is the number of wait() calls made before it was
  // sent, all of which it satisfies.
  using ReadId = uint64_t;

  // Waits until there is a call that no finished read covers, `timeout_s` has elapsed, or stop().
  void wait_for_caller(double timeout_s);
  // Must be called right before a read is sent.
  ReadId begin_read();
  // The state service responded: wait() may block again, even before the response is applied.
  void on_response() { consecutive_failures_ = 0; }
  // The read's response was applied: the waits of its callers succeed.
  void on_read_applied(ReadId read);
  // The read failed: the waits of its callers fail. Then pauses for `pause_s` or until the next
  // call of wait().
  void on_read_failed(ReadId read, double pause_s);

 private:
  static constexpr int kFailureThreshold = 2;

  std::atomic<int> consecutive_failures_{0};
  std::mutex mutex_;  // guards the members below
  std::condition_variable read_finished_, caller_arrived_;
  // Calls of wait() are numbered from 1; a read covers all calls up to its ReadId.
  uint64_t call_count_ = 0, applied_through_ = 0, failed_through_ = 0;
  bool stopped_ = false;
};

}  // namespace rookdyke
