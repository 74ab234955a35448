#pragma once
// Builds jobs from the ledger's rows: all rows when a new leader takes over, single rows when users
// submit or cancel jobs. No job is created from rows that cannot be decoded; LedgerCache logs them,
// and the chunks of their jobs stay unchanged in the ledger.

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "leadership/leadership_claim.h"
#include "ledger/ledger_cache.h"
#include "ledger/page_table.h"
#include "model/settings.h"
#include "scheduler/catalog.h"
#include "scheduler/job_table.h"
#include "scheduler/task_lifecycle.h"

namespace rookdyke {

class JobLoader {
 public:
  // All must outlive this object.
  JobLoader(const Settings& settings, Catalog& catalog, JobTable& jobs, PageTable& pages,
            TaskLifecycle& lifecycle, LeadershipClaim& claim)
      : settings_(settings),
        catalog_(catalog),
        jobs_(jobs),
        pages_(pages),
        lifecycle_(lifecycle),
        claim_(claim) {}

  // Sets the time of day minus the steady clock's time, in seconds. It converts the times of day in
  // job rows, so that a failover resets neither the ages of jobs nor their cancellation deadlines.
  void set_time_of_day_offset(double offset_s) { time_of_day_offset_ = offset_s; }

  // Loads all committed rows. `ledger` must have passed a read barrier since this controller became
  // the leader, so that it contains everything that its predecessors committed.
  void load(const LedgerCache& ledger, double now);
  // Applies a new or changed job row. Returns whether it added a job.
  bool on_job_row(const CachedJob& row, const std::string& id, double now);

 private:
  void load_pages(const LedgerCache& ledger);
  void load_job(const CachedJob& row, const std::string& id, double now);
  Job& add_job(const CachedJob& row, const std::string& id, double now);
  void resolve_names(Job& job);
  void add_start_objectives(Job& job);
  void collect_waiting_tasks(Job& job, uint64_t version);
  void load_chunks(Job& job, const CachedJob& row, double now);
  void load_tasks(Job& job, const ledger::TaskRange& tasks, const ledger::Chunk& chunk, double now);
  void keep_unreadable_job(const std::string& id, const CachedJob& row);
  void cancel(Job& job, const CachedJob& row, double now);

  const Settings& settings_;
  Catalog& catalog_;
  JobTable& jobs_;
  PageTable& pages_;
  TaskLifecycle& lifecycle_;
  LeadershipClaim& claim_;
  std::optional<double> time_of_day_offset_;
};

}  // namespace rookdyke
