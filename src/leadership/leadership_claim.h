#pragma once
// The leadership of one scheduler: its fencing token, and whether the leadership has been found
// lost. Single-threaded, like the scheduler that owns it.

#include <spdlog/spdlog.h>

#include <cstdint>
#include <string>

namespace rookdyke {

class LeadershipClaim {
 public:
  explicit LeadershipClaim(uint64_t fencing_token) : fencing_token_(fencing_token) {}

  uint64_t fencing_token() const { return fencing_token_; }
  bool is_lost() const { return lost_; }
  // To be called when a newer leader has acted, or when the ledger contradicts the scheduler's
  // state. Final: the owner steps down.
  void lose(const std::string& reason) {
    if (!lost_) spdlog::warn("leadership lost: {}", reason);
    lost_ = true;
  }

 private:
  uint64_t fencing_token_;
  bool lost_ = false;
};

}  // namespace rookdyke
