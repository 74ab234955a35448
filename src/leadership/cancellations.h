#pragma once
// What has to be so before a user may hear that a job is cancelled, and up to which moment a leader
// knows of every cancellation that any user was told of. The invariant that both keep, with its
// argument, is in docs/design.md, "Cancellations". Pure, like the scheduler; whoever owns them
// locks.

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace rookdyke {

// Which cancellations the acting leader is known to know. A user hears "aborted" of no other: a
// leader that the state service refuses would go on answering workers, and never stop those tasks.
class KnownCancellations {
 public:
  // A leader has read the ledger up to here. What it has read, every later one has loaded.
  void read_to(uint64_t revision) {
    if (revision <= read_to_) return;
    read_to_ = revision;
    std::erase_if(acknowledged_, [this](const auto& e) { return e.second <= read_to_; });
  }
  uint64_t read_to() const { return read_to_; }
  // Whoever held the leader key when the job's row was written, or later, has that row.
  void acknowledge(const std::string& job, uint64_t version) {
    if (version <= read_to_) return;
    uint64_t& known = acknowledged_[job];
    known = std::max(known, version);
  }
  // Whether the row of a cancelled job, which bears that version, may be told.
  bool has(const std::string& job, uint64_t version) const {
    if (version <= read_to_) return true;
    auto it = acknowledged_.find(job);
    return it != acknowledged_.end() && it->second >= version;
  }

 private:
  uint64_t read_to_ = 0;
  std::unordered_map<std::string, uint64_t> acknowledged_;  // by job: version of its row
};

// A leader's proof that no user was told of a cancellation before some moment that it does not know
// of. The ledger gives it; so does the lease, since nobody says "aborted" past the holder of the
// leader key. In an outage the siblings give it, if all of them do: one that knows no token above
// ours, and has not been restarted since an earlier proof, has told nobody without us.
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

  // The ledger was read, or our lease kept, by a request that was sent then.
  void proven(double sent) { proven_ = std::max(proven_, sent); }
  // A sibling answered a request that was sent then. `incarnation` names its process, `token` is
  // the highest that it knows, `ours` the one that we hold (0: none).
  void on_sibling_answer(const std::string& sibling, const std::string& incarnation,
                         uint64_t fencing_token, uint64_t ours, double sent, double now) {
    SiblingProof& v = sibling_proofs_[sibling];
    if (incarnation.empty() || v.incarnation != incarnation)
      v = {incarnation, now, sent};  // what its predecessor told, nobody knows any more
    v.until = std::max(v.until, sent);
    v.fencing_token = fencing_token;
    if (ours > 0) advance(ours);
  }
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

// For how long past its staleness bound a leader may keep workers' leases alive: the tasks of a job
// cancelled behind its back are gone with their lease, within cancel_s. Steady clocks drift by
// 0.05%; a second is for our own delays.
inline double staleness_limit(double cancel_s, double lease_s) {
  constexpr double kDrift = 1.001, kDelay = 1, kLeast = 2;
  return std::max(kLeast, cancel_s / kDrift - lease_s * kDrift - kDelay);
}

}  // namespace rookdyke
