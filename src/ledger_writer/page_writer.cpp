#include "ledger_writer/page_writer.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "ledger_writer/retry_intervals.h"

namespace rookdyke {

namespace {

// Ends of completed tasks, which nothing waits for, are batched for this interval. Workers list
// them until they are durable, so that a new leader learns of them in any case.
constexpr double kEndsBatchIntervalS = 6;
// A page gains one level of urgency per interval, so that no write is deferred for ever. It does
// not reach the urgency of replicas, whose writes are few.
constexpr double kUrgencyStepIntervalS = 8;
constexpr size_t kConditionsPerChange = 4;  // the state service's limit
// Delay before a page is written again after a write that omitted some starts.
constexpr double kOmittedStartsRetryS = 0.1;

// Sort key of dirty pages; the smallest is written first.
struct WriteOrder {
  int urgency;
  double dirty_since;

  bool operator<(const WriteOrder& other) const {
    return std::tie(urgency, dirty_since) < std::tie(other.urgency, other.dirty_since);
  }
};

// The page must be dirty.
WriteOrder write_order(const Page& page, double now) {
  constexpr int kMaxUrgencyByAge = static_cast<int>(WriteUrgency::prompt_start);
  const double dirty_since = page.dirty_since.value();
  const int urgency = static_cast<int>(page.write_urgency);
  if (urgency <= kMaxUrgencyByAge) return {urgency, dirty_since};
  const int steps = static_cast<int>((now - dirty_since) / kUrgencyStepIntervalS);
  return {std::max(kMaxUrgencyByAge, urgency - steps), dirty_since};
}

bool is_writable(const Page& page, double now) {
  if (!page.dirty_since || page.in_flight || page.pending_split_pages > 0 || page.retry_at > now)
    return false;
  return page.write_urgency != WriteUrgency::none || now - *page.dirty_since >= kEndsBatchIntervalS;
}

}  // namespace

// The contents of a page write under construction.
struct PageWriter::Draft {
  struct Start {  // a proposal that may be included
    size_t entry;
    Job* job;
    Attempt* attempt;
  };
  ledger::PageRow page;
  size_t size = 0;  // bytes of its entries and machines
  std::vector<Start> starts;
  std::set<Index> placed_on;  // unlisted machines that hold attempts whose start is durable
  std::set<Index> machines;   // unlisted machines whose attributes are included
  std::vector<TaskRef> started, ended;
  bool has_omitted_starts = false;  // some starts do not fit into this write

