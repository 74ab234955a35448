#include "ledger_writer/job_closer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "ledger_writer/retry_intervals.h"

namespace rookdyke {

namespace {

constexpr size_t kMaxJobs = 16;   // in a transaction
constexpr size_t kLeastRoom = 4;  // at once, whatever is left of the rate of changes
// For so many seconds completed jobs are gathered while starts are written.
constexpr double kGatherInterval = 0.5;

}  // namespace

bool JobCloser::take_turn(double now, bool starts_wait) {
  if (jobs_.completed().empty()) {
    waiting_since_.reset();
    return false;
  }
  if (!waiting_since_) waiting_since_ = now;
  if (starts_wait && now - *waiting_since_ <= kGatherInterval) return false;
  waiting_since_ = now;
  return true;
}

std::vector<Index> JobCloser::next_jobs(double now, size_t room) const {
  const size_t most = std::min({settings_.lasting_txn_ops(), kMaxJobs, std::max(kLeastRoom, room)});
  std::vector<Index> jobs;
  for (const Index index : jobs_.completed()) {
    if (jobs.size() >= most) break;
    const Job& job = jobs_[index];
    if (job.state != JobState::open || job.is_stale() || job.retry_at > now ||
        job.in_flight_transactions > 0)
      continue;
    jobs.push_back(index);
  }
  return jobs;
}

// Each job's final state is a row of its own, kept for ever.
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
  return {std::move(transaction), jobs, JobClosing{}};
}

void JobCloser::on_result(const std::vector<Index>& jobs, const ledger::Result& result,
                          double now) {
  const bool is_conflict = result.outcome == ledger::Outcome::conflict;
  for (const Index index : jobs) {
    Job* job = jobs_.find(index);
    if (!job) continue;
    if (result.outcome == ledger::Outcome::applied) {
      finish(*job, result.revision);
      continue;
    }
    job->retry_at = now + (is_conflict ? kRetryConflictInterval : kRetryRefusedInterval);
    if (job->state == JobState::closing) JobTable::set_state(*job, JobState::open);
  }
}

void JobCloser::finish(Job& job, uint64_t version) {
  job.version = version;
  if (!JobTable::set_state(job, JobState::done)) return;
  while (!job.attempts.empty()) lifecycle_.release(job, job.attempts.begin()->first);
  spdlog::debug("job {} is done", job.spec.id);
}

}  // namespace rookdyke
