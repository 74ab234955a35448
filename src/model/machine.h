#pragma once
// A machine as the leader knows it: what the cloud and its worker said of it, and how well it can
// be reached. Plain data owned by MachineTable, which alone changes `state`; TaskLifecycle alone
// changes `tasks` and `used`.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "model/states.h"
#include "model/types.h"
#include "workers/command_acknowledgement.h"

namespace rookdyke {

// An image in a machine's cache.
struct CachedImage {
  double last_used = 0;
  double size_gb = 0;
};

struct Machine {
  // Identity.
  Index index = kNone;
  std::string name, addr;
  Index type = kNone, zone = kNone;
  bool spot = false;

  // Life.
  MachineState state = MachineState::booting;
  double rented_at = 0;
  double draining_since = 0;
  double reclaim_at = -1;  // when the cloud takes it; negative: no notice
  bool listed = false;     // seen in the cloud's list, or unlisted since `unlisted_at`
  double unlisted_at = -1;
  bool cordoned = false;   // never used again
  bool returning = false;  // a return call is under way
  double return_after = 0;

  // Heartbeats.
  bool registered = false;  // a heartbeat of it carried this leader's token
  bool was_up = false;      // the ledger has attempts on it, or it sent a heartbeat
  double last_heartbeat = 0;
  uint64_t epoch = 0, seq = 0;  // of the last heartbeat
  HeartbeatId last_heartbeat_id() const { return {epoch, seq}; }

  // Heartbeats with an older token than ours, though they were answered; none once registered.
  double older_token_since = -1;
  int heartbeats_with_older_token = 0;
  double last_older_token_at = 0;   // the last that was counted
  HeartbeatId last_older_token_id;  // the latest

  // Commands.
  CommandAcknowledgement acknowledgement;  // of the replies to its heartbeats
  double unacknowledged_since = -1;
  bool direct_in_flight = false;
  // Attempts for which a direct command stays unanswered: a late copy may be executed as long as
  // token and epoch hold, and would start a cleared attempt anew, so these are never cleared.
  std::set<AttemptRef> indeterminate_starts;
  // Whether its worker does not receive our replies, however regularly its heartbeats arrive.
  bool is_unreachable() const { return acknowledgement.is_unreachable(); }

  // What is on it.
  Resources used;                                 // by attempts that have not ended
  std::vector<std::pair<Index, uint32_t>> tasks;  // (job, task) of attempts that have not ended
  std::map<Index, CachedImage> images;            // by image
  bool has_unknown_tasks = false;  // tasks that the ledger does not know; nothing new meanwhile

  // Faults and reservations.
  std::set<Index> failed_jobs;  // distinct jobs that failed here since a success
  double suspect_until = 0;
  Index reserved_for = kNone;  // a job that others were stopped for
  double reserved_until = 0;

  bool is_usable() const {
    return state == MachineState::ready && registered && !cordoned && !has_unknown_tasks &&
           !is_unreachable();
  }
};

}  // namespace rookdyke