  // The jobs of all attempts whose start or end is included.
  std::vector<Index> jobs() const {
    std::set<Index> named;
    for (const TaskRef& ref : started) named.insert(ref.job);
    for (const TaskRef& ref : ended) named.insert(ref.job);
    return {named.begin(), named.end()};
  }
};

// ---------------------------------------------------------------- page selection

std::optional<Index> PageWriter::next_page(double now) const {
  std::optional<Index> first;
  for (Index i = 0; i < pages_.size(); ++i) {
    if (!is_writable(pages_[i], now)) continue;
    if (!first || write_order(pages_[i], now) < write_order(pages_[*first], now)) first = i;
  }
  return first;
}

bool PageWriter::has_pending_starts(Index page) const {
  return pages_[page].write_urgency < WriteUrgency::restart;
}

size_t PageWriter::dirty_count() const {
  const auto& pages = pages_.all();
  return std::count_if(pages.begin(), pages.end(),
                       [](const Page& page) { return page.dirty_since.has_value(); });
}

// ---------------------------------------------------------------- page contents

LedgerWrite PageWriter::begin_write(Index number, ledger::Transaction transaction, double now) {
  Page& page = pages_[number];
  Draft draft;
  draft.page.transaction_id = transaction.transaction_id;
  transaction.conditions.push_back({ledger::page_key(number), page.version});
  draft_entries(page, draft);
  add_machines_of_placed_attempts(draft);
  add_starts(draft, transaction.conditions);
  draft.page.machines = unlisted_machines_.groups(draft.machines);
  transaction.changes = {{ledger::page_key(number), false, ledger::encode(draft.page), 0}};
  page.in_flight = true;
  page.mark_clean();
  if (draft.has_omitted_starts) {
    page.mark_dirty(WriteUrgency::prompt_start, now);
    page.retry_at = now + kOmittedStartsRetryS;
  }
  return {std::move(transaction), draft.jobs(),
          PageWrite{number, std::move(draft.started), std::move(draft.ended)}};
}

// Adds the durable state of all chunks; add_starts() then fills the remaining capacity.
void PageWriter::draft_entries(const Page& page, Draft& draft) {
  draft.page.entries = page.unreadable_jobs;
  draft.size = entries_size(page.unreadable_jobs);
  for (const ChunkRef& chunk : page.chunks) {
    Job& job = jobs_[chunk.job];
    if (job.state == JobState::open && job.in_flight_transactions == 0)
      lifecycle_.withdraw_proposals(job, false);
    collect_attempts(job, chunk.first, draft);
    ledger::PageEntry entry = draft_entry(job, chunk.first);
    draft.size += entry_size(entry.job, entry.chunk);
    draft.page.entries.push_back(std::move(entry));
  }
}

ledger::PageEntry PageWriter::draft_entry(const Job& job, uint32_t first) const {
  const uint32_t count = job.chunks.at(first).count;
  ledger::PageEntry entry;
  entry.job = job.spec.id;
  entry.n = first / job.chunk_size;
  const uint32_t whole = std::min(job.chunk_size, job.tasks() - entry.n * job.chunk_size);
  if (first % job.chunk_size != 0 || count != whole) entry.range = ledger::TaskRange{first, count};
  entry.chunk = content_.durable_chunk(job, first, count);
  return entry;
}

// Collects the ended and proposed attempts of the chunk whose entry is added next.
void PageWriter::collect_attempts(Job& job, uint32_t first, Draft& draft) {
  const uint32_t end = first + job.chunks.at(first).count;
  for (auto it = job.attempts.lower_bound(first); it != job.attempts.end() && it->first < end;
       ++it) {
    Attempt& attempt = it->second;
    if (attempt.state == AttemptState::ended) draft.ended.push_back({job.id, attempt.task});
    if (attempt.state == AttemptState::proposed)
      draft.starts.push_back({draft.page.entries.size(), &job, &attempt});
    else if (attempt.state != AttemptState::ended &&
             unlisted_machines_.is_unlisted(attempt.machine))
      draft.placed_on.insert(attempt.machine);
  }
}

// The size of the draft if it also held an attempt on the machine, without that attempt's bytes.
size_t PageWriter::size_with_machine(const Draft& draft, Index machine) const {
  if (draft.machines.count(machine) || !unlisted_machines_.is_unlisted(machine)) return draft.size;
  return draft.size + unlisted_machines_.encoded_size(machine);
}

void PageWriter::add_machine(Draft& draft, Index machine) const {
  draft.size = size_with_machine(draft, machine);
  if (unlisted_machines_.is_unlisted(machine)) draft.machines.insert(machine);
}

// A page that a version before 0.2.0 filled may have no room for the attributes. A successor then
// treats them as unknown until the rented list contains the machine.
void PageWriter::add_machines_of_placed_attempts(Draft& draft) const {
  for (const Index machine : draft.placed_on)
    if (size_with_machine(draft, machine) <= limits_.page_capacity()) add_machine(draft, machine);
}

// Every start is conditional on the leader key and the version of its job's row (invariant 1). The
// condition on the page's version ensures that at most one copy of the transaction is applied if it
// is resent or delayed.
void PageWriter::add_starts(Draft& draft, std::vector<ledger::Condition>& conditions) {
  const size_t max_conditions = kConditionsPerChange * settings_.min_txn_ops();
  std::set<Index> jobs_with_condition;  // jobs whose version is among the conditions
  for (const Draft::Start& start : draft.starts) {
    const Job& job = *start.job;
    if (job.state != JobState::open || job.is_stale()) continue;
    const ledger::LiveAttempt live = content_.live_attempt(*start.attempt);
    const bool needs_condition = !jobs_with_condition.count(job.id);
    const size_t size =
        size_with_machine(draft, start.attempt->machine) + ledger::encoded_size(live);
    if (size > limits_.page_capacity() ||
        (needs_condition && conditions.size() >= max_conditions)) {
      draft.has_omitted_starts = true;
      continue;
    }
    if (needs_condition) {
      jobs_with_condition.insert(job.id);
      conditions.push_back({ledger::job_key(job.spec.id), job.version});
    }
    add_machine(draft, start.attempt->machine);
    draft.size += ledger::encoded_size(live);
    draft.page.entries[start.entry].chunk.live.push_back(live);
    draft.started.push_back({job.id, start.attempt->task});
  }
}

// ---------------------------------------------------------------- results

bool PageWriter::on_result(const PageWrite& write, const std::vector<Index>& jobs,
                           const ledger::Result& result, double now) {
  Page& page = pages_[write.page];
  page.in_flight = false;
  if (result.outcome != ledger::Outcome::applied) {
    on_not_applied(page, jobs, result.outcome, now);
    return false;
  }
  mark_durable(page, result.revision);
  mark_starts_placed(write.started, now);
  return release_ended_attempts(write.ended);
}

// The page was not written. Withdraws proposals of jobs whose row has changed, which is safe since
// no worker was told to start them; all others are written again.
void PageWriter::on_not_applied(Page& page, const std::vector<Index>& jobs, ledger::Outcome outcome,
                                double now) {
  if (outcome == ledger::Outcome::not_executed) page.retry_at = now + kRefusedRetryIntervalS;
  if (outcome == ledger::Outcome::rejected) {
    const bool is_too_large = content_.size_with_proposals(page) > limits_.page_capacity();
    page.retry_at = now + (is_too_large ? 0 : kRejectedRetryIntervalS);
  }
  if (!page.dirty_since) page.dirty_since = now;
  page.write_urgency =
      page.kind == PageKind::service ? WriteUrgency::replica : WriteUrgency::prompt_start;
  for (const Index index : jobs)
    if (Job* job = jobs_.find(index); job && (job->is_stale() || job->is_finished()))
      lifecycle_.withdraw_proposals(*job, true);
}

void PageWriter::mark_durable(Page& page, uint64_t revision) {
  page.version = revision;
  if (page.split_from == kNone) return;
  --pages_[page.split_from].pending_split_pages;
  page.split_from = kNone;
}

void PageWriter::mark_starts_placed(const std::vector<TaskRef>& started, double now) {
  for (const TaskRef& ref : started) {
    Job* job = jobs_.find(ref.job);
    if (!job) continue;
    const auto it = job->attempts.find(ref.task);
    if (it == job->attempts.end() || it->second.state != AttemptState::proposed) continue;
    lifecycle_.mark_placed(*job, it->second, now);
  }
}

// Returns whether any attempt was released.
bool PageWriter::release_ended_attempts(const std::vector<TaskRef>& ended) {
  bool any = false;
  for (const TaskRef& ref : ended) {
    Job* job = jobs_.find(ref.job);
    if (!job || job->state == JobState::cancelled) continue;
    const auto it = job->attempts.find(ref.task);
    if (it == job->attempts.end() || it->second.state != AttemptState::ended) continue;
    lifecycle_.release(*job, ref.task);
    any = true;
  }
  return any;
}

}  // namespace rookdyke
