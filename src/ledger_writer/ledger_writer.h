#pragma once
// Writes the leader's decisions to the ledger: selects the next transaction and applies its result.
// Owns the transactions in flight, their ids and the size limits. PageWriter, JobCloser and
// RentedListWriter create the transactions' contents and handle their results. Called by the
// scheduler. Single-threaded; all times are arguments.
//
// Every transaction is conditional on the leader key, so that no transaction of a former leader is
// applied. A transaction with an indeterminate outcome is resent unchanged until the outcome is
// known; until then, no other transaction writes its rows.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "leadership/leadership_claim.h"
#include "ledger/ledger_cache.h"
#include "ledger/page_table.h"
#include "ledger/rented_list.h"
#include "ledger/rows.h"
#include "ledger_writer/job_closer.h"
#include "ledger_writer/ledger_limits.h"
#include "ledger_writer/ledger_write.h"
#include "ledger_writer/page_content.h"
#include "ledger_writer/page_splitter.h"
#include "ledger_writer/page_writer.h"
#include "ledger_writer/rented_list_writer.h"
#include "ledger_writer/unlisted_machines.h"
#include "model/scheduler_messages.h"
#include "model/settings.h"
#include "scheduler/catalog.h"
#include "scheduler/job_table.h"
#include "scheduler/machine_table.h"
#include "scheduler/task_lifecycle.h"

namespace rookdyke {

class LedgerWriter {
 public:
  // All must outlive this object.
  LedgerWriter(const Settings& settings, Catalog& catalog, JobTable& jobs, MachineTable& machines,
               PageTable& pages, RentedList& rented_list, TaskLifecycle& lifecycle,
               LeadershipClaim& claim);

  // Loads the list of rented machines that a predecessor wrote.
  void load_rented_list(const LedgerCache& ledger, double now) {
    rented_list_writer_.load(ledger, now);
  }
  // Loads the attributes of machines that hold attempts and were not on that list. The attempts
  // must have been loaded.
  void load_unlisted_machines(const LedgerCache& ledger) { unlisted_machines_.load(ledger); }

  // Returns the transaction to send now, if any; its result must be passed to on_result().
  // `max_changes` is the number of changes that the write rate permits now; it limits only the
  // final states of jobs, of which a few are always permitted.
  std::optional<PendingTransaction> next_transaction(double now, size_t max_changes);
  // Handles the result of a transaction; its outcome is `indeterminate` if the response was lost.
  // Returns whether ended attempts were released. Their tasks may then be startable again, which
  // calls for a scheduling round soon.
  bool on_result(uint64_t id, const ledger::Result& result, double now);

  // The number of completed jobs and dirty pages to be written and of transactions in flight.
  size_t pending_writes() const;

  // Switches to the state service's lowered limits. Pages that exceed them are split.
  void apply_lowered_limits() { limits_.apply_lowered(); }
  bool uses_lowered_limits() const { return limits_.are_lowered(); }

 private:
  struct InFlightTransaction {
    LedgerWrite write;
    std::optional<double> resend_at;  // empty while the response to a copy is awaited
    bool was_resent = false;
  };

  ledger::Transaction begin_transaction();
  PendingTransaction send(LedgerWrite write);
  std::optional<PendingTransaction> next_resend(double now);
  std::optional<Index> next_page(double now);
  std::optional<PendingTransaction> close_jobs(double now, size_t max_changes);
  std::optional<PendingTransaction> write_rented_list(double now);

  static bool schedule_resend_if_indeterminate(InFlightTransaction& in_flight,
                                               ledger::Outcome outcome, double now);
  void on_rejection(const ledger::Transaction& transaction);
  bool resolve_conflicts(const std::vector<std::string>& failed_keys, double now);
  bool apply_result(const LedgerWrite& write, const ledger::Result& result, double now);
  void apply_deferred_job_changes(const std::vector<Index>& jobs);

  const Settings& settings_;
  JobTable& jobs_;
  TaskLifecycle& lifecycle_;
  LeadershipClaim& claim_;
  LedgerLimits limits_;
  PageContent page_content_;
  UnlistedMachines unlisted_machines_;
  PageSplitter page_splitter_;
  PageWriter page_writer_;
  JobCloser job_closer_;
  RentedListWriter rented_list_writer_;

  uint64_t last_id_ = 0;
  std::map<uint64_t, InFlightTransaction> in_flight_;  // by id
};

}  // namespace rookdyke
