#pragma once
// The leader's mind: pure and single-threaded. Events go in (time, reports, job rows, transaction
// results, machine lists), effects come out (transactions, rentals, returns, orders). It has no
// sockets, clocks or randomness of its own, so scenarios drive it in simulated time.
//
// core.cpp          life of jobs, taking over from the ledger
// transactions.cpp  what is written to the ledger, and what its answers mean
// reports.cpp       what a worker's report proves, and the orders it is answered with
// fleet.cpp         demand, renting, draining, returning
// states.cpp        the state machines' allowed steps

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "fleet/boot_tracker.h"
#include "fleet/forecast.h"
#include "leadership/leadership_claim.h"
#include "ledger/ledger_cache.h"
#include "ledger/page.h"
#include "ledger/page_table.h"
#include "ledger/rented_list.h"
#include "ledger/rows.h"
#include "model/job.h"
#include "model/machine.h"
#include "model/scheduler_messages.h"
#include "model/settings.h"
#include "model/states.h"
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
#include "workers/fault_detector.h"
#include "workers/pending_commands.h"

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
  nlohmann::json image_locations() const;
  void load_image_locations(const nlohmann::json& hints, double now);
  // A job's row appeared or changed (users' submissions and aborts).
  void on_job_row(const CachedJob& row, const std::string& id, double now);
  void set_prices(const std::vector<MachineType>& types) { catalog_.set_prices(types); }

  HeartbeatReply on_heartbeat(const Heartbeat& report, double now);

  // Direct commands: starts that are durable, and stops, for one machine at a time.
  std::optional<DirectCommand> next_direct_command(double now);
  // answered: the worker executed (or refused) them and its report came back.
  void on_direct_command_result(const DirectCommand& d, bool answered,
                                const std::optional<Heartbeat>& report, double now);
  // Something happened that a round should look at soon.
  bool needs_round() const { return needs_round_; }

  // This process stood still for so long: the machines' silence meanwhile was its own.
  void on_process_stall(double s, double now);

  // One round of decisions.
  void round(double now);
  // What a leader in doubt may still decide: machines that keep cancelled work go. It starts
  // nothing.
  void release_cancelled_work(double now);
  // Whether reports may be answered with starts: not by a leader that may not have heard of the
  // latest cancellations.
  void allow_starts(bool allowed) { starts_allowed_ = allowed; }

  // Transactions: at most one in flight per chunk.
  // `room`: so many changes may be made at once; a single row always may.
  std::optional<PendingTransaction> next_transaction(double now, size_t room = SIZE_MAX);
  size_t unsent() const;  // rows that wait to be written
  void on_result(uint64_t id, const ledger::Result& result, double now);

  std::optional<RentalRequest> next_rental_request(double now);
  void on_rental_result(const RentalRequest& request, CloudOutcome outcome,
                        const std::vector<std::string>& machines, double now);
  // `cancelled_only`: those that hold work of cancelled jobs.
  std::vector<std::string> next_return(double now, bool cancelled_only = false);
  void on_return(const std::vector<std::string>& names, CloudOutcome outcome, double now);
  // A list read from the cloud, asked for at `asked`.
  void on_machine_list(const std::vector<ListedMachine>& list, double asked, double now);

  uint64_t fencing_token() const { return claim_.fencing_token(); }
  // A condition on the leader key failed, or the ledger contradicts us: stop leading.
  // The state service has lowered its limits to Settings::next_limits: what is larger is split.
  void apply_lowered_limits();
  bool uses_lowered_limits() const { return uses_lowered_limits_; }

  bool has_lost_leadership() const { return claim_.is_lost(); }
  // Most machines that reported to us have fallen silent: the silence is likely ours.
  bool receives_no_heartbeats(double now) const;

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
  struct InFlightTransaction;

  // -- transactions.cpp
  struct PageDraft;
  std::optional<PendingTransaction> page_transaction(Index page, double now);
  void draft_entries(const Page& page, PageDraft& draft);
  void add_starts(PageDraft& draft, InFlightTransaction& f);
  ledger::Chunk durable_chunk(const Job& job, uint32_t first, uint32_t count) const;
  size_t wanted_size(const Job& job, uint32_t first) const;
  size_t wanted_size(const Page& page) const;
  size_t page_room() const;
  void split_large_chunks(Index page);
  void split_chunk(Job& job, uint32_t first);
  bool split_page(Index page, double now);
  Index next_page(double now) const;
  std::optional<PendingTransaction> closing_transaction(double now, size_t room);
  void take_rejection(const InFlightTransaction& f);
  std::string transaction_id_of(uint64_t txn) const;
  void settle_page(const InFlightTransaction& f, const ledger::Result& r, double now);
  void settle_closing(const InFlightTransaction& f, const ledger::Result& r);

  // -- reports.cpp
  void record_heartbeat(Machine& m, const Heartbeat& r, double now);
  static void record_replica_run(Machine& m, Job& job, Attempt& a, double now);
  void apply_task_status(Machine& m, Job& job, Attempt& a, const TaskStatus& t, double now);
  using Listed = std::vector<std::pair<Index, uint32_t>>;
  void apply_task_list(Machine& m, const Heartbeat& r, std::vector<WorkerCommand>* stop_commands,
                       std::vector<WorkerCommand>* forget_commands, Listed& listed, double now);
  void note_acknowledged_commands(Machine& m, const Heartbeat& r);
  std::optional<DirectCommand> token_announcement(double now);
  void commands_for(Machine& m, const Heartbeat& r, HeartbeatReply& reply, double now);
  bool may_start(const Job& job, const Attempt& a) const;
  void on_reclaim_notice(Machine& m, double notice_s, double now);
  void touch_image(Machine& m, const Job& job, double now);

  // -- fleet.cpp
  // How many machines of a type a zone has, by (type, zone); those that are gone left out.
  using MachineCounts = std::map<std::pair<Index, Index>, size_t>;
  struct TypeState {
    Forecast forecast;
    double target = 0;

    Resources demand, ordinary;  // ordinary: of jobs that may not use spot machines
    // Of jobs that can run in that zone alone: bound to it, begun there, or spread over two.
    struct Bound {
      Resources all, ordinary;               // of jobs bound to it
      double largest = 0, largest_dear = 0;  // in machines, of one that could go elsewhere too
    };
    std::map<Index, Bound> bound;  // by zone
    double above_since = -1;
    std::map<std::pair<Index, bool>, double> refused_until;  // (zone, spot)
  };
  void add_zone_demand(const Job& job, Index type, const Resources& demand,
                       const MachineCounts& machines);
  MachineCounts count_machines() const;
  double machines_for(Index type, const Resources& demand) const;
  double floor_of(Index type, const TypeState::Bound& b, bool ordinary) const;
  bool reuse_draining(Index type, Index zone, bool ordinary);
  bool rent(Index type, Index zone, bool spot, double count, double now);
  void sample_demand(double now);
  void plan_fleet(double now);
  void plan_type(Index type, double now);
  void drain_surplus(Index type, double now);
  void check_machines(double now);
  bool counts_as_capacity(const Machine& m, double now) const;
  Index demand_type(const Job& job) const;
  double silence_limit() const;
  double patience() const;
  double waits_for(const Machine& m) const;
  double registration_limit(const Machine& m) const;
  bool is_mass_silence(double now) const;
  bool holds_cancelled(const Machine& m) const;
  bool holds_overdue(const Machine& m, double now) const;
  void drop_machine(Machine& m, double now, const char* why);
  std::optional<PendingTransaction> fleet_transaction(double now);
  void load_fleet(const LedgerCache& ledger_cache, double now);

  const Settings settings_;
  Catalog catalog_;
  LeadershipClaim claim_;
  const double started_;
  RentedList rented_list_;
  JobTable jobs_;
  MachineTable machines_;
  TeamUsage team_usage_;
  PageTable pages_;
  PendingCommands pending_commands_;
  TaskLifecycle lifecycle_;
  JobLoader loader_;
  Eligibility eligibility_;
  ReplicaMover replicas_;
  BootTracker boot_tracker_;
  FaultDetector faults_;

  double announce_token_at_ = 0;
  bool uses_lowered_limits_ = false;
  bool needs_round_ = false;
  bool starts_allowed_ = true;
  bool mass_silence_ = false;
  double mass_silence_until_ = -1;

  WorkCounters work_;
  Placement placement_;

  uint64_t next_txn_ = 0, next_rental_number_ = 0;
  struct InFlightTransaction {
    enum class Kind : uint8_t { page, closing, fleet } kind = Kind::page;
    Index page = kNone;
    std::vector<std::pair<Index, uint32_t>> started, ended;  // (job, task)
    std::vector<Index> jobs;  // each counted in Job::in_flight_transactions
    ledger::Transaction txn;
    double repeat_at = -1;  // outcome unknown: goes out again, unchanged
    bool sent_again = false;
  };
  std::map<uint64_t, InFlightTransaction> in_flight_transactions_;
  double closing_since_ = -1;  // the oldest of them

  std::vector<TypeState> type_state_;
  double next_sample_ = 0;
  double rent_at_ = 0, rent_retry_at_ = 0;
  std::deque<RentalRequest> rental_requests_;  // wanted and unanswered, oldest first
  bool rental_in_flight_ = false;
};

}  // namespace rookdyke
