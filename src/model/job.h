#pragma once
// The leader's in-memory state of a job and of the attempts of its tasks. Plain data owned by
// JobTable.

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

// One execution of a task on a machine.
struct Attempt {
  uint32_t task = 0;
  uint64_t number = 0;  // greater than those of all earlier attempts of the job
  Index machine = kNone;
  uint64_t epoch = 0;  // of the worker for which the attempt is placed
  AttemptState state = AttemptState::proposed;
  ExitCause cause = ExitCause::none;  // set when the attempt ends
  bool stop_requested = false;        // it is to be stopped
  double grace_s = 0;                 // time that a requested stop allows for a checkpoint
  double proposed_at = 0;             // or restored from the ledger after a takeover
  double running_since = 0;           // when it last entered state `running`; 0: never
  bool known_healthy = false;         // a replica that has run long enough to count as a success
  bool preemption_exempt = false;     // placed while its job was starved: never a preemption victim
  uint64_t direct_start_token = 0;    // of the latest direct call with its start; 0: none
};

// Size of a chunk (consecutive tasks of a job) and the page that holds it.
struct ChunkLocation {
  uint32_t count = 0;  // number of tasks
  Index page = kNone;  // kNone: not assigned to a page yet
};

// A job's position in the scheduling queue. Written by placement only.
struct JobPlacement {
  bool guaranteed = false;  // within its team's guarantee in this round
  double queue_key = 0;     // sort key of this round, lowest first
  // When its waiting time last restarted: a task was placed, or a starved array used up its
  // starvation allowance. Negative: never.
  double last_start = -1;
  uint32_t starvation_allowance = 0;      // number of tasks that a starved array may still start
  double next_reservation_search_at = 0;  // earliest next search for machines to reserve
};

// Failures of a job's tasks on one machine. Those of tasks that fail together count once.
struct MachineFailures {
  uint32_t count = 0;
  double avoided_until = 0;  // the job is not placed there before this time
};

struct Job {
  Index id = kNone;
  JobSpec spec;
  Index job_class = kNone, team = kNone, image = kNone, zone = kNone;
  std::vector<bool> types;  // allowed machine types, by type index; empty: any
  JobState state = JobState::open;
  uint64_t version = 0;     // of the job's row
  double timestamp_s = 0;   // time of day in its row: of the submission, or of the cancellation
  double accepted_at = 0;   // on the steady clock, from timestamp_s if the clocks' offset is known
  uint32_t chunk_size = 1;  // tasks per chunk, from the job's row
  std::set<uint32_t> waiting;            // tasks without an attempt
  std::map<uint32_t, Attempt> attempts;  // at most one per task (rule ran_twice)
  ledger::TaskSet done;
  uint32_t done_count = 0;
  // Tasks that a page which cannot be decoded may hold: they may be running on any machine.
  uint32_t unreadable_tasks = 0;
  uint32_t proposed_count = 0;               // attempts in state `proposed`
  uint64_t highest_attempt = 0;              // highest attempt number used
  std::map<uint32_t, ChunkLocation> chunks;  // by first task; together they cover all tasks
  // Transactions in flight that contain its row or its attempts.
  uint32_t in_flight_transactions = 0;
  // Its class has a start-time objective shorter than a machine's boot time, or it is a service.
  bool needs_prompt_start = false;
  // When a transaction showed that its row has changed; until the watch delivers the new version,
  // the job is stale. Negative: not stale.
  double stale_since = -1;
  // Dominant share of a machine that a task needs: the smallest over all machine types.
  double min_machine_share = 0;
  std::vector<double> start_objectives_s;  // start-time objectives of its class, shortest first
  double replica_missing_since = -1;  // when a replica of this service last ended; negative: never
  JobPlacement placement;
  double cancelled_at = -1;   // on the steady clock; negative: not cancelled
  double back_off_until = 0;  // no starts before this time, after errors of its tasks
  double retry_at = 0;        // earliest next write of its final state, after a failed one
  // By machine index: the machines on which its tasks failed since its last success.
  std::map<Index, MachineFailures> failed_machines;
  uint32_t errors = 0;  // errors, and short runs of replicas, since its last success

  uint32_t tasks() const { return spec.tasks; }
  PageKind page_kind() const {
    if (is_service()) return PageKind::service;
    return needs_prompt_start ? PageKind::prompt_start : PageKind::regular;
  }
  bool is_gang() const { return spec.shape == JobShape::gang; }
  bool is_finished() const { return state == JobState::done || state == JobState::cancelled; }
  bool is_stale() const { return stale_since >= 0; }
  bool is_service() const { return spec.shape == JobShape::service; }
  // Returns the first task of the chunk that contains the given task.
  uint32_t first_task_of_chunk(uint32_t task) const {
    return std::prev(chunks.upper_bound(task))->first;
  }
  // Estimated size in a page of the chunk that starts with the given task.
  size_t chunk_bytes(uint32_t first) const {
    return ledger::estimated_chunk_size(spec.id, chunks.at(first).count);
  }
};

}  // namespace rookdyke
