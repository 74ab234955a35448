#pragma once
// The leadership of one scheduler: its fencing token, up to which revision of the ledger it is
// known to have lasted, and whether it has been found lost. Single-threaded, like the scheduler
// that owns it.

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdint>
#include <string>

namespace rookdyke {

class LeadershipClaim {
 public:
  explicit LeadershipClaim(uint64_t fencing_token)
      : fencing_token_(fencing_token), confirmed_revision_(fencing_token) {}

  // The token of this term: the revision of the leader key.
  uint64_t fencing_token() const { return fencing_token_; }
  // The highest revision at which the leader key is known to have been this leader's. The key gets
  // a higher revision with every later leader, so all tokens up to this one are this leader's or
  // its predecessors', and this leader may use those above its own like its own.
  uint64_t confirmed_revision() const { return confirmed_revision_; }
  // To be called with the revision of an applied transaction that had this leader's key as a
  // condition.
  void confirm(uint64_t revision) { confirmed_revision_ = std::max(confirmed_revision_, revision); }
  // Whether a token can only be that of a newer leader.
  bool is_of_newer_leader(uint64_t token) const { return token > confirmed_revision_; }
  bool is_lost() const { return lost_; }
  // To be called when a newer leader has acted, or when the ledger contradicts the scheduler's
  // state. Final: the owner steps down.
  void lose(const std::string& reason) {
    if (!lost_) spdlog::warn("leadership lost: {}", reason);
    lost_ = true;
  }

 private:
  uint64_t fencing_token_;
  uint64_t confirmed_revision_;
  bool lost_ = false;
};

}  // namespace rookdyke
