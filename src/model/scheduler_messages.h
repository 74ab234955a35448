#pragma once
// What the scheduler asks of the daemon: answers to workers, direct commands, transactions,
// rentals.

#include <cstdint>
#include <string>
#include <vector>

#include "ledger/rows.h"
#include "model/types.h"

namespace rookdyke {

struct HeartbeatReply {
  enum class Verdict : uint8_t { accepted, outdated, deposed } verdict = Verdict::accepted;
  std::vector<WorkerCommand> commands;
};

// Orders (none: only our token) sent straight to a worker, without waiting for its next report.
struct DirectCommand {
  Index machine = kNone;
  std::string addr;
  uint64_t epoch = 0;
  std::vector<WorkerCommand> commands;
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
