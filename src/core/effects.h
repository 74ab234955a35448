#pragma once
// What the core asks of the daemon: answers to workers, direct commands, transactions, rentals.

#include <cstdint>
#include <string>
#include <vector>

#include "core/ledger.h"
#include "core/types.h"

namespace rookdyke {

struct ReportReply {
  enum class Verdict : uint8_t { taken, old, deposed } verdict = Verdict::taken;
  std::vector<Order> orders;
};

// Orders (none: only our token) sent straight to a worker, without waiting for its next report.
struct DirectCommand {
  Index machine = kNone;
  std::string addr;
  uint64_t session = 0;
  std::vector<Order> orders;
};

struct PendingTransaction {
  uint64_t id = 0;
  ledger::Transaction txn;
  bool repeat = false;  // an earlier copy may still be executed: it goes out unchanged
};

struct RentalRequest {
  std::string name, type, zone;
  bool spot = false;
  int count = 0;
};

enum class CloudOutcome : uint8_t { done, no_capacity, refused, unknown };

}  // namespace rookdyke
