#include "ledger_writer/job_closer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "ledger_writer/retry_intervals.h"

namespace rookdyke {

namespace {

constexpr size_t kMaxJobsPerTransaction = 16;
constexpr size_t kMinChanges = 4;  // permitted even if the write rate is used up
// Completed jobs are batched for this interval while starts are written.
constexpr double kBatchIntervalS = 0.5;

}  // namespace

bool JobCloser::start_batch_if_due(double now, bool starts_pending) {
  if (jobs_.completed().empty()) {
    batch_open_since_.reset();
    return false;
  }
  if (!batch_open_since_) batch_open_since_ = now;
  if (starts_pending && now - *batch_open_since_ <= kBatchIntervalS) return false;
  batch_open_since_ = now;
  return true;
}

std::vector<Index> JobCloser::jobs_to_close(double now, size_t max_changes) const {
  const size_t max_jobs = std::min(
      {settings_.min_txn_ops(), kMaxJobsPerTransaction, std::max(kMinChanges, max_changes)});
  std::vector<Index> jobs;
  for (const Index index : jobs_.completed()) {
    if (jobs.size() >= max_jobs) break;
    const Job& job = jobs_[index];
    if (job.state != JobState::open || job.is_stale() || job.retry_at > now ||
        job.in_flight_transactions > 0)
      continue;
    jobs.push_back(index);
  }
  return jobs;
}

// Each job's final state is a row of its own, which is kept for ever.
LedgerWrite JobCloser::begin_write(const std::vector<Index>& jobs,
                                   ledger::Transaction transaction) {
  for (const Index index : jobs) {
    Job& job = jobs_[index];
    const std::string key = ledger::job_key(job.spec.id);
    ledger::JobRow row;
    row.status = ledger::JobStatus::done;
    row.tasks = job.tasks();
    row.chunk_size = job.chunk_size;
    row.transaction_id = transaction.transaction_id;
    transaction.conditions.push_back({key, job.version});
    transaction.changes.push_back({key, false, ledger::encode(row), 0});
    JobTable::set_state(job, JobState::closing);
  }
  return {std::move(transaction), jobs, FinalStateWrite{}};
}

void JobCloser::on_result(const std::vector<Index>& jobs, const ledger::Result& result,
                          double now) {
  const bool is_conflict = result.outcome == ledger::Outcome::conflict;
  for (const Index index : jobs) {
    Job* job = jobs_.find(index);
    if (!job) continue;
    if (result.outcome == ledger::Outcome::applied) {
      mark_done(*job, result.revision);
      continue;
    }
    job->retry_at = now + (is_conflict ? kConflictRetryIntervalS : kRefusedRetryIntervalS);
    if (job->state == JobState::closing) JobTable::set_state(*job, JobState::open);
  }
}

void JobCloser::mark_done(Job& job, uint64_t version) {
  job.version = version;
  if (!JobTable::set_state(job, JobState::done)) return;
  while (!job.attempts.empty()) lifecycle_.release(job, job.attempts.begin()->first);
  spdlog::debug("job {} is done", job.spec.id);
}

}  // namespace rookdyke
