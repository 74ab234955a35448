#pragma once
// Tracks which cancellations may be confirmed to users, and the time up to which a leader knows
// every confirmed cancellation. The invariant that both uphold, and the argument for it, are in
// docs/design.md, "Cancellations". No function reads a clock: times are passed in, in seconds of
// the steady clock. Not thread-safe: the owner's lock must be held.

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace rookdyke {

// The cancellations that the acting leader is certain to know. Only these are confirmed to users: a
// leader that cannot read the state service keeps replying to heartbeats, and would never stop the
// tasks of a cancellation that it does not know.
class KnownCancellations {
 public:
  // Records that a leader has read the ledger up to `revision`. Later leaders load the ledger, so
  // they know at least as much.
  void on_leader_read(uint64_t revision) {
    if (revision <= leader_read_revision_) return;
    leader_read_revision_ = revision;
    std::erase_if(acknowledged_,
                  [this](const auto& e) { return e.second <= leader_read_revision_; });
  }
  uint64_t leader_read_revision() const { return leader_read_revision_; }
  // Records that `version` of the job's row is known to the controller that held the leader key
  // when the row was written, or to a later leader.
  void acknowledge(const std::string& job, uint64_t version) {
    if (version <= leader_read_revision_) return;
    uint64_t& known = acknowledged_[job];
    known = std::max(known, version);
  }
  // Whether the cancellation in `version` of the job's row may be confirmed to users.
  bool contains(const std::string& job, uint64_t version) const {
    if (version <= leader_read_revision_) return true;
    auto it = acknowledged_.find(job);
    return it != acknowledged_.end() && it->second >= version;
  }

 private:
  uint64_t leader_read_revision_ = 0;
  std::unordered_map<std::string, uint64_t> acknowledged_;  // version of the row, by job
};

// The time up to which a leader knows every cancellation that was confirmed to a user. Three events
// advance it:
// - The leader reads the ledger.
// - The leader renews its lease: no cancellation is confirmed without the holder of the leader key.
// - During an outage of the state service, all peer controllers respond. A peer has confirmed no
//   cancellation without this leader if it knows no higher fencing token and has not restarted
//   since the last such event.
class CancellationStaleness {
 public:
  explicit CancellationStaleness(std::vector<std::string> peers = {}, double now = -1e9)
      : peers_(std::move(peers)), known_until_(now) {}

  // For the only controller of a deployment, whose knowledge is never stale: no other controller
  // confirms cancellations to users, and a cancellation that its predecessors confirmed was durable
  // by then, so it was loaded with the ledger.
  static CancellationStaleness of_only_controller() {
    return CancellationStaleness({}, std::numeric_limits<double>::infinity());
  }

  // Records that every cancellation confirmed before `time` is known, for one of the reasons above.
  void advance_to(double time) { known_until_ = std::max(known_until_, time); }
  // `peer` responded to a request sent at `sent_at`. `incarnation` identifies its process (empty:
  // not given), `fencing_token` is the highest that it knows, `own_token` the one of this
  // controller (0: none).
  void on_peer_response(const std::string& peer, const std::string& incarnation,
                        uint64_t fencing_token, uint64_t own_token, double sent_at, double now) {
    PeerStatus& status = peer_statuses_[peer];
    // What an earlier process of the peer confirmed is unknown.
    if (incarnation.empty() || status.incarnation != incarnation)
      status = {incarnation, now, sent_at};
    status.last_sent_at = std::max(status.last_sent_at, sent_at);
    status.fencing_token = fencing_token;
    if (own_token > 0) advance_from_peers(own_token);
  }
  // The time up to which every confirmed cancellation is known.
  double known_until() const { return known_until_; }

 private:
  struct PeerStatus {
    std::string incarnation;
    // When the first response of this incarnation arrived, and when the latest request to which it
    // responded was sent.
    double first_response_at = 0, last_sent_at = 0;
    uint64_t fencing_token = 0;
  };
  void advance_from_peers(uint64_t own_token) {
    if (peers_.empty()) return;
    double until = 1e18;
    for (const std::string& peer : peers_) {
      auto it = peer_statuses_.find(peer);
      if (it == peer_statuses_.end()) return;
      const PeerStatus& status = it->second;
      if (status.incarnation.empty() || status.first_response_at > known_until_ ||
          status.fencing_token > own_token)
        return;
      until = std::min(until, status.last_sent_at);
    }
    advance_to(until);
  }

  std::vector<std::string> peers_;
  std::map<std::string, PeerStatus> peer_statuses_;  // by label
  double known_until_;
};

// The staleness bound in seconds: a leader extends workers' leases only while its knowledge of
// cancellations is no older than this. The tasks of a job that was cancelled without its knowledge
// then end with their machine's lease, within `cancel_s` of the cancellation.
inline double staleness_bound(double cancel_s, double lease_s) {
  constexpr double kDriftFactor = 1.001;  // steady clocks drift apart by up to 0.05%
  constexpr double kProcessingDelayS = 1;
  constexpr double kMinBoundS = 2;
  return std::max(kMinBoundS, cancel_s / kDriftFactor - lease_s * kDriftFactor - kProcessingDelayS);
}

}  // namespace rookdyke
