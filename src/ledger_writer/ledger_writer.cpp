#include "ledger_writer/ledger_writer.h"

#include <spdlog/spdlog.h>

#include <string_view>
#include <utility>
#include <variant>

namespace rookdyke {

using ledger::Outcome;

namespace {

// Until a transaction whose outcome is not known goes out again, in seconds.
constexpr double kRepeatUnknownInterval = 0.3;
constexpr double kRepeatRefusedInterval = 0.5;

// The job that a key of the ledger is about; empty: it is no job's key.
std::optional<std::string> job_of_key(const std::string& key) {
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
      page_splitter_(settings, limits_, page_content_, jobs, pages),
      page_writer_(settings, limits_, page_content_, jobs, pages, lifecycle),
      job_closer_(settings, jobs, lifecycle),
      rented_list_writer_(settings, catalog, machines, rented_list) {}

// ---------------------------------------------------------------- what is sent

std::optional<PendingTransaction> LedgerWriter::next_transaction(double now, size_t room) {
  if (claim_.is_lost()) return std::nullopt;
  if (auto repeated = repeat_unanswered(now)) return repeated;
  const std::optional<Index> page = next_page(now);
  const bool starts_wait = page && page_writer_.starts_wait_for(*page);
  if (job_closer_.take_turn(now, starts_wait))
    if (auto closing = close_jobs(now, room)) return closing;
  // The rented list too is put off only so long.
  if (!page || rented_list_writer_.overdue(now))
    if (auto list = write_rented_list(now)) return list;
  if (!page) return std::nullopt;
  return send(page_writer_.begin_write(*page, begin_transaction(), now));
}

// A transaction with a new id that is applied only while we lead.
ledger::Transaction LedgerWriter::begin_transaction() {
  ++last_id_;
  ledger::Transaction transaction;
  transaction.transaction_id =
      std::to_string(claim_.fencing_token()) + "." + std::to_string(last_id_);
  transaction.conditions = {{ledger::kLeaderKey, claim_.fencing_token()}};
  return transaction;
}

// `write` is of the transaction that was begun last.
PendingTransaction LedgerWriter::send(LedgerWrite write) {
  for (const Index job : write.jobs) ++jobs_[job].in_flight_transactions;
  PendingTransaction pending{last_id_, write.transaction, false};
  in_flight_[last_id_] = {std::move(write), std::nullopt, false};
  return pending;
}

// An unanswered transaction goes out again, word for word, before anything else is decided about
// its rows: whatever copy is executed, the outcome is the same.
std::optional<PendingTransaction> LedgerWriter::repeat_unanswered(double now) {
  for (auto& [id, in_flight] : in_flight_) {
    if (!in_flight.repeat_at || *in_flight.repeat_at > now) continue;
    in_flight.repeat_at.reset();
    in_flight.sent_again = true;
    return PendingTransaction{id, in_flight.write.transaction, true};
  }
  return std::nullopt;
}

// Pages that are too large are split on the way; what they were split into goes first.
std::optional<Index> LedgerWriter::next_page(double now) {
  std::optional<Index> page = page_writer_.next_page(now);
  while (page && page_splitter_.split(*page, now)) page = page_writer_.next_page(now);
  return page;
}

std::optional<PendingTransaction> LedgerWriter::close_jobs(double now, size_t room) {
  const std::vector<Index> jobs = job_closer_.next_jobs(now, room);
  if (jobs.empty()) return std::nullopt;
  return send(job_closer_.begin_write(jobs, begin_transaction()));
}

std::optional<PendingTransaction> LedgerWriter::write_rented_list(double now) {
  if (!rented_list_writer_.can_write(now)) return std::nullopt;
  return send(rented_list_writer_.begin_write(begin_transaction(), now));
}

size_t LedgerWriter::unsent() const {
  return jobs_.completed().size() + in_flight_.size() + page_writer_.dirty_count();
}

// ---------------------------------------------------------------- what its result means

bool LedgerWriter::on_result(uint64_t id, const ledger::Result& result, double now) {
  const auto it = in_flight_.find(id);
  if (it == in_flight_.end()) return false;
  if (repeat_if_open(it->second, result.outcome, now)) return false;
  if (result.outcome == Outcome::rejected) {
    on_rejection(it->second.write.transaction);
    // No other copy will be executed either, but an earlier one may still be: with the end of our
    // leadership the leader key makes it void, and a successor reads what became of it.
    if (it->second.sent_again) {
      claim_.lose("an unanswered transaction is rejected now");
      return false;
    }
  }
  const LedgerWrite write = std::move(it->second.write);
  in_flight_.erase(it);
  for (const Index index : write.jobs)
    if (Job* job = jobs_.find(index)) --job->in_flight_transactions;
  if (result.outcome == Outcome::conflict && !accept_conflicts(result.failed, now)) return false;
  const bool frees_tasks = apply_result(write, result, now);
  finish_jobs(write.jobs);
  return frees_tasks;
}

// Whether a copy of the transaction may still be executed; then it goes out again.
bool LedgerWriter::repeat_if_open(InFlightTransaction& in_flight, Outcome outcome, double now) {
  if (outcome == Outcome::unknown) {
    in_flight.repeat_at = now + kRepeatUnknownInterval;
    return true;
  }
  // This copy was not executed, but an earlier one may be.
  if (outcome == Outcome::refused && in_flight.sent_again) {
    in_flight.repeat_at = now + kRepeatRefusedInterval;
    return true;
  }
  return false;
}

// The state service takes nothing that large, or nothing of that form.
void LedgerWriter::on_rejection(const ledger::Transaction& transaction) {
  bool large = transaction.changes.size() > settings_.lasting_txn_ops();
  for (const ledger::Change& change : transaction.changes)
    large = large || ledger::value_size(change.value) > settings_.lasting_value_bytes();
  if (large && settings_.next_limits)
    limits_.apply_lowered();
  else
    spdlog::error("ledger: a transaction of {} changes is rejected", transaction.changes.size());
}

// Jobs whose row has changed are stale until the watch brings it. False: the conflict shows that we
// do not lead any more, or that the ledger is not as we wrote it.
bool LedgerWriter::accept_conflicts(const std::vector<std::string>& failed_keys, double now) {
  for (const std::string& key : failed_keys) {
    if (key == ledger::kLeaderKey) {
      claim_.lose("the leader key is not ours any more");
      return false;
    }
    const auto name = job_of_key(key);
    // Nobody but the leader writes pages and the rented list; a ledger that disagrees is read anew
    // from scratch.
    if (!name) {
      claim_.lose(key + " is not as we left it");
      return false;
    }
    Job* job = jobs_.find(*name);
    if (job && !job->is_finished() && !job->is_stale()) job->stale_since = now;
  }
  return true;
}

// True: tasks have become free to start again.
bool LedgerWriter::apply_result(const LedgerWrite& write, const ledger::Result& result,
                                double now) {
  if (const auto* page = std::get_if<PageWrite>(&write.content))
    return page_writer_.on_result(*page, write.jobs, result, now);
  if (std::holds_alternative<JobClosing>(write.content))
    job_closer_.on_result(write.jobs, result, now);
  else
    rented_list_writer_.on_result(write.transaction, result);
  return false;
}

// What could not be stopped or erased while the transaction was in flight.
void LedgerWriter::finish_jobs(const std::vector<Index>& jobs) {
  for (const Index index : jobs) {
    Job* job = jobs_.find(index);
    if (!job) continue;
    if (job->state == JobState::cancelled)
      for (auto& [task, attempt] : job->attempts) lifecycle_.stop(*job, attempt, 0);
    lifecycle_.erase_if_finished(index);
  }
}

}  // namespace rookdyke
