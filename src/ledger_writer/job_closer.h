#pragma once
// Writes the final states of jobs all of whose tasks are done. Owns the time since which completed
// jobs wait for their turn; LedgerWriter asks it before it writes a page, sends what it drafts and
// reports the result. A job is `closing` while its final state is in flight.

#include <cstddef>
#include <optional>
#include <vector>

#include "ledger/rows.h"
#include "ledger_writer/ledger_write.h"
#include "model/settings.h"
#include "scheduler/job_table.h"
#include "scheduler/task_lifecycle.h"

namespace rookdyke {

class JobCloser {
 public:
  // All must outlive this object.
  JobCloser(const Settings& settings, JobTable& jobs, TaskLifecycle& lifecycle)
      : settings_(settings), jobs_(jobs), lifecycle_(lifecycle) {}

  // Whether final states are to be written before anything else; asked once for each transaction.
  // If so, the wait for the next turn begins anew. Jobs are closed together, but their users have
  // to be told within 3 s. `starts_wait`: another write has starts, which go first for a while.
  bool take_turn(double now, bool starts_wait);
  // Completed jobs whose final state may be written now, as many as one transaction takes. `room`:
  // so many changes may be made at once; a few always may.
  std::vector<Index> next_jobs(double now, size_t room) const;
  // Drafts the write of these jobs' final states into a transaction that has its id and the
  // leader's condition. They are `closing` from now on.
  LedgerWrite begin_write(const std::vector<Index>& jobs, ledger::Transaction transaction);
  // Such a write was answered (anything but unknown).
  void on_result(const std::vector<Index>& jobs, const ledger::Result& result, double now);

 private:
  void finish(Job& job, uint64_t version);

  const Settings& settings_;
  JobTable& jobs_;
  TaskLifecycle& lifecycle_;
  std::optional<double> waiting_since_;  // empty: no job is completed
};

}  // namespace rookdyke
