#pragma once
// The leader's scheduler. It composes the components below and dispatches events to them. Its
// inputs are time, heartbeats, job rows, transaction results and machine lists; its outputs are
// transactions, commands, rentals and returns. It is single-threaded and has no sockets, clocks or
// randomness of its own, so that scenarios can run it in simulated time. `now` is always the steady
// clock of this process, in seconds.
//
// Components, each with its own state:
//   JobTable, MachineTable, Catalog, TeamUsage, PageTable   tables
//   TaskLifecycle, JobLoader          attempts from proposal to release; loading of job rows
//   HeartbeatHandler, DirectCommands  heartbeats from workers and commands to them
//   MachineMonitor                    heartbeat timeouts, boot timeouts, machines to be returned
//   DemandModel, FleetPlanner, CloudRequests   scale-out and scale-in
//   Placement                         placement of tasks on machines, preemption
//   LedgerWriter                      transactions on the ledger

#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "fleet/boot_tracker.h"
#include "fleet/cloud_requests.h"
#include "fleet/demand_model.h"
#include "fleet/fleet_planner.h"
#include "fleet/machine_monitor.h"
#include "leadership/leadership_claim.h"
#include "ledger/ledger_cache.h"
#include "ledger/page_table.h"
#include "ledger/rented_list.h"
#include "ledger/rows.h"
#include "ledger_writer/ledger_writer.h"
#include "model/job.h"
#include "model/machine.h"
#include "model/scheduler_messages.h"
#include "model/settings.h"
#include "model/types.h"
#include "placement/eligibility.h"
#include "placement/placement.h"
#include "placement/replica_mover.h"
#include "placement/work_counters.h"
#include "quota/team_usage.h"
#include "scheduler/catalog.h"
#include "scheduler/job_loader.h"
#include "scheduler/job_table.h"
#include "scheduler/machine_table.h"
#include "scheduler/task_lifecycle.h"
#include "workers/direct_commands.h"
#include "workers/fault_detector.h"
#include "workers/heartbeat_handler.h"
#include "workers/image_tracker.h"
#include "workers/pending_commands.h"
#include "workers/reclaim_notice_handler.h"
#include "workers/start_permission.h"
#include "workers/task_reconciler.h"

namespace rookdyke {

class Scheduler {
 public:
  Scheduler(Settings settings, std::vector<MachineType> types, uint64_t fencing_token, double now);

  // Sets the time of day minus the steady clock's time, in seconds. It converts the times of day in
  // job rows, so that a failover resets neither the ages of jobs nor their cancellation deadlines.
  void set_time_of_day_offset(double offset_s) { loader_.set_time_of_day_offset(offset_s); }
  // Loads all committed state at a takeover. `ledger_cache` must have passed a read barrier since
  // this controller became the leader, so that it contains everything that its predecessors
  // committed.
  void load(const LedgerCache& ledger_cache, double now);
  // The known contents of the machines' image caches. They help a successor to avoid image
  // fetches; correctness does not depend on them.
  nlohmann::json image_locations() const { return images_.image_locations(); }
  void load_image_locations(const nlohmann::json& locations, double now) {
    images_.load_image_locations(locations, now);
  }
  // Applies a job row that appeared or changed because a user submitted or cancelled the job.
  void on_job_row(const CachedJob& row, const std::string& id, double now);
  void set_prices(const std::vector<MachineType>& types) { catalog_.set_prices(types); }

  // Applies a worker's heartbeat and returns the reply to it.
  HeartbeatReply on_heartbeat(const Heartbeat& heartbeat, double now);

  // The next direct command to send, if any. It tells one worker to start attempts whose starts are
  // durable and to stop others, or only carries the fencing token.
  std::optional<DirectCommand> next_direct_command(double now) {
    return direct_commands_.next(now);
  }
  // `outcome_known`: the worker executed or refused the commands, or they were never sent; false if
  // they may still be executed. `heartbeat`: the heartbeat in the worker's response, if any.
  void on_direct_command_result(const DirectCommand& command, bool outcome_known,
                                const std::optional<Heartbeat>& heartbeat, double now);
  // Whether an event since the last scheduling round calls for another one soon.
  bool needs_round() const { return needs_round_; }

  // Reports that this process was stalled for `stall_s` seconds. Heartbeats missed during the stall
  // do not count against the machines.
  void on_process_stall(double stall_s, double now) { monitor_.on_process_stall(stall_s, now); }

