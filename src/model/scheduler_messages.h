#pragma once
// Requests of the scheduler to the daemon: heartbeat replies, direct commands, transactions and
// rentals. Plain data; the daemon executes each request and reports its outcome to the scheduler.

#include <cstdint>
#include <string>
#include <vector>

#include "ledger/rows.h"
#include "model/types.h"

namespace rookdyke {

struct HeartbeatReply {
  // outdated: a newer heartbeat of the machine has been handled, and the worker no longer waits for
  // this reply. deposed: the worker has seen the fencing token of a newer leader.
  enum class Verdict : uint8_t { accepted, outdated, deposed } verdict = Verdict::accepted;
  uint64_t fencing_token = 0;  // the worker drops the reply if it has seen a higher one
  std::vector<WorkerCommand> commands;
};

// Commands that the leader sends to a worker on its own connection, without waiting for the next
// heartbeat. Without commands, the call only announces the leader's fencing token.
struct DirectCommand {
  Index machine = kNone;
  std::string addr;
  uint64_t epoch = 0;          // the worker refuses the call if its epoch is a different one
  uint64_t fencing_token = 0;  // or if it has seen a higher token
  std::vector<WorkerCommand> commands;
};

// A transaction for the state service.
struct PendingTransaction {
  uint64_t id = 0;
  ledger::Transaction transaction;
  // An earlier copy may have been executed or may still be. The transaction is sent unchanged.
  bool resend = false;
};

// A request to rent `count` machines of one type, zone and kind (spot or on-demand). Its name makes
// it idempotent.
struct RentalRequest {
  std::string name, type, zone;
  bool spot = false;
  int count = 0;
};

// Outcome of a rental or return. refused: the cloud did not execute the request. indeterminate: the
// response was lost, and the request may have been executed.
enum class CloudOutcome : uint8_t { done, no_capacity, refused, indeterminate };

}  // namespace rookdyke
