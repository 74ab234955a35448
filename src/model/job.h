#pragma once
// A job as the leader keeps it, with the attempts of its tasks.

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <set>
#include <vector>

#include "ledger/page.h"
#include "ledger/rows.h"
#include "model/states.h"
#include "model/types.h"

namespace rookdyke {

struct Attempt {
  uint32_t task = 0;
  uint64_t number = 0;
  Index machine = kNone;
  uint64_t epoch = 0;
  AttemptState state = AttemptState::proposed;
  ExitCause cause = ExitCause::none;
  bool stop_requested = false;  // it is to leave its machine
  double grace_s = 0;           // with this much time to save
  double since = 0;             // proposed or taken over at
  double running_since = 0;
  bool known_healthy = false;         // a replica that ran for long enough to show that it can
  bool preemption_exempt = false;     // its job had starved: not to be stopped for higher ranks
  bool direct_start_pending = false;  // a `run` sent straight to its worker may still be executed
};

// The page that some consecutive tasks of a job lie in; kNone: never written.
struct ChunkLocation {
  uint32_t count = 0;  // of tasks
  Index page = kNone;
};

// A job's place in the queue and its turn there. Written by placement alone.
struct JobPlacement {
  bool guaranteed = false;                // within its team's guarantee, as of this round
  double queue_key = 0;                   // as of this round, smallest first
  double last_start = -1;                 // a task of it was last placed, or its turn was over
  uint32_t starvation_allowance = 0;      // a starved array's: tasks that it may still begin
  double next_reservation_search_at = 0;  // machines to reserve are looked for no earlier
};

struct Job {
  Index id = kNone;
  JobSpec spec;
  Index job_class = kNone, team = kNone, image = kNone, zone = kNone;
  std::vector<bool> types;  // allowed, by type index; empty: any
  JobState state = JobState::open;
  uint64_t version = 0;
  double timestamp_s = 0;
  double accepted_at = 0;   // on our clock: when it was accepted, as far as times of day can tell
  uint32_t chunk_size = 1;  // tasks a chunk, as the job's row has it
  std::set<uint32_t> waiting;            // tasks without an attempt
  std::map<uint32_t, Attempt> attempts;  // at most one per task, ever (rule ran_twice)
  ledger::TaskSet done;
  uint32_t done_count = 0;
  uint32_t proposed = 0;                     // attempts whose start is not durable yet
  uint64_t highest_attempt = 0;              // highest attempt number used
  std::map<uint32_t, ChunkLocation> chunks;  // by first task; together they hold all tasks
  uint32_t in_flight_transactions = 0;  // transactions under way that name its row or its attempts
  bool needs_prompt_start = false;      // its class is promised a prompt start
  double stale_since = -1;              // its row changed under us: the watch has to bring it
  double share = 0;                     // of the smallest machine that a task takes
  std::vector<double> start_objectives_s;  // what its class is promised of starting
  double replica_missing_since = -1;       // a service's: a replica of it has last ended
  JobPlacement placement;
  double cancelled_at = -1;
  double back_off_until = 0;        // back-off after errors of its own
  double retry_at = 0;              // after a refused transaction
  std::set<Index> failed_machines;  // machines where it failed since it last succeeded
  uint32_t errors = 0;
  uint32_t tasks() const { return spec.tasks; }
  PageKind page_kind() const {
    if (is_service()) return PageKind::service;
    return needs_prompt_start ? PageKind::prompt_start : PageKind::regular;
  }
  bool is_gang() const { return spec.shape == JobShape::gang; }
  bool is_finished() const { return state == JobState::done || state == JobState::cancelled; }
  bool is_stale() const { return stale_since >= 0; }
  bool is_service() const { return spec.shape == JobShape::service; }
  // The first task of the chunk that the task lies in.
  uint32_t chunk_of(uint32_t task) const { return std::prev(chunks.upper_bound(task))->first; }
  size_t chunk_bytes(uint32_t first) const {
    return ledger::estimated_chunk_size(spec.id, chunks.at(first).count);
  }
};

}  // namespace rookdyke