  // Runs one scheduling round.
  void round(double now);
  // Terminates machines that hold tasks of cancelled jobs and are unreachable or have not stopped
  // these tasks in time. Starts no tasks, so that an unconfirmed leader may call it.
  void terminate_machines_with_cancelled_tasks(double now) {
    monitor_.terminate_machines_with_cancelled_tasks(now);
  }
  // Allows or forbids start commands. They are forbidden while this leader's knowledge of
  // cancellations might be out of date.
  void allow_starts(bool allowed) { start_permission_.allow_starts(allowed); }

  // The next transaction to send, if any. No two transactions in flight write the same row.
  // `max_changes` is the number of changes that the write rate permits now; it limits only the
  // final states of jobs, of which a few are always permitted.
  std::optional<PendingTransaction> next_transaction(double now, size_t max_changes = SIZE_MAX) {
    return ledger_writer_.next_transaction(now, max_changes);
  }
  // The number of completed jobs and dirty pages to be written and of transactions in flight.
  size_t pending_writes() const { return ledger_writer_.pending_writes(); }
  void on_result(uint64_t id, const ledger::Result& result, double now);

  std::optional<RentalRequest> next_rental_request(double now) {
    return cloud_requests_.next_rental_request(now);
  }
  void on_rental_result(const RentalRequest& request, CloudOutcome outcome,
                        const std::vector<std::string>& machines, double now) {
    cloud_requests_.on_rental_result(request, outcome, machines, now);
  }
  // Names of machines to return to the cloud now. `cancelled_only`: only machines that hold tasks
  // of cancelled jobs.
  std::vector<std::string> next_return(double now, bool cancelled_only = false) {
    return cloud_requests_.next_return(now, cancelled_only);
  }
  void on_return_result(const std::vector<std::string>& names, CloudOutcome outcome, double now) {
    cloud_requests_.on_return_result(names, outcome, now);
  }
  // Applies the cloud's machine list, which was requested at `requested_at`.
  void on_machine_list(const std::vector<ListedMachine>& list, double requested_at, double now) {
    cloud_requests_.on_machine_list(list, requested_at, now);
  }

  uint64_t fencing_token() const { return claim_.fencing_token(); }
  // Switches to Settings::next_limits after the state service lowered its limits. Pages that exceed
  // them are split.
  void apply_lowered_limits() { ledger_writer_.apply_lowered_limits(); }
  bool uses_lowered_limits() const { return ledger_writer_.uses_lowered_limits(); }

  // Whether this controller must step down, because a newer leader has acted or the ledger
  // contradicts this leader's state.
  bool has_lost_leadership() const { return claim_.is_lost(); }
  // Whether most registered machines miss heartbeats, which points to a fault of this controller or
  // its network.
  bool receives_no_heartbeats(double now) const { return monitor_.receives_no_heartbeats(now); }

  // Waiting tasks, at most 64 per job, plus pending_writes(). The number of tasks that a round may
  // start grows with it.
  size_t backlog() const;
  struct Summary {
    // `jobs` counts jobs, `waiting` tasks without an attempt, `live` attempts. The others count
    // machines: by state, and those whose heartbeats have timed out.
    size_t jobs = 0, waiting = 0, live = 0, ready = 0, booting = 0, draining = 0,
           missing_heartbeats = 0;
    double target = 0;  // machines that the demand requires
  };
  Summary summary(double now) const;
  const std::vector<std::unique_ptr<Machine>>& machines() const { return machines_.all(); }
  // Counts of rounds and of the jobs and machines examined in them. Tests use them to verify that
  // the cost of a round depends on what changed and not on the size of the deployment.
  using Work = WorkCounters;
  const Work& work_counters() const { return work_; }
  const Job* find_job(const std::string& id) const;

 private:
  const Settings settings_;
  Catalog catalog_;
  LeadershipClaim claim_;
  RentedList rented_list_;
  JobTable jobs_;
  MachineTable machines_;
  TeamUsage team_usage_;
  PageTable pages_;
  PendingCommands pending_commands_;
  TaskLifecycle lifecycle_;
  JobLoader loader_;
  LedgerWriter ledger_writer_;
  Eligibility eligibility_;
  ReplicaMover replicas_;
  BootTracker boot_tracker_;
  FaultDetector faults_;
  StartPermission start_permission_;
  ImageTracker images_;
  TaskReconciler reconciler_;
  ReclaimNoticeHandler reclaim_notices_;
  HeartbeatHandler heartbeats_;
  DirectCommands direct_commands_;
  MachineMonitor monitor_;
  DemandModel demand_;
  CloudRequests cloud_requests_;
  FleetPlanner fleet_planner_;
  WorkCounters work_;
  Placement placement_;

  bool needs_round_ = false;
};

}  // namespace rookdyke
