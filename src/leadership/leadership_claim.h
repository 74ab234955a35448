#pragma once
// What a leader's scheduler knows of its own right to decide: its fencing token, and whether
// something has shown that the right is gone. Single-threaded, like the scheduler that owns it.

#include <spdlog/spdlog.h>

#include <cstdint>
#include <string>

namespace rookdyke {

class LeadershipClaim {
 public:
  explicit LeadershipClaim(uint64_t fencing_token) : fencing_token_(fencing_token) {}

  uint64_t fencing_token() const { return fencing_token_; }
  bool is_lost() const { return lost_; }
  // A newer leader has acted, or the ledger contradicts us. Final: the owner steps down.
  void lose(const std::string& reason) {
    if (!lost_) spdlog::warn("leadership given up: {}", reason);
    lost_ = true;
  }

 private:
  uint64_t fencing_token_;
  bool lost_ = false;
};

}  // namespace rookdyke
