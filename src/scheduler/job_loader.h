#pragma once
// Turns the ledger's rows into jobs: all of them as a new leader takes over, single ones as users
// submit or cancel. What cannot be read is logged, kept as it is, and never believed.

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

  // The time of day minus the steady clock, in seconds; lets a job's age be known after a failover.
  void set_day_offset(double offset_s) { day_offset_ = offset_s; }

  // Takes over everything committed so far, as the cache holds it behind a read barrier.
  void load(const LedgerCache& ledger, double now);
  // A job's row appeared or changed. True: there is a new job.
  bool on_job_row(const CachedJob& row, const std::string& id, double now);

 private:
  void load_pages(const LedgerCache& ledger);
  void load_job(const CachedJob& row, const std::string& id, double now);
  Job& add_job(const CachedJob& row, const std::string& id, double now);
  void resolve_names(Job& job);
  void add_start_promises(Job& job);
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
  std::optional<double> day_offset_;
};

}  // namespace rookdyke
