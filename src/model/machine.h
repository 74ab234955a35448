#pragma once
// A machine as the leader keeps it: what was reported of it, and what is known of its reachability.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "model/states.h"
#include "model/types.h"

namespace rookdyke {

// After so many reports that took up nothing of what they were answered a machine is taken to be
// out of reach, however regularly it reports.
inline constexpr int kUnreachableAfterHeartbeats = 2;

struct Machine {
  Index index = kNone;
  std::string name, addr;
  Index type = kNone, zone = kNone;
  bool spot = false;
  MachineState state = MachineState::booting;
  double rented_at = 0;
  double last_heartbeat = 0;
  double draining_since = 0;
  double reclaim_at = -1;  // when the cloud takes it; negative: no notice
  uint64_t epoch = 0, seq = 0;
  bool registered = false;  // a report of it carried this leader's token
  bool was_up = false;      // the ledger has attempts on it, or it reported
  bool listed = false;      // seen in the cloud's list, or unlisted since `unlisted_at`
  double unlisted_at = -1;
  bool cordoned = false;           // never used again
  bool has_unknown_tasks = false;  // holds tasks the ledger does not know; nothing new until gone
  // Attempts for which a direct command stays unanswered: a late copy may be executed as long as
  // token and session hold, and would start a cleared attempt anew, so these are never cleared.
  std::set<std::tuple<std::string, uint32_t, uint64_t>> unanswered_starts;
  // What the answer to its last report ordered; the next report shows whether it arrived.
  std::vector<std::tuple<CommandKind, std::string, uint32_t, uint64_t>> unacknowledged_commands;
  int heartbeats_without_acknowledgement = 0;  // reports in a row that took up nothing of it
  double unacknowledged_since = -1;
  double older_token_since = -1;  // reports with an older token than ours since, though answered
  int heartbeats_with_older_token = 0;
  double older_token_at = 0;  // the last that was counted
  uint64_t older_token_epoch = 0, older_token_seq = 0;
  int token_announcements = 0;  // direct calls that told it our token, unasked
  double announce_token_at = 0;
  bool unreachable() const {
    return heartbeats_without_acknowledgement >= kUnreachableAfterHeartbeats;
  }
  bool direct_in_flight = false;
  double direct_commands_after =
      0;                   // after a direct command failed, reports carry the orders for a while
  bool returning = false;  // a return call is under way
  double return_after = 0;
  Resources used;                                     // by attempts that are not ended
  std::vector<std::pair<Index, uint32_t>> tasks;      // (job, task) of attempts that are not ended
  std::map<Index, std::pair<double, double>> images;  // image -> (last used, size)
  std::set<Index> failed_jobs;  // distinct jobs that failed here since a success
  double suspect_until = 0;
  Index reserved_for = kNone;  // a job that others were stopped for
  double reserved_until = 0;
  bool usable() const {
    return state == MachineState::ready && registered && !cordoned && !has_unknown_tasks &&
           !unreachable();
  }
};

}  // namespace rookdyke
