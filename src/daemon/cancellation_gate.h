#pragma once
// Delays the confirmation of a cancellation to its user until the acting leader is proven to know
// it (docs/design.md, "Cancellations"). The gate records which cancellations the leader is proven
// to know, which ones it still has to be notified of, and which user requests wait for a
// confirmation.

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "leadership/cancellations.h"

namespace rookdyke {

// The gate sends no messages: the thread of CancellationNotifier sends the pending notifications
// and records their outcomes here.
//
// The gate has no mutex of its own: it is part of ControllerState, because its results also depend
// on the ledger cache and the role. Every function must be called with the owner's lock held; the
// functions that wait release it meanwhile.
class CancellationGate {
 public:
  using Lock = std::unique_lock<std::mutex>;

  // A cancelled job that the leader has to be notified of.
  struct PendingNotification {
    std::string job;
    // Fencing token of the leader at the time of the row's write; 0: unknown, the leader named in
    // the ledger cache is notified, if the cache is at least as recent as the row.
    uint64_t leader_token = 0;
  };

  // -- what the leader is proven to know

  // Records that a leader has read the ledger up to `revision`, and wakes the waiting requests.
  void on_leader_read(uint64_t revision);
  uint64_t leader_read_revision() const { return known_cancellations_.leader_read_revision(); }
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
  // of the write; 0: unknown. Returns early in two cases: after `stop`, and when the notification
  // is finished while `ledger_unavailable` returns true, because then neither an acknowledgement
  // nor the ledger will show that the leader knows the cancellation.
  bool wait_until_known(Lock& lock, const std::string& job, uint64_t version, uint64_t leader_token,
                        double timeout_s, const std::function<bool()>& ledger_unavailable);
  // Ends all present and later waits.
  void stop();

  // -- for the notifier

  // The cancellations with a waiting request and an unfinished notification, ordered by job.
  std::vector<PendingNotification> pending() const;
  // Marks the notification as finished: it was sent, whether or not the leader acknowledged it, or
  // it cannot be sent. Waiting requests see this after `wake_waiters`.
  void mark_notification_finished(const std::string& job);
  // Makes the waiting requests check their conditions again.
  void wake_waiters() { state_changed_.notify_all(); }
  // Returns when a request begins to wait, after `wake_notifier`, or after `timeout_s`. To be
  // called with the lock still held under which `pending` returned nothing.
  void wait_for_pending(Lock& lock, double timeout_s);
  // Ends `wait_for_pending` because the notifier has other work.
  void wake_notifier() { notifier_wakeup_.notify_one(); }

 private:
  struct Notification {
    uint64_t leader_token = 0;
    // No further message is sent to the leader. The ledger may still show that the leader has read
    // the row.
    bool finished = false;
    int waiters = 0;  // number of waiting requests
  };

  KnownCancellations known_cancellations_;
  std::map<std::string, Notification> notifications_;  // by job; exists while a request waits
  std::condition_variable notifier_wakeup_, state_changed_;
  bool stopped_ = false;
};

}  // namespace rookdyke
