#pragma once
// The leader's mind: pure and single-threaded. Events go in (time, reports, job rows, transaction
// results, machine lists), effects come out (transactions, rentals, returns, orders). It has no
// sockets, clocks or randomness of its own, so scenarios drive it in simulated time.
//
// core.cpp          life of jobs, taking over from the ledger
// transactions.cpp  what is written to the ledger, and what its answers mean
// reports.cpp       what a worker's report proves, and the orders it is answered with
// services.cpp      replicas of services: where they go, and how they move
// placement.cpp     what runs where, preemption
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

#include "fleet/boot_statistics.h"
#include "fleet/forecast.h"
#include "ledger/ledger_cache.h"
#include "ledger/page.h"
#include "ledger/rented_list.h"
#include "ledger/rows.h"
#include "model/job.h"
#include "model/machine.h"
#include "model/scheduler_messages.h"
#include "model/settings.h"
#include "model/states.h"
#include "model/types.h"

namespace rookdyke {

// More than a task needs to save, so that a save begun in time is not cut short by rounding.
inline constexpr double kGraceMargin = 1;

class Scheduler {
 public:
  Scheduler(Settings settings, std::vector<MachineType> types, uint64_t fencing_token, double now);

  // The time of day minus the steady clock; lets a job's age be known after a failover.
  void set_day_offset(double s) { day_offset_ = s; }
  // Takes over: everything committed so far, as the ledger cache holds it behind a read barrier.
  void load(const LedgerCache& ledger_cache, double now);
  // Which images machines hold, as far as is known: a hint for a successor, which would otherwise
  // have everything fetched anew. Nothing correct rests on it.
  nlohmann::json image_locations() const;
  void load_image_locations(const nlohmann::json& hints, double now);
  // A job's row appeared or changed (users' submissions and aborts).
  void on_job_row(const CachedJob& row, const std::string& id, double now);
  void set_prices(const std::vector<MachineType>& types);

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

  uint64_t fencing_token() const { return fencing_token_; }
  // A condition on the leader key failed, or the ledger contradicts us: stop leading.
  // The state service has lowered its limits to Settings::next_limits: what is larger is split.
  void apply_lowered_limits();
  bool uses_lowered_limits() const { return uses_lowered_limits_; }

  bool has_lost_leadership() const { return has_lost_leadership_; }
  // Most machines that reported to us have fallen silent: the silence is likely ours.
  bool receives_no_heartbeats(double now) const;

  size_t backlog() const;  // waiting tasks and unsent transactions, for the round's width
  struct Summary {
    size_t jobs = 0, waiting = 0, live = 0, ready = 0, booting = 0, draining = 0, silent = 0;
    double target = 0;
  };
  Summary summary(double now) const;
  const std::vector<std::unique_ptr<Machine>>& machines() const { return machines_; }
  // How much was done, for checks that it follows what changed and not the size of everything.
  struct Work {
    uint64_t rounds = 0, jobs_looked_at = 0, machines_looked_at = 0;
  };
  const Work& work() const { return work_; }
  const Job* find_job(const std::string& id) const;

 private:
  struct InFlightTransaction;

  // -- state machines (the only places that change a state)
  bool set_state(Job& job, JobState to);
  bool set_state(Job& job, Attempt& a, AttemptState to);
  bool set_state(Machine& m, MachineState to, const char* why);

