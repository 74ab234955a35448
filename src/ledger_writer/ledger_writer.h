#pragma once
// Writes the leader's decisions to the ledger: which transaction goes next, and what its result
// means. Owns the transactions in flight and their ids, and the limits that hold for them; what
// they say is drafted by PageWriter, JobCloser and RentedListWriter, and results go back to them.
// Called by the scheduler, single-threaded, told the time.
//
// Every transaction is conditional on the leader key, so that none of a former leader is applied.
// One whose outcome is unknown goes out again unchanged until it is answered; nothing else is
// decided about its rows meanwhile.

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

  // Takes over the list of rented machines as a predecessor left it.
  void load_rented_list(const LedgerCache& ledger, double now) {
    rented_list_writer_.load(ledger, now);
  }

  // The transaction to send now, if any; on_result() is to be called with its answer. `room`: so
  // many changes may be made at once; a single row always may.
  std::optional<PendingTransaction> next_transaction(double now, size_t room);
  // A transaction was answered, or its answer did not arrive (unknown). True: tasks have become
  // free to start again, which a round should look at soon.
  bool on_result(uint64_t id, const ledger::Result& result, double now);

  // Rows that wait to be written, and transactions in flight.
  size_t unsent() const;

  // The state service has lowered its limits: pages that are too large for them are split.
  void apply_lowered_limits() { limits_.apply_lowered(); }
  bool uses_lowered_limits() const { return limits_.are_lowered(); }

 private:
  struct InFlightTransaction {
    LedgerWrite write;
    std::optional<double> repeat_at;  // the outcome is unknown: it goes out again then, unchanged
    bool sent_again = false;
  };

  ledger::Transaction begin_transaction();
  PendingTransaction send(LedgerWrite write);
  std::optional<PendingTransaction> repeat_unanswered(double now);
  std::optional<Index> next_page(double now);
  std::optional<PendingTransaction> close_jobs(double now, size_t room);
  std::optional<PendingTransaction> write_rented_list(double now);

  static bool repeat_if_open(InFlightTransaction& in_flight, ledger::Outcome outcome, double now);
  void on_rejection(const ledger::Transaction& transaction);
  bool accept_conflicts(const std::vector<std::string>& failed_keys, double now);
  bool apply_result(const LedgerWrite& write, const ledger::Result& result, double now);
  void finish_jobs(const std::vector<Index>& jobs);

  const Settings& settings_;
  JobTable& jobs_;
  TaskLifecycle& lifecycle_;
  LeadershipClaim& claim_;
  LedgerLimits limits_;
  PageContent page_content_;
  PageSplitter page_splitter_;
  PageWriter page_writer_;
  JobCloser job_closer_;
  RentedListWriter rented_list_writer_;

  uint64_t last_id_ = 0;
  std::map<uint64_t, InFlightTransaction> in_flight_;  // by id
};

}  // namespace rookdyke
