#pragma once
// Holds back the confirmation of a cancellation until the acting leader is proven to know it
// (docs/design.md, "Cancellations"): what it is proven to know, of which cancellations it still has
// to be notified, and the users' requests that wait for that.

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "leadership/cancellations.h"

namespace rookdyke {

// Sends nothing itself: one thread, CancellationNotifier, asks for what is pending and reports
// outcomes.
//
// It has no mutex of its own, because what it answers depends on the ledger cache and the role too:
// it is part of ControllerState. Every function is called under the owner's lock; those that wait
// release it meanwhile.
class CancellationGate {
 public:
  using Lock = std::unique_lock<std::mutex>;

  // A cancelled job of which its leader has to be notified.
  struct Pending {
    std::string job;
    uint64_t leader = 0;  // held the leader key when the row was written; 0: see the ledger cache
  };

  // -- what the leader is proven to know

  // A leader has read the ledger up to that revision. Wakes the waiting requests.
  void leader_has_read(uint64_t revision);
  uint64_t leader_read_to() const { return known_.read_to(); }
  // The holder of the leader key at the time of the row's write, or a later one, has that row.
  void acknowledge(const std::string& job, uint64_t version) { known_.acknowledge(job, version); }
  // Whether the cancellation in that version of the job's row may be confirmed.
  bool is_known(const std::string& job, uint64_t version) const {
    return known_.contains(job, version);
  }

  // -- for users' requests

  // Has the leader notified, and waits `timeout_s` at most until the cancellation may be confirmed.
  // `leader`: its fencing token, if the caller knows who held the key at the write, or 0. Ends
  // early on `stop`, and when the notification failed and `hopeless` says that the ledger will not
  // show how far the leader has read either.
  bool wait_until_known(Lock& lock, const std::string& job, uint64_t version, uint64_t leader,
                        double timeout_s, const std::function<bool()>& hopeless);
  // Ends all waits, now and later.
  void stop();

  // -- for the notifier

  // The cancellations for which a request waits and no notification was tried yet, by job.
  std::vector<Pending> pending() const;
  // The leader was notified, or cannot be. Requests that wait for the job see it after
  // `wake_waiting`.
  void set_tried(const std::string& job);
  // To be called when what `wait_until_known` waits for may have changed.
  void wake_waiting() { changed_.notify_all(); }
  // Returns once a request begins to wait, after `wake_notifier`, or after `longest_s`. To be
  // called under the same lock under which nothing was pending.
  void wait_for_pending(Lock& lock, double longest_s);
  // There is other work for the notifier.
  void wake_notifier() { notifier_.notify_one(); }

 private:
  struct Notification {
    uint64_t leader = 0;
    bool tried = false;  // by a message; the ledger may still show how far the leader has read
    int waiting = 0;     // requests
  };

  KnownCancellations known_;
  std::map<std::string, Notification> notifications_;  // by job; while a request waits for it
  std::condition_variable notifier_, changed_;
  bool stopped_ = false;
};

}  // namespace rookdyke