  // -- core.cpp
  Job* find(Index job) { return job < jobs_.size() ? jobs_[job].get() : nullptr; }
  const Job* find(Index job) const { return job < jobs_.size() ? jobs_[job].get() : nullptr; }
  Job& add_job(const CachedJob& row, const std::string& id, double now);
  void load_chunks(Job& job, const CachedJob& row, double now);
  void log_foreign_tasks(const Job& job, const ChunkKey& key, const CachedChunk& c,
                         const ledger::TaskRange& tasks) const;
  void load_tasks(Job& job, uint32_t first, uint32_t end, const ledger::Chunk& chunk, double now);
  void keep_unreadable_job(const std::string& id, const CachedJob& row);
  void cancel_job(Job& job, const CachedJob& row, double now);
  void erase_if_finished(Index id);
  void erase_job(Job& job);
  Machine& machine(const std::string& name, double now);
  void end_attempt(Job& job, uint32_t task, ExitCause cause, double now, const char* why);
  void vacate(Job& job, const Attempt& a);
  bool still_gathers(const Job& job) const;
  void after_end(Job& job, const Attempt& a, double now);
  void release(Job& job, uint32_t task);  // forget an attempt whose removal is durable
  void stop_attempt(Job& job, Attempt& a, double grace);
  void stop_with_gang(Job& job, Attempt& a, double grace);
  void mark_dirty(Job& job, uint32_t task, WriteUrgency write_urgency, double now);
  Index page_for(size_t bytes, PageKind kind);
  bool proposal_stands(const Attempt& a) const;
  void void_proposals(Job& job, bool all);
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
  Index empty_page(PageKind kind);
  void add_to_page(Job& job, uint32_t first, Index page);
  void remove_from_page(Job& job, uint32_t first);
  void drop_from_pages(Job& job);
  Index next_page(double now) const;
  std::optional<PendingTransaction> closing_transaction(double now, size_t room);
  void take_rejection(const InFlightTransaction& f);
  std::string transaction_id_of(uint64_t txn) const;
  void lose_leadership(const std::string& why);
  void settle_page(const InFlightTransaction& f, const ledger::Result& r, double now);
  void settle_closing(const InFlightTransaction& f, const ledger::Result& r);

  // -- reports.cpp
  void record_heartbeat(Machine& m, const Heartbeat& r, double now);
  void apply_task_status(Machine& m, Job& job, Attempt& a, const TaskStatus& t, double now);
  bool faulty(const Job& job) const;
  void record_error(Machine& m, Job& job, double now);
  using Listed = std::vector<std::pair<Index, uint32_t>>;
  void apply_task_list(Machine& m, const Heartbeat& r, std::vector<WorkerCommand>* stop_commands,
                       std::vector<WorkerCommand>* forget_commands, Listed& listed, double now);
  void note_acknowledged_commands(Machine& m, const Heartbeat& r);
  std::optional<DirectCommand> token_announcement(double now);
  void commands_for(Machine& m, const Heartbeat& r, HeartbeatReply& reply, double now);
  bool may_start(const Job& job, const Attempt& a) const;
  void on_reclaim_notice(Machine& m, double notice_s, double now);
  void touch_image(Machine& m, const Job& job, double now);

  // -- placement.cpp
  void place(double now);
  bool place_array(Job& job, double now, int& limiter, bool warm_only);
  bool place_gang(Job& job, double now, int& limiter, bool warm_only);
  bool needs_warm(const Job& job, double now) const;
  struct Place {
    double score = 0;
    Index machine = kNone;
    uint32_t slots = 0;
  };
  struct Eviction {
    double cost = 0;
    Index machine = kNone;
    std::vector<std::pair<Index, uint32_t>> victims;
  };
  // special: the job itself, not the machines' room, may be why there are few.
  std::vector<Place> places(const Job& job, double now, bool* special = nullptr,
                            bool warm_only = false);
  bool warm(const Job& job, const Machine& m) const;
  void claim(const Job& job, const std::vector<Place>& free, double now);
  void place_job(Job& job, double now, int& limiter, bool preempt);
  static bool lacks_what_it_takes(const Job& job, const Resources& room, const Job& victim);
  std::vector<Eviction> evictions(const Job& job, double now);
  void gather_open(double now);
  Resources free_on(const Machine& m) const;
  bool has_room(const Machine& m) const;
  bool known_full(const Job& job, uint32_t count) const;
  bool takes_work(const Machine& m, double now) const;
  bool may_run(const Job& job, const Machine& m, double now) const;
  bool zone_allows(const Job& job, Index zone, uint32_t more) const;
  bool within_limit(const Job& job, uint32_t count) const;
  double score(const Job& job, const Machine& m) const;
  void propose(Job& job, uint32_t task, uint64_t number, Index machine, double now);
  void preempt_for(Job& job, double now, bool warm_only);
  bool may_stop(const Job& job, const Job& victim) const;
  double frees_at(const Job& job, const Machine& m, double now) const;
  void reserve_machines(Job& job, double now);
  void find_guaranteed();
  bool starved(const Job& job, double now) const;
  uint32_t starved_share(const Job& job) const;
  double urgency(const Job& job, double now) const;
  void sort_jobs(double now);

