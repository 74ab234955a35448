#pragma once
// Read barriers: a caller waits until this replica's copy of the ledger shows at least all that was
// committed before the call. One thread, LedgerWatcher, reads the ledger repeatedly; every read
// that was sent after the call, and was applied, proves that, and answers all callers at once.

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace rookdyke {

// Pairs the callers that wait with the watcher's reads. Thread-safe: a mutex of its own guards the
// counters; no other is taken under it, and no caller may hold SharedState's lock.
class ReadBarrier {
 public:
  // -- for any thread

  // True once a read that was sent after this call is applied. False if that read fails, after
  // `timeout_s`, after `stop`, and at once while the ledger is known not to answer (`failing`).
  bool wait(double timeout_s);
  // Whether the state service is known not to answer: two reads in a row failed. Lock-free.
  bool failing() const { return consecutive_failures_ >= kFailing; }
  // Ends all waits, those of the watcher too, now and later.
  void stop();

  // -- for the watcher alone

  // Identifies a read that is about to be sent: it answers every call that was made before.
  using Read = uint64_t;

  // Returns when a caller waits that no read answers yet, after `longest_s`, and on `stop`.
  void wait_for_caller(double longest_s);
  // To be called right before a read is sent.
  Read begin_read();
  // The state service answered: callers may wait again, also before the answer is applied.
  void answered() { consecutive_failures_ = 0; }
  // The read's answer is applied: its callers' waits succeed.
  void succeeded(Read read);
  // The read failed: its callers' waits fail. Then pauses for `pause_s`, or until the next call.
  void failed(Read read, double pause_s);

 private:
  static constexpr int kFailing = 2;

  std::atomic<int> consecutive_failures_{0};
  std::mutex mutex_;  // guards what follows
  std::condition_variable finished_, called_;
  // Calls are numbered; a read answers all up to a number.
  uint64_t calls_ = 0, answered_to_ = 0, failed_to_ = 0;
  bool stopped_ = false;
};

}  // namespace rookdyke
