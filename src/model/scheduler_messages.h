#pragma once
// What the scheduler asks of the daemon: replies to heartbeats, direct commands, transactions and
// rentals. Plain data; the daemon carries each out and gives its outcome back to the scheduler.

#include <cstdint>
#include <string>
#include <vector>

#include "ledger/rows.h"
#include "model/types.h"

namespace rookdyke {

struct HeartbeatReply {
  // outdated: a newer heartbeat has been handled, no reply is expected. deposed: the worker has
  // seen the token of a newer leader.
  enum class Verdict : uint8_t { accepted, outdated, deposed } verdict = Verdict::accepted;
  std::vector<WorkerCommand> commands;
};

// Commands (none: only our fencing token) sent straight to a worker, without waiting for its next
// heartbeat.
struct DirectCommand {
  Index machine = kNone;
  std::string addr;
  uint64_t epoch = 0;  // the worker refuses the call in any other
  std::vector<WorkerCommand> commands;
};

// A transaction on the state service.
struct PendingTransaction {
  uint64_t id = 0;
  ledger::Transaction transaction;
  bool resend = false;  // an earlier copy may still be executed: it goes out unchanged
};

// A request for so many machines of a kind, under a name that makes it idempotent.
struct RentalRequest {
  std::string name, type, zone;
  bool spot = false;
  int count = 0;
};

// What the cloud answered. unknown: no answer came, the call may have been carried out.
enum class CloudOutcome : uint8_t { done, no_capacity, refused, indeterminate };

}  // namespace rookdyke
