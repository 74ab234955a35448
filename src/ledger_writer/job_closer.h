#pragma once
// Writes the final states of jobs whose tasks are all done. LedgerWriter asks it for a transaction
// before it writes a page, sends the transaction and reports the result. A job is `closing` while
// its final state is in flight.

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

  // Returns whether the next transaction should write final states, and if so begins a new batching
  // interval. Called once for each transaction. `starts_pending`: the page to write next contains
  // starts. They have priority until the batching interval ends, so that final states are written
  // in batches; the interval is short because users must see final states within 3 s.
  bool start_batch_if_due(double now, bool starts_pending);
  // Returns completed jobs whose final state may be written now, at most as many as fit one
  // transaction. `max_changes` limits them further, but never below a minimum of a few jobs.
  std::vector<Index> jobs_to_close(double now, size_t max_changes) const;
  // Adds the final states of the jobs to a transaction that has its id and the condition on the
  // leader key. Sets the jobs to `closing`.
  LedgerWrite begin_write(const std::vector<Index>& jobs, ledger::Transaction transaction);
  // Handles the result of a write of final states. Its outcome must not be `indeterminate`.
  void on_result(const std::vector<Index>& jobs, const ledger::Result& result, double now);

 private:
  void mark_done(Job& job, uint64_t version);

  const Settings& settings_;
  JobTable& jobs_;
  TaskLifecycle& lifecycle_;
  std::optional<double> batch_open_since_;  // empty: no job is completed
};

}  // namespace rookdyke
