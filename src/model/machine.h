#pragma once
// The leader's in-memory state of a machine: what the cloud and its worker reported, and whether
// the worker is reachable. Plain data owned by MachineTable. Only MachineTable changes `state`, and
// only TaskLifecycle changes `tasks` and `used`.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "model/states.h"
#include "model/types.h"
#include "workers/command_fence.h"
#include "workers/reply_tracker.h"

namespace rookdyke {

// An image in a machine's cache.
struct CachedImage {
  double last_used = 0;
  double size_gb = 0;
};

struct Machine {
  // Identity.
  Index index = kNone;
  std::string name, addr;  // addr: where its worker accepts direct commands; empty: unknown
  Index type = kNone, zone = kNone;
  bool spot = false;
  MachineAttributes attributes() const { return {type, zone, spot}; }

  // Rental.
  MachineState state = MachineState::booting;
  double rented_at = 0;  // first seen, if the time of the rental is unknown
  double draining_since = 0;
  double reclaim_at = -1;   // when the cloud reclaims it; negative: no reclaim notice
  bool listed = false;      // has been in the cloud's list at least once
  double unlisted_at = -1;  // missing from the cloud's list since then; negative: not missing
  bool cordoned = false;    // faulty or about to be reclaimed: accepts no new tasks any more
  bool returning = false;   // a return request is in flight
  double return_after = 0;  // earliest time of the next return request

  // Heartbeats.
  bool registered = false;  // has sent a heartbeat with this leader's fencing token
  // It sent a heartbeat, the cloud listed it as running, or the ledger has attempts on it.
  bool was_up = false;
  double last_heartbeat = 0;    // the heartbeat timeout starts here
  uint64_t epoch = 0, seq = 0;  // of the last heartbeat or response to a direct command
  HeartbeatId last_heartbeat_id() const { return {epoch, seq}; }

  // Heartbeats that this leader replied to and that carry the fencing token of an earlier leader.
  // Not recorded once the machine is registered.
  double older_token_since = -1;  // time of the first; negative: none
  int heartbeats_with_older_token = 0;
  double last_older_token_at = 0;   // time of the last one that was counted
  HeartbeatId last_older_token_id;  // the latest one, counted or not

  // Commands.
  ReplyTracker replies;           // whether its worker receives the replies to its heartbeats
  CommandFence fence;             // the fencing token of its commands
  bool direct_in_flight = false;  // a call with direct commands is in flight
  // Whether its worker seems not to receive replies, although heartbeats arrive.
  bool is_unreachable() const { return replies.is_unreachable(); }

  // Tasks and images.
  // Its worker lists attempts that the leader does not know. It accepts no new tasks meanwhile.
  bool has_unknown_tasks = false;
  Resources used;                                 // by attempts that have not ended
  std::vector<std::pair<Index, uint32_t>> tasks;  // (job, task) of attempts that have not ended
  std::map<Index, CachedImage> images;            // cached images, by image index

  // Faults and reservations.
  std::set<Index> failed_jobs;  // jobs that failed here since a task last succeeded here
  double suspect_until = 0;     // accepts no new tasks until then, after an error
  Index reserved_for = kNone;   // a job that has preempted tasks here or has waited long
  double reserved_until = 0;

  // Whether tasks may be placed on it, as far as its state and its worker are concerned.
  bool is_usable() const {
    return state == MachineState::ready && registered && !cordoned && !has_unknown_tasks &&
           !is_unreachable();
  }
};

}  // namespace rookdyke
