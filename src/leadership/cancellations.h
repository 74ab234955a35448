#pragma once
// Which cancellations may be confirmed to users, and up to which moment a leader has proof of
// knowing every cancellation that was. The invariant that both keep, with its argument, is in
// docs/design.md, "Cancellations". Pure: all moments are passed in, in seconds of the steady clock.
// Not thread-safe: used under the owner's lock.

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace rookdyke {

// The cancellations that the acting leader is proven to know. No other is confirmed to a user: a
// leader that cannot read the state service would go on answering workers, and never stop those
// tasks.
class KnownCancellations {
 public:
  // A leader has read the ledger up to this revision. What it has read, every later one has loaded.
  void read_to(uint64_t revision) {
    if (revision <= read_to_) return;
    read_to_ = revision;
    std::erase_if(acknowledged_, [this](const auto& e) { return e.second <= read_to_; });
  }
  uint64_t read_to() const { return read_to_; }
  // The holder of the leader key at the time of the row's write, or a later one, has that row.
  void acknowledge(const std::string& job, uint64_t version) {
    if (version <= read_to_) return;
    uint64_t& known = acknowledged_[job];
    known = std::max(known, version);
  }
  // Whether the cancellation in that version of the job's row may be confirmed.
  bool has(const std::string& job, uint64_t version) const {
    if (version <= read_to_) return true;
    auto it = acknowledged_.find(job);
    return it != acknowledged_.end() && it->second >= version;
  }

 private:
  uint64_t read_to_ = 0;
  std::unordered_map<std::string, uint64_t> acknowledged_;  // by job: version of its row
};

// The moment up to which a leader has proof of knowing every cancellation that was confirmed to a
// user. A read of the ledger proves it; so does a renewed lease, since no cancellation is confirmed
// without the holder of the leader key. In an outage the siblings prove it, if all of them do: one
// that knows no higher token than this leader's, and was not restarted since an earlier proof, has
// confirmed none without it.
class CancellationStaleness {
 public:
  explicit CancellationStaleness(std::vector<std::string> siblings = {}, double now = -1e9)
      : siblings_(std::move(siblings)), proven_(now) {}

  // The proof of a deployment's only controller, which is never out of date: nobody else confirms
  // cancellations to users, and what its own predecessors confirmed was durable before that, so it
  // was loaded with the ledger.
  static CancellationStaleness of_only_controller() {
    return CancellationStaleness({}, std::numeric_limits<double>::infinity());
  }

  // The ledger was read, or the lease renewed, by a request that was sent then.
  void proven(double sent) { proven_ = std::max(proven_, sent); }
  // A sibling answered a request that was sent then. `incarnation` names its process (empty: not
  // told), `fencing_token` is the highest that it knows, `ours` this controller's (0: none).
  void on_sibling_answer(const std::string& sibling, const std::string& incarnation,
                         uint64_t fencing_token, uint64_t ours, double sent, double now) {
    SiblingProof& v = sibling_proofs_[sibling];
    if (incarnation.empty() || v.incarnation != incarnation)
      v = {incarnation, now, sent};  // nobody knows any more what its predecessor confirmed
    v.until = std::max(v.until, sent);
    v.fencing_token = fencing_token;
    if (ours > 0) advance(ours);
  }
  // The moment up to which there is proof.
  double at() const { return proven_; }

 private:
  struct SiblingProof {
    std::string incarnation;
    double since = 0, until = 0;
    uint64_t fencing_token = 0;
  };
  void advance(uint64_t ours) {
    if (siblings_.empty()) return;
    double until = 1e18;
    for (const std::string& s : siblings_) {
      auto it = sibling_proofs_.find(s);
      if (it == sibling_proofs_.end()) return;
      const SiblingProof& v = it->second;
      if (v.incarnation.empty() || v.since > proven_ || v.fencing_token > ours) return;
      until = std::min(until, v.until);
    }
    proven(until);
  }

  std::vector<std::string> siblings_;
  std::map<std::string, SiblingProof> sibling_proofs_;
  double proven_;
};

// For how many seconds past that moment a leader may keep workers' leases alive: the tasks of a job
// that was cancelled without its knowledge end with their machine's lease, within cancel_s.
inline double staleness_limit(double cancel_s, double lease_s) {
  constexpr double kDrift = 1.001;  // steady clocks drift apart by up to 0.05%
  constexpr double kDelayS = 1;     // of this process
  constexpr double kLowestLimitS = 2;
  return std::max(kLowestLimitS, cancel_s / kDrift - lease_s * kDrift - kDelayS);
}

}  // namespace rookdyke