  // -- services.cpp
  struct ReplicaCounts {
    std::map<Index, uint32_t> by_machine, by_zone;
  };
  double replica_score(const Job& job, const Place& place,
                       const ReplicaCounts& counts_as_capacity) const;
  bool place_service(Job& job, double now, int& limiter);
  void back_off_replica(Job& job, const Attempt& a, double now);
  void note_replica_runs(Machine& m, Job& job, Attempt& a, double now);
  uint32_t missing_replicas(const Job& job) const;
  bool may_move_replica(const Job& job) const;
  bool has_other_place(const Job& job, const Machine& from, double now) const;
  bool holds_replicas(const Machine& m) const;
  bool holds_replicas_alone(const Machine& m) const;
  void move_replicas(Machine& m, double now);
  void recall_replica(Job& job, Attempt& a, double notice_s);

  // -- fleet.cpp
  // How many machines of a type a zone has, by (type, zone); those that are gone left out.
  using MachineCounts = std::map<std::pair<Index, Index>, size_t>;
  struct TypeState {
    Forecast forecast;
    BootStatistics boots;
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
  void record_boot(const Machine& m, double now);
  const BootStatistics& boots_of(const Machine& m) const;
  void update_boots(double now);
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
  void drain(Machine& m, double now, const char* why);
  void terminate(Machine& m, const char* why);
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

  Settings settings_;
  std::vector<MachineType> types_;
  uint64_t fencing_token_;
  double started_;
  double announce_token_at_ = 0;
  bool has_lost_leadership_ = false;
  bool uses_lowered_limits_ = false;
  bool needs_round_ = false;
  bool starts_allowed_ = true;
  bool mass_silence_ = false;
  double mass_silence_until_ = -1;
  std::optional<double> day_offset_;
  std::set<Index> direct_command_due_;  // machines with orders worth sending at once

  NameTable job_names_, machine_names_, zone_names_, team_names_, image_names_, job_class_names_,
      type_names_;
  std::vector<std::unique_ptr<Job>> jobs_;  // by job index; empty: over, or unknown
  std::vector<bool> finished_;  // by job index: over and forgotten, never taken up again
  size_t open_jobs_ = 0;
  // By machine index. Machines that are gone stay as tombstones: late reports and lagging lists
  // still name them, and must not bring them back.
  std::vector<std::unique_ptr<Machine>> machines_;
  std::set<Index> start_promise_images_;  // of classes that are promised a prompt start
  std::vector<Index> order_;              // jobs with waiting tasks, most urgent first

  // Of one round.
  struct Full {  // no room for so many tasks of that size
    Resources per_task;
    Index zone;
    std::vector<bool> types;
    bool spot, single_zone;
    uint32_t count;
  };
  struct Hopeless {  // nothing could be stopped for such a job
    Priority priority;
    Index zone;
    std::vector<bool> types;
    bool spot, single_zone;
    uint32_t more;
    double share;
  };
  std::vector<Index> open_;
  std::vector<std::pair<Index, Resources>> claims_;  // places kept for gangs, counted as used
  std::vector<Full> full_;
  std::vector<Hopeless> hopeless_;
  Resources least_;  // component by component, of the waiting tasks
  size_t aside_ = 0, ready_ = 0;
  double preempt_at_ = 0;
  Work work_;

  std::vector<Resources> team_used_;  // by team index

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
  std::vector<Page> pages_;
  // The last write of a page that cannot be read: it may hold tasks of any job of before.
  uint64_t unreadable_revision_ = 0;
  std::set<Index> closing_;    // jobs all of whose tasks are done
  double closing_since_ = -1;  // the oldest of them

  std::vector<TypeState> type_state_;
  BootStatistics unknown_type_boots_;  // for machines whose type is not known yet
  double next_sample_ = 0;
  double rent_at_ = 0, rent_retry_at_ = 0;
  std::deque<RentalRequest> rental_requests_;  // wanted and unanswered, oldest first
  bool rental_in_flight_ = false;
  RentedList rented_list_;
};

}  // namespace rookdyke
