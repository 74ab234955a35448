#pragma once
// Delays the confirmation of a cancellation to its user until the acting leader is proven to know
// it (docs/design.md, "Cancellations"). Keeps what the leader is proven to know, the cancellations
// that it still has to be notified of, and the user requests that wait for either.

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "leadership/cancellations.h"

namespace rookdyke {

// Sends nothing itself: the thread of CancellationNotifier takes the pending notifications and
// reports their outcomes.
//
// Has no mutex of its own: it is part of ControllerState, because its results also depend on the
// ledger cache and the role. Every function is called with the owner's lock held; the functions
// that wait release the lock while they do.
class CancellationGate {
 public:
  using Lock = std::unique_lock<std::mutex>;

  // A cancelled job that the leader has to be notified of.
  struct Pending {
    std::string job;
    // Fencing token of the leader at the time of the row's write; 0: to be read from the ledger
    // cache.
    uint64_t leader_token = 0;
  };

  // -- what the leader is proven to know

  // Records that a leader has read the ledger up to `revision`, and wakes the waiting requests.
  void on_leader_read(uint64_t revision);
  uint64_t leader_read_to() const { return known_cancellations_.read_to(); }
  // Records that the leader at the time of the row's write, or a later one, has this version of
  // the job's row.
  void acknowledge(const std::string& job, uint64_t version) {
    known_cancellations_.acknowledge(job, version);
  }
  // Whether the cancellation in this version of the job's row may be confirmed.
  bool is_known(const std::string& job, uint64_t version) const {
    return known_cancellations_.contains(job, version);
  }

  // -- for user requests

  // Requests a notification of the leader, and waits at most `timeout_s` until the cancellation may
  // be confirmed. Returns whether it may. `leader_token`: fencing token of the leader at the time
  // of the write; 0: unknown. Returns early after `stop`, and once the notification is finished and
  // `ledger_unavailable` returns true: then the ledger will not show how far the leader has read
  // either.
  bool wait_until_known(Lock& lock, const std::string& job, uint64_t version, uint64_t leader_token,
                        double timeout_s, const std::function<bool()>& ledger_unavailable);
  // Ends all present and later waits.
  void stop();

  // -- for the notifier

  // The cancellations with a waiting request and an unfinished notification, ordered by job.
  std::vector<Pending> pending() const;
  // Marks the notification as finished: the leader was notified, or cannot be. Waiting requests see
  // this after `wake_waiters`.
  void mark_notification_finished(const std::string& job);
  // Makes the waiting requests check their conditions again.
  void wake_waiters() { state_changed_.notify_all(); }
  // Returns when a request begins to wait, after `wake_notifier`, or after `longest_s`. To be
  // called with the lock still held under which `pending` returned nothing.
  void wait_for_pending(Lock& lock, double longest_s);
  // Ends `wait_for_pending` because the notifier has other work.
  void wake_notifier() { notifier_wakeup_.notify_one(); }

 private:
  struct Notification {
    uint64_t leader_token = 0;
    // Only the message to the leader; the ledger may still show how far the leader has read.
    bool finished = false;
    int waiters = 0;  // requests
  };

  KnownCancellations known_cancellations_;
  std::map<std::string, Notification> notifications_;  // by job; exists while a request waits
  std::condition_variable notifier_wakeup_, state_changed_;
  bool stopped_ = false;
};

}  // namespace rookdyke
