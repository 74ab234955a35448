#pragma once
// The leader's scheduler: composes the parts that decide and passes events on to them. Events come
// in (time, heartbeats, job rows, outcomes of transactions, machine lists), requests go out
// (transactions, commands, rentals, returns). Pure and single-threaded: it has no sockets, clocks
// or randomness of its own, so that scenarios drive it in simulated time. `now` is always the
// steady clock of this process, in seconds.
//
// Its parts, each with state of its own:
//   JobTable, MachineTable, Catalog, TeamUsage, PageTable   tables
//   TaskLifecycle, JobLoader          attempts from proposal to release; rows to jobs
//   HeartbeatHandler, DirectCommands  what workers report, and what they are commanded
//   MachineMonitor                    machines that are silent, late or to be given up
//   DemandModel, FleetPlanner, CloudRequests   scale-out and scale-in
//   Placement                         what runs where, preemption
//   LedgerWriter                      what becomes durable, and when

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

  // The time of day minus the steady clock; lets a job's age be known after a failover.
  void set_day_offset(double s) { loader_.set_day_offset(s); }
  // Takes over: everything committed so far, as the ledger cache holds it behind a read barrier.
  void load(const LedgerCache& ledger_cache, double now);
  // Which images machines hold, as far as is known: a hint for a successor, which would otherwise
  // have everything fetched anew. Nothing correct rests on it.
  nlohmann::json image_locations() const { return images_.image_locations(); }
  void load_image_locations(const nlohmann::json& locations, double now) {
    images_.load_image_locations(locations, now);
  }
  // A job's row appeared or changed (users' submissions and aborts).
  void on_job_row(const CachedJob& row, const std::string& id, double now);
  void set_prices(const std::vector<MachineType>& types) { catalog_.set_prices(types); }

  // A worker's heartbeat; the reply is for it alone.
  HeartbeatReply on_heartbeat(const Heartbeat& report, double now);

  // Direct commands: starts that are durable, and stops, for one machine at a time.
  std::optional<DirectCommand> next_direct_command(double now) {
    return direct_commands_.next(now);
  }
  // `answered`: the worker executed or refused them, or they were never sent. `report`: the state
  // of its tasks, if it came back.
  void on_direct_command_result(const DirectCommand& d, bool answered,
                                const std::optional<Heartbeat>& report, double now);
  // Something happened that a round should look at soon.
  bool needs_round() const { return needs_round_; }

  // This process did not run for so many seconds: the machines' silence meanwhile was its own.
  void on_process_stall(double s, double now) { monitor_.on_process_stall(s, now); }

  // One round of decisions.
  void round(double now);
  // What a leader that could not renew its lease may still decide: machines that keep cancelled
  // work are returned. It starts nothing.
  void release_cancelled_work(double now) { monitor_.release_cancelled_work(now); }
  // Whether starts may be commanded: not by a leader that may not have heard of the latest
  // cancellations.
  void allow_starts(bool allowed) { start_permission_.allow_starts(allowed); }

  // Transactions: at most one in flight per chunk.
  // `room`: so many changes may be made at once; a single row always may.
  std::optional<PendingTransaction> next_transaction(double now, size_t room = SIZE_MAX) {
    return ledger_writer_.next_transaction(now, room);
  }
  size_t unsent() const { return ledger_writer_.pending_writes(); }  // rows that wait to be written
  void on_result(uint64_t id, const ledger::Result& result, double now);

  std::optional<RentalRequest> next_rental_request(double now) {
    return cloud_requests_.next_rental_request(now);
  }
  void on_rental_result(const RentalRequest& request, CloudOutcome outcome,
                        const std::vector<std::string>& machines, double now) {
    cloud_requests_.on_rental_result(request, outcome, machines, now);
  }
  // `cancelled_only`: those that hold work of cancelled jobs.
  std::vector<std::string> next_return(double now, bool cancelled_only = false) {
    return cloud_requests_.next_return(now, cancelled_only);
  }
  void on_return(const std::vector<std::string>& names, CloudOutcome outcome, double now) {
    cloud_requests_.on_return(names, outcome, now);
  }
  // A list read from the cloud, asked for at `asked`.
  void on_machine_list(const std::vector<ListedMachine>& list, double asked, double now) {
    cloud_requests_.on_machine_list(list, asked, now);
  }

  uint64_t fencing_token() const { return claim_.fencing_token(); }
  // The state service has lowered its limits to Settings::next_limits: what is larger is split.
  void apply_lowered_limits() { ledger_writer_.apply_lowered_limits(); }
  bool uses_lowered_limits() const { return ledger_writer_.uses_lowered_limits(); }

  // A newer leader has acted, or the ledger contradicts us: stop leading.
  bool has_lost_leadership() const { return claim_.is_lost(); }
  // Most machines that reported to us have fallen silent: the silence is likely ours.
  bool receives_no_heartbeats(double now) const { return monitor_.receives_no_heartbeats(now); }

  size_t backlog() const;  // waiting tasks and unsent transactions, for the round's width
  struct Summary {
    size_t jobs = 0, waiting = 0, live = 0, ready = 0, booting = 0, draining = 0, silent = 0;
    double target = 0;
  };
  Summary summary(double now) const;
  const std::vector<std::unique_ptr<Machine>>& machines() const { return machines_.all(); }
  // How much was done, for checks that it follows what changed and not the size of everything.
  using Work = WorkCounters;
  const Work& work() const { return work_; }
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
