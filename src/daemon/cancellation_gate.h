#pragma once
// Holds back the word "aborted" until the acting leader is known to know the cancellation
// (docs/design.md, "Cancellations"): what it is known to know, which cancellations it still has to
// be told of, and the users' requests that wait for that.

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "leadership/cancellations.h"

namespace rookdyke {

// Sends nothing itself: one thread, the notifier, asks for what is pending and reports outcomes.
//
// Has no mutex of its own, because what it answers depends on the ledger cache and the role too:
// every function is called with the owner's mutex held, always the same one, and those that wait
// release it meanwhile.
class CancellationGate {
 public:
  using Lock = std::unique_lock<std::mutex>;

  // A cancelled job that its leader has to be told of.
  struct Pending {
    std::string job;
    uint64_t leader = 0;  // held the leader key when the row was written; 0: see the ledger cache
  };

  // -- what the leader is known to know

  // A leader has read the ledger up to that revision. Wakes those that wait.
  void leader_has_read(uint64_t revision);
  uint64_t leader_read_to() const { return known_.read_to(); }
  // Whoever held the leader key when the job's row was written, or later, has that row.
  void acknowledge(const std::string& job, uint64_t version) { known_.acknowledge(job, version); }
  // Whether a user may hear that the job, whose row bears that version, is cancelled.
  bool is_known(const std::string& job, uint64_t version) const { return known_.has(job, version); }

  // -- for users' requests

  // Has the leader told, and waits `timeout_s` at most until it is known to know. `leader`: its
  // token, if the caller knows who held the key at the write, or 0. Ends early on `stop`, and when
  // the leader was told in vain and `hopeless` says that the ledger will bring no word of it
  // either.
  bool wait_until_known(Lock& lock, const std::string& job, uint64_t version, uint64_t leader,
                        double timeout_s, const std::function<bool()>& hopeless);
  // Ends all waits, now and later.
  void stop();

  // -- for the notifier

  // The cancellations that a request waits for and that no notification was tried for yet, by job.
  std::vector<Pending> pending() const;
  // The leader was told, or cannot be. Whoever waits for the job finds out with `wake_waiting`.
  void set_tried(const std::string& job);
  // What `wait_until_known` waits for may have changed.
  void wake_waiting() { changed_.notify_all(); }
  // Returns once a request begins to wait, after `wake_notifier`, or after `longest_s`. To be
  // called under the same lock under which nothing was pending.
  void wait_for_pending(Lock& lock, double longest_s);
  // There is other work for the notifier.
  void wake_notifier() { notifier_.notify_one(); }

 private:
  struct Notification {
    uint64_t leader = 0;
    bool tried = false;  // by a message; the ledger may still bring word of the leader
    int waiting = 0;     // requests
  };

  KnownCancellations known_;
  std::map<std::string, Notification> notifications_;  // by job; while a request waits for it
  std::condition_variable notifier_, changed_;
  bool stopped_ = false;
};

}  // namespace rookdyke
