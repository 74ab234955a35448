#include "ledger_writer/page_writer.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "ledger_writer/retry_intervals.h"

namespace rookdyke {

namespace {

// Ends that nobody waits for are gathered this many seconds before their page is written: their
// workers list them until then, so that a new leader hears of them all the same.
constexpr double kGatherEndsInterval = 6;
// A page gains one step of urgency for each of these, in seconds, so that none is put off for ever.
// Replicas go first all the same; they are few.
constexpr double kUrgencyStepInterval = 8;
constexpr size_t kConditionsPerChange = 4;  // the state service's limit
// After a write that had no room for all starts, in seconds.
constexpr double kOmittedStartsInterval = 0.1;

// The smallest is written first.
struct PageRank {
  int urgency;
  double dirty_since;

  bool operator<(const PageRank& other) const {
    return std::tie(urgency, dirty_since) < std::tie(other.urgency, other.dirty_since);
  }
};

// The page must be dirty.
PageRank rank_of(const Page& page, double now) {
  constexpr int kMostUrgentByAge = static_cast<int>(WriteUrgency::prompt_start);
  const double dirty_since = page.dirty_since.value();
  const int urgency = static_cast<int>(page.write_urgency);
  if (urgency <= kMostUrgentByAge) return {urgency, dirty_since};
  const int steps = static_cast<int>((now - dirty_since) / kUrgencyStepInterval);
  return {std::max(kMostUrgentByAge, urgency - steps), dirty_since};
}

bool may_be_written(const Page& page, double now) {
  if (!page.dirty_since || page.in_flight || page.unwritten_splits > 0 || page.retry_at > now)
    return false;
  return page.write_urgency != WriteUrgency::none || now - *page.dirty_since >= kGatherEndsInterval;
}

}  // namespace

// A page as it is about to be written.
struct PageWriter::Draft {
  struct Start {  // a proposal that may be written with it
    size_t entry;
    Job* job;
    Attempt* attempt;
  };
  ledger::Page page;
  size_t size = 0;  // bytes of its entries
  std::vector<Start> starts;
  std::vector<TaskRef> started, ended;
  bool omits_starts = false;  // some have no room in this write

  // The jobs of all attempts that this write is about.
  std::vector<Index> jobs() const {
    std::set<Index> named;
    for (const TaskRef& ref : started) named.insert(ref.job);
    for (const TaskRef& ref : ended) named.insert(ref.job);
    return {named.begin(), named.end()};
  }
};

// ---------------------------------------------------------------- which page

std::optional<Index> PageWriter::next_page(double now) const {
  std::optional<Index> first;
  for (Index i = 0; i < pages_.size(); ++i) {
    if (!may_be_written(pages_[i], now)) continue;
    if (!first || rank_of(pages_[i], now) < rank_of(pages_[*first], now)) first = i;
  }
  return first;
}

bool PageWriter::starts_wait_for(Index page) const {
  return pages_[page].write_urgency < WriteUrgency::restart;
}

size_t PageWriter::dirty_count() const {
  const auto& pages = pages_.all();
  return std::count_if(pages.begin(), pages.end(),
                       [](const Page& page) { return page.dirty_since.has_value(); });
}

// ---------------------------------------------------------------- drafts

LedgerWrite PageWriter::begin_write(Index number, ledger::Transaction transaction, double now) {
  Page& page = pages_[number];
  Draft draft;
  draft.page.transaction_id = transaction.transaction_id;
  transaction.conditions.push_back({ledger::page_key(number), page.version});
  draft_entries(page, draft);
  add_starts(draft, transaction.conditions);
  transaction.changes = {{ledger::page_key(number), false, ledger::encode(draft.page), 0}};
  page.in_flight = true;
  page.mark_clean();
  if (draft.omits_starts) {
    page.mark_dirty(WriteUrgency::prompt_start, now);
    page.retry_at = now + kOmittedStartsInterval;
  }
  return {std::move(transaction), draft.jobs(),
          PageWrite{number, std::move(draft.started), std::move(draft.ended)}};
}

// What is durable already has its place before any new start.
void PageWriter::draft_entries(const Page& page, Draft& draft) {
  draft.page.entries = page.unreadable_jobs;
  draft.size = entries_size(page.unreadable_jobs);
  for (const ChunkRef& chunk : page.members) {
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

// The ended and the proposed attempts of a chunk whose entry is the next to be drafted.
void PageWriter::collect_attempts(Job& job, uint32_t first, Draft& draft) {
  const uint32_t end = first + job.chunks.at(first).count;
  for (auto it = job.attempts.lower_bound(first); it != job.attempts.end() && it->first < end;
       ++it) {
    Attempt& attempt = it->second;
    if (attempt.state == AttemptState::ended) draft.ended.push_back({job.id, attempt.task});
    if (attempt.state == AttemptState::proposed)
      draft.starts.push_back({draft.page.entries.size(), &job, &attempt});
  }
}

// Invariant 1: the leader key and the job's version guard every start. The page's own version makes
// a repeat or a late copy of this transaction harmless: exactly one copy can apply.
void PageWriter::add_starts(Draft& draft, std::vector<ledger::Condition>& conditions) {
  const size_t most_conditions = kConditionsPerChange * settings_.lasting_txn_ops();
  std::set<Index> guarded;  // jobs whose version is among the conditions
  for (const Draft::Start& start : draft.starts) {
    const Job& job = *start.job;
    if (job.state != JobState::open || job.is_stale()) continue;
    const ledger::LiveAttempt live = content_.live_attempt(*start.attempt);
    const bool needs_guard = !guarded.count(job.id);
    if (draft.size + ledger::encoded_size(live) > limits_.page_room() ||
        (needs_guard && conditions.size() >= most_conditions)) {
      draft.omits_starts = true;
      continue;
    }
    if (needs_guard) {
      guarded.insert(job.id);
      conditions.push_back({ledger::job_key(job.spec.id), job.version});
    }
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
  place_started(write.started, now);
  return release_ended(write.ended);
}

// Nothing was written. Proposals of a job whose row changed are void, for they were never ordered;
// all others are written anew.
void PageWriter::on_not_applied(Page& page, const std::vector<Index>& jobs, ledger::Outcome outcome,
                                double now) {
  if (outcome == ledger::Outcome::refused) page.retry_at = now + kRetryRefusedInterval;
  if (outcome == ledger::Outcome::rejected) {
    const bool is_too_large = content_.wanted_size(page) > limits_.page_room();
    page.retry_at = now + (is_too_large ? 0 : kRetryRejectedInterval);
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
  --pages_[page.split_from].unwritten_splits;
  page.split_from = kNone;
}

void PageWriter::place_started(const std::vector<TaskRef>& started, double now) {
  for (const TaskRef& ref : started) {
    Job* job = jobs_.find(ref.job);
    if (!job) continue;
    const auto it = job->attempts.find(ref.task);
    if (it == job->attempts.end() || it->second.state != AttemptState::proposed) continue;
    lifecycle_.mark_placed(*job, it->second, now);
  }
}

// True: there were any.
bool PageWriter::release_ended(const std::vector<TaskRef>& ended) {
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
