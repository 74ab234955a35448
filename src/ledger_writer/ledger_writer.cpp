#include "ledger_writer/ledger_writer.h"

#include <spdlog/spdlog.h>

#include <string_view>
#include <utility>
#include <variant>

namespace rookdyke {

using ledger::Outcome;

namespace {

// Intervals after which a transaction of indeterminate outcome is resent: after a lost response,
// and after a resent copy was refused.
constexpr double kIndeterminateResendIntervalS = 0.3;
constexpr double kRefusedResendIntervalS = 0.5;

// The job id in the key of a job's row; empty for other keys.
std::optional<std::string> job_id_of_key(const std::string& key) {
  const std::string_view prefix = ledger::kJobPrefix;
  if (key.compare(0, prefix.size(), prefix) != 0) return std::nullopt;
  return key.substr(prefix.size());
}

}  // namespace

LedgerWriter::LedgerWriter(const Settings& settings, Catalog& catalog, JobTable& jobs,
                           MachineTable& machines, PageTable& pages, RentedList& rented_list,
                           TaskLifecycle& lifecycle, LeadershipClaim& claim)
    : settings_(settings),
      jobs_(jobs),
      lifecycle_(lifecycle),
      claim_(claim),
      limits_(settings),
      page_content_(jobs, machines),
      unlisted_machines_(catalog, machines, rented_list),
      page_splitter_(settings, limits_, page_content_, jobs, pages),
      page_writer_(settings, limits_, page_content_, unlisted_machines_, jobs, pages, lifecycle),
      job_closer_(settings, jobs, lifecycle),
      rented_list_writer_(settings, catalog, machines, rented_list) {}

// ---------------------------------------------------------------- selecting transactions

std::optional<PendingTransaction> LedgerWriter::next_transaction(double now, size_t max_changes) {
  if (claim_.is_lost()) return std::nullopt;
  if (auto resend = next_resend(now)) return resend;
  const std::optional<Index> page = next_page(now);
  const bool starts_pending = page && page_writer_.has_pending_starts(*page);
  if (job_closer_.start_batch_if_due(now, starts_pending))
    if (auto closing = close_jobs(now, max_changes)) return closing;
  // Page writes have priority over the rented list until it is overdue.
  if (!page || rented_list_writer_.overdue(now))
    if (auto list = write_rented_list(now)) return list;
  if (!page) return std::nullopt;
  return send(page_writer_.begin_write(*page, begin_transaction(), now));
}

// Creates a transaction with a new id that is applied only while this controller is the leader.
ledger::Transaction LedgerWriter::begin_transaction() {
  ++last_id_;
  ledger::Transaction transaction;
  transaction.transaction_id =
      std::to_string(claim_.fencing_token()) + "." + std::to_string(last_id_);
  transaction.conditions = {{ledger::kLeaderKey, claim_.fencing_token()}};
  return transaction;
}

// `write` must contain the transaction that begin_transaction() returned last.
PendingTransaction LedgerWriter::send(LedgerWrite write) {
  for (const Index job : write.jobs) ++jobs_[job].in_flight_transactions;
  PendingTransaction pending{last_id_, write.transaction, false};
  in_flight_[last_id_] = {std::move(write), std::nullopt, false};
  return pending;
}

// A transaction with an indeterminate outcome is resent unchanged before anything else is written
// to its rows, so that the effect is the same whichever copy is executed.
std::optional<PendingTransaction> LedgerWriter::next_resend(double now) {
  for (auto& [id, in_flight] : in_flight_) {
    if (!in_flight.resend_at || *in_flight.resend_at > now) continue;
    in_flight.resend_at.reset();
    in_flight.was_resent = true;
    return PendingTransaction{id, in_flight.write.transaction, true};
  }
  return std::nullopt;
}

// Splits pages that are too large; the pages that took their chunks are written first.
std::optional<Index> LedgerWriter::next_page(double now) {
  std::optional<Index> page = page_writer_.next_page(now);
  while (page && page_splitter_.split(*page, now)) page = page_writer_.next_page(now);
  return page;
}

std::optional<PendingTransaction> LedgerWriter::close_jobs(double now, size_t max_changes) {
  const std::vector<Index> jobs = job_closer_.jobs_to_close(now, max_changes);
  if (jobs.empty()) return std::nullopt;
  return send(job_closer_.begin_write(jobs, begin_transaction()));
}

std::optional<PendingTransaction> LedgerWriter::write_rented_list(double now) {
  if (!rented_list_writer_.can_write(now)) return std::nullopt;
  return send(rented_list_writer_.begin_write(begin_transaction(), now));
}

size_t LedgerWriter::pending_writes() const {
  return jobs_.completed().size() + in_flight_.size() + page_writer_.dirty_count();
}

// ---------------------------------------------------------------- applying results

bool LedgerWriter::on_result(uint64_t id, const ledger::Result& result, double now) {
  const auto it = in_flight_.find(id);
  if (it == in_flight_.end()) return false;
  if (result.outcome == Outcome::applied) claim_.confirm(result.revision);
  if (schedule_resend_if_indeterminate(it->second, result.outcome, now)) return false;
  if (result.outcome == Outcome::rejected) {
    on_rejection(it->second.write.transaction);
    // An earlier copy may still be executed. Once the leadership ends, the condition on the leader
    // key prevents that, and the successor reads the resulting state.
    if (it->second.was_resent) {
      claim_.lose("a resent transaction with an indeterminate outcome was rejected");
      return false;
    }
  }
  const LedgerWrite write = std::move(it->second.write);
  in_flight_.erase(it);
  for (const Index index : write.jobs)
    if (Job* job = jobs_.find(index)) --job->in_flight_transactions;
  if (result.outcome == Outcome::conflict && !resolve_conflicts(result.failed_keys, now))
    return false;
  const bool released_attempts = apply_result(write, result, now);
  apply_deferred_job_changes(write.jobs);
  return released_attempts;
}

// Schedules a resend if a copy of the transaction may still be executed; returns whether it may.
bool LedgerWriter::schedule_resend_if_indeterminate(InFlightTransaction& in_flight, Outcome outcome,
                                                    double now) {
  if (outcome == Outcome::indeterminate) {
    in_flight.resend_at = now + kIndeterminateResendIntervalS;
    return true;
  }
  // This copy was not executed, but an earlier one may have been.
  if (outcome == Outcome::not_executed && in_flight.was_resent) {
    in_flight.resend_at = now + kRefusedResendIntervalS;
    return true;
  }
  return false;
}

// The transaction is too large for the state service or malformed. If it exceeds the lowered
// limits, the state service has switched to them.
void LedgerWriter::on_rejection(const ledger::Transaction& transaction) {
  bool is_too_large = transaction.changes.size() > settings_.min_txn_ops();
  for (const ledger::Change& change : transaction.changes)
    is_too_large = is_too_large || ledger::value_size(change.value) > settings_.min_value_bytes();
  if (is_too_large && settings_.next_limits)
    limits_.apply_lowered();
  else
    spdlog::error("ledger: the state service rejected a transaction of {} changes",
                  transaction.changes.size());
}

// Marks jobs whose row has changed as stale until the watch delivers the new row. Returns false if
// the conflict shows that this controller is no longer the leader or that another writer has
// changed a page or the rented list.
bool LedgerWriter::resolve_conflicts(const std::vector<std::string>& failed_keys, double now) {
  for (const std::string& key : failed_keys) {
    if (key == ledger::kLeaderKey) {
      claim_.lose("the leader key has changed");
      return false;
    }
    const auto name = job_id_of_key(key);
    // Only the leader writes pages and the rented list. If they differ from what it wrote, it steps
    // down, and the next leader reads the whole ledger.
    if (!name) {
      claim_.lose(key + " was changed by another writer");
      return false;
    }
    Job* job = jobs_.find(*name);
    if (job && !job->is_finished() && !job->is_stale()) job->stale_since = now;
  }
  return true;
}

// Returns whether ended attempts were released.
bool LedgerWriter::apply_result(const LedgerWrite& write, const ledger::Result& result,
                                double now) {
  if (const auto* page = std::get_if<PageWrite>(&write.content))
    return page_writer_.on_result(*page, write.jobs, result, now);
  if (std::holds_alternative<FinalStateWrite>(write.content))
    job_closer_.on_result(write.jobs, result, now);
  else
    rented_list_writer_.on_result(write.transaction, result);
  return false;
}

// Stops attempts of cancelled jobs and erases finished jobs, which had to wait until the
// transaction was no longer in flight.
void LedgerWriter::apply_deferred_job_changes(const std::vector<Index>& jobs) {
  for (const Index index : jobs) {
    Job* job = jobs_.find(index);
    if (!job) continue;
    if (job->state == JobState::cancelled)
      for (auto& [task, attempt] : job->attempts) lifecycle_.stop(*job, attempt, 0);
    lifecycle_.erase_if_finished(index);
  }
}

}  // namespace rookdyke
