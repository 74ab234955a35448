// What is written to the ledger, in which order, and what the state service's answers mean.

#include <spdlog/spdlog.h>

#include <algorithm>

#include "scheduler/scheduler.h"

namespace rookdyke {

using ledger::Outcome;

namespace {

// Ends that nobody waits for are gathered this long before their page is written: their workers
// list them until then, so that a new leader hears of them all the same.
constexpr double kGatherEnds = 6;
constexpr size_t kMostClosings = 16;
constexpr double kGatherClosings = 0.5;
constexpr size_t kLeastClosings = 4;  // at once, whatever is left of the rate of changes
// What has waited this long goes as if somebody more impatient waited for it: nothing is put off
// for ever. Replicas go first all the same; they are few.
constexpr double kPutOff = 8;
constexpr size_t kConditionsPerChange = 4;  // the state service's limit
constexpr double kRetryRefused = 0.25;
constexpr double kRetryConflict = 0.02;
// A transaction that was rejected although it is within all limits that we know.
constexpr double kRetryRejected = 2;

}  // namespace

std::string Scheduler::transaction_id_of(uint64_t txn) const {
  return std::to_string(claim_.fencing_token()) + "." + std::to_string(txn);
}

void Scheduler::apply_lowered_limits() {
  if (!settings_.next_limits || uses_lowered_limits_) return;
  uses_lowered_limits_ = true;
  spdlog::info("the state service has lowered its limits: values of {} bytes at most from now on",
               settings_.lasting_value_bytes());
}

// ---------------------------------------------------------------- which page holds what

// What a page may hold now. New chunks are laid out for the lowered limits from the start
// (page_for); only pages of before may hold more, and only until the limits are lowered.
size_t Scheduler::page_room() const {
  return ledger::page_room(uses_lowered_limits_ ? settings_.lasting_value_bytes()
                                                : settings_.value_bytes);
}

// ---------------------------------------------------------------- pages under lowered limits

// What is durable of some consecutive tasks, or is to be with the next write: no proposed starts.
ledger::Chunk Scheduler::durable_chunk(const Job& job, uint32_t first, uint32_t count) const {
  ledger::Chunk chunk;
  chunk.highest_attempt = job.highest_attempt;
  const uint32_t end = first + count;
  for (const auto& [a, b] : job.done.ranges()) {
    if (b < first || a >= end) continue;
    for (uint32_t t = std::max(a, first); t <= std::min(b, end - 1); ++t) chunk.done.add(t);
  }
  for (auto it = job.attempts.lower_bound(first); it != job.attempts.end() && it->first < end;
       ++it) {
    const Attempt& a = it->second;
    if (a.state == AttemptState::ended || a.state == AttemptState::proposed) continue;
    chunk.live.push_back({a.task, a.number, machines_[a.machine].name, a.epoch});
  }
  return chunk;
}

namespace {

size_t size_of(const std::string& job, const ledger::Chunk& chunk) {
  size_t size = ledger::encoded_size(job, chunk.done);
  for (const ledger::LiveAttempt& live : chunk.live) size += ledger::encoded_size(live);
  return size;
}

size_t size_of(const std::vector<ledger::PageEntry>& entries) {
  size_t size = 0;
  for (const ledger::PageEntry& e : entries) size += size_of(e.job, e.chunk);
  return size;
}

}  // namespace

// What is durable, or is to be with the next write: proposed starts count too, for in a page that
// has no room for them they would wait until others end.
size_t Scheduler::wanted_size(const Job& job, uint32_t first) const {
  const uint32_t count = job.chunks.at(first).count;
  size_t size = size_of(job.spec.id, durable_chunk(job, first, count));
  for (auto it = job.attempts.lower_bound(first);
       it != job.attempts.end() && it->first < first + count; ++it) {
    const Attempt& a = it->second;
    if (a.state == AttemptState::proposed)
      size += ledger::encoded_size({a.task, a.number, machines_[a.machine].name, a.epoch});
  }
  return size;
}

size_t Scheduler::wanted_size(const Page& page) const {
  size_t size = size_of(page.unreadable_jobs);
  for (const auto& [j, first] : page.members) size += wanted_size(jobs_[j], first);
  return size;
}

void Scheduler::split_chunk(Job& job, uint32_t first) {
  const ChunkPlace whole = job.chunks.at(first);
  const uint32_t most = ledger::tasks_per_chunk(settings_.lasting_value_bytes());
  const uint32_t piece = std::max(1u, std::min(most, whole.count / 2));
  pages_.remove_chunk(job, first);
  job.chunks.erase(first);
  const uint32_t end = first + whole.count;
  for (uint32_t from = first; from < end; from += piece) {
    job.chunks[from] = {std::min(piece, end - from), kNone};
    pages_.add_chunk(job, from, whole.page);
  }
}

void Scheduler::split_large_chunks(Index i) {
  while (true) {
    const auto& members = pages_[i].members;
    const auto large = std::find_if(members.begin(), members.end(), [this](const auto& member) {
      const Job& job = jobs_[member.first];
      return job.chunks.at(member.second).count > 1 &&
             wanted_size(job, member.second) > page_room();
    });
    if (large == members.end()) return;
    const auto [j, first] = *large;
    split_chunk(jobs_[j], first);
  }
}

// A page that was laid out under larger limits cannot be written as it is to be any more. Chunks of
// it are moved to pages of their own, which are written first; until then the page itself is not,
// for what was moved is durable only there. True: that has been begun.
bool Scheduler::split_page(Index i, double now) {
  if (!uses_lowered_limits_ || wanted_size(pages_[i]) <= page_room()) return false;
  split_large_chunks(i);
  const size_t room = page_room();
  const auto members = pages_[i].members;
  size_t left = wanted_size(pages_[i]);
  size_t filled = 0;
  Index to = kNone;
  for (const auto& [j, first] : members) {
    if (left <= room) break;
    Job& job = jobs_[j];
    const size_t bytes = wanted_size(job, first);
    const bool fits_in = to != kNone && filled + bytes <= room &&
                         pages_[to].reserved + job.chunk_bytes(first) <= room;
    if (!fits_in) {
      to = pages_.empty_page(pages_[i].kind);
      filled = 0;
      pages_[to].split_from = i;
      pages_[to].dirty_since = now;
      pages_[to].write_urgency = WriteUrgency::prompt_start;
      ++pages_[i].unwritten_splits;
    }
    pages_.remove_chunk(job, first);
    pages_.add_chunk(job, first, to);
    filled += bytes;
    left -= bytes;
  }
  spdlog::debug("page {}: chunks moved to {} others", i, pages_[i].unwritten_splits);
  return pages_[i].unwritten_splits > 0;
}

// ---------------------------------------------------------------- proposals

// ---------------------------------------------------------------- transactions

// A page as it is about to be written.
struct Scheduler::PageDraft {
  struct Start {  // a proposal that may be written with it
    size_t entry;
    Job* job;
    Attempt* attempt;
  };
  ledger::Page page;
  size_t size = 0;
  std::vector<Start> starts;
  std::vector<std::pair<Index, uint32_t>> ended;  // (job, task)
  bool left_out = false;                          // some starts have no room in this write
};

// What is durable already has its place first.
void Scheduler::draft_entries(const Page& page, PageDraft& draft) {
  draft.page.entries = page.unreadable_jobs;
  draft.size = size_of(page.unreadable_jobs);
  for (const auto& [j, first] : page.members) {
    Job& job = jobs_[j];
    if (job.state == JobState::open && job.in_flight_transactions == 0)
      lifecycle_.withdraw_proposals(job, false);
    const uint32_t count = job.chunks.at(first).count;
    ledger::PageEntry e;
    e.job = job.spec.id;
    e.n = first / job.chunk_size;
    const uint32_t whole = std::min(job.chunk_size, job.tasks() - e.n * job.chunk_size);
    if (first % job.chunk_size != 0 || count != whole) e.range = ledger::TaskRange{first, count};
    e.chunk = durable_chunk(job, first, count);
    for (auto it = job.attempts.lower_bound(first);
         it != job.attempts.end() && it->first < first + count; ++it) {
      Attempt& a = it->second;
      if (a.state == AttemptState::ended) draft.ended.emplace_back(j, a.task);
      if (a.state == AttemptState::proposed)
        draft.starts.push_back({draft.page.entries.size(), &job, &a});
    }
    draft.size += size_of(e.job, e.chunk);
    draft.page.entries.push_back(std::move(e));
  }
}

// New starts, while there is room for them.
void Scheduler::add_starts(PageDraft& draft, InFlightTransaction& f) {
  const size_t most_conditions = kConditionsPerChange * settings_.lasting_txn_ops();
  std::set<Index> named;
  for (const PageDraft::Start& s : draft.starts) {
    if (s.job->state != JobState::open || s.job->is_stale()) continue;
    const ledger::LiveAttempt live{s.attempt->task, s.attempt->number,
                                   machines_[s.attempt->machine].name, s.attempt->epoch};
    const bool fresh = !named.count(s.job->id);
    if (draft.size + ledger::encoded_size(live) > page_room() ||
        (fresh && f.txn.conditions.size() >= most_conditions)) {
      draft.left_out = true;
      continue;
    }
    // Invariant 1: the leader key and the job's version guard every start. The page's own version
    // makes a repeat or a late copy of this transaction harmless: exactly one copy can apply.
    if (fresh) {
      named.insert(s.job->id);
      f.txn.conditions.push_back({ledger::job_key(s.job->spec.id), s.job->version});
    }
    draft.size += ledger::encoded_size(live);
    draft.page.entries[s.entry].chunk.live.push_back(live);
    f.started.emplace_back(s.job->id, s.attempt->task);
  }
  for (const auto& [j, task] : f.ended) named.insert(j);
  f.jobs.assign(named.begin(), named.end());
}

std::optional<PendingTransaction> Scheduler::page_transaction(Index i, double now) {
  const uint64_t id = ++next_txn_;
  InFlightTransaction f;
  f.page = i;
  PageDraft draft;
  draft.page.transaction_id = f.txn.transaction_id = transaction_id_of(id);
  f.txn.conditions = {{ledger::kLeaderKey, claim_.fencing_token()},
                      {ledger::page_key(i), pages_[i].version}};
  draft_entries(pages_[i], draft);
  f.ended = std::move(draft.ended);
  add_starts(draft, f);
  for (Index j : f.jobs) ++jobs_[j].in_flight_transactions;
  f.txn.changes = {{ledger::page_key(i), false, ledger::encode(draft.page), 0}};
  Page& page = pages_[i];
  page.in_flight = true;
  page.dirty_since = draft.left_out ? now : -1;
  page.write_urgency = draft.left_out ? WriteUrgency::prompt_start : WriteUrgency::none;
  if (draft.left_out) page.retry_at = now + 0.1;
  PendingTransaction p{id, f.txn, false};
  in_flight_transactions_[id] = std::move(f);
  return p;
}

// As many as a transaction takes: each job's final state is a row of its own, kept for ever.
std::optional<PendingTransaction> Scheduler::closing_transaction(double now, size_t room) {
  InFlightTransaction f;
  f.kind = InFlightTransaction::Kind::closing;
  uint64_t id = 0;
  for (Index i : jobs_.completed()) {
    if (f.jobs.size() >=
        std::min({settings_.lasting_txn_ops(), kMostClosings, std::max(kLeastClosings, room)}))
      break;
    Job& job = jobs_[i];
    if (job.state != JobState::open || job.is_stale() || job.retry_at > now ||
        job.in_flight_transactions > 0)
      continue;
    if (f.jobs.empty()) {
      id = ++next_txn_;
      f.txn.transaction_id = transaction_id_of(id);
      f.txn.conditions = {{ledger::kLeaderKey, claim_.fencing_token()}};
    }
    ledger::JobRow row;
    row.status = ledger::JobStatus::done;
    row.tasks = job.tasks();
    row.chunk_size = job.chunk_size;
    row.transaction_id = f.txn.transaction_id;
    f.txn.conditions.push_back({ledger::job_key(job.spec.id), job.version});
    f.txn.changes.push_back({ledger::job_key(job.spec.id), false, ledger::encode(row), 0});
    f.jobs.push_back(i);
    ++job.in_flight_transactions;
    JobTable::set_state(job, JobState::closing);
  }
  if (f.jobs.empty()) return std::nullopt;
  PendingTransaction p{id, f.txn, false};
  in_flight_transactions_[id] = std::move(f);
  return p;
}

// The page to write next: by who waits for it, then by age. Mere ends are gathered, as their
// workers list them until then. kNone: there is none.
Index Scheduler::next_page(double now) const {
  Index pick = kNone;
  const auto key = [now](const Page& p) {
    const int steps = static_cast<int>((now - p.dirty_since) / kPutOff);
    const int most = static_cast<int>(WriteUrgency::prompt_start);
    const int write_urgency = static_cast<int>(p.write_urgency);
    return std::make_pair(
        write_urgency <= most ? write_urgency : std::max(most, write_urgency - steps),
        p.dirty_since);
  };
  for (Index i = 0; i < pages_.size(); ++i) {
    const Page& p = pages_[i];
    if (p.dirty_since < 0 || p.in_flight || p.unwritten_splits > 0 || p.retry_at > now) continue;
    if (p.write_urgency == WriteUrgency::none && now - p.dirty_since < kGatherEnds) continue;
    if (pick == kNone || key(p) < key(pages_[pick])) pick = i;
  }
  return pick;
}

std::optional<PendingTransaction> Scheduler::next_transaction(double now, size_t room) {
  if (claim_.is_lost()) return std::nullopt;
  // An unanswered transaction goes out again, word for word, before anything else is decided
  // about its rows: whatever copy is executed, the outcome is the same.
  for (auto& [id, f] : in_flight_transactions_)
    if (f.repeat_at >= 0 && f.repeat_at <= now) {
      f.repeat_at = -1;
      f.sent_again = true;
      return PendingTransaction{id, f.txn, true};
    }
  Index pick = next_page(now);
  while (pick != kNone && split_page(pick, now)) pick = next_page(now);
  // Jobs are closed together: their users have to be told within 3 s.
  if (jobs_.completed().empty()) closing_since_ = -1;
  if (!jobs_.completed().empty() && closing_since_ < 0) closing_since_ = now;
  const bool starts = pick != kNone && pages_[pick].write_urgency < WriteUrgency::restart;
  if (!jobs_.completed().empty() && (!starts || now - closing_since_ > kGatherClosings)) {
    closing_since_ = now;
    if (auto t = closing_transaction(now, room)) return t;
  }
  // The rented list too is put off only so long.
  if (pick == kNone || rented_list_.overdue(now))
    if (auto f = fleet_transaction(now)) return f;
  if (pick != kNone) return page_transaction(pick, now);
  return std::nullopt;
}

void Scheduler::on_result(uint64_t id, const ledger::Result& r, double now) {
  auto it = in_flight_transactions_.find(id);
  if (it == in_flight_transactions_.end()) return;
  if (r.outcome == Outcome::unknown) {
    it->second.repeat_at = now + 0.3;
    return;
  }
  if (r.outcome == Outcome::refused && it->second.sent_again) {
    // This copy was not executed, but an earlier one may be.
    it->second.repeat_at = now + 0.5;
    return;
  }
  if (r.outcome == Outcome::rejected && it->second.sent_again) {
    // Nor will any other copy be, but an earlier one may still be: with the end of our leadership
    // the leader key makes it void, and a successor reads what became of it.
    take_rejection(it->second);
    return claim_.lose("an unanswered transaction is rejected now");
  }
  const InFlightTransaction f = std::move(it->second);
  in_flight_transactions_.erase(it);
  const bool applied = r.outcome == Outcome::applied;
  if (r.outcome == Outcome::rejected) take_rejection(f);
  for (Index j : f.jobs)
    if (Job* job = jobs_.find(j)) --job->in_flight_transactions;
  if (r.outcome == Outcome::conflict)
    for (const std::string& key : r.failed) {
      if (key == ledger::kLeaderKey) return claim_.lose("the leader key is not ours any more");
      // Nobody but the leader writes pages and the rented list; a ledger that disagrees is read
      // anew from scratch.
      const std::string jobs = ledger::kJobPrefix;
      if (key.compare(0, jobs.size(), jobs) != 0) return claim_.lose(key + " is not as we left it");
      Job* job = jobs_.find(jobs_.index_of(key.substr(jobs.size())));
      if (!job) continue;
      if (!job->is_finished() && job->stale_since < 0) job->stale_since = now;
    }
  switch (f.kind) {
    case InFlightTransaction::Kind::page:
      settle_page(f, r, now);
      break;
    case InFlightTransaction::Kind::closing:
      if (!applied)
        for (Index j : f.jobs)
          if (Job* job = jobs_.find(j))
            job->retry_at = now + (r.outcome == Outcome::conflict ? kRetryConflict : kRetryRefused);
      settle_closing(f, r);
      break;
    case InFlightTransaction::Kind::fleet:
      rented_list_.on_result(f.txn, r);
      break;
  }
  for (Index j : f.jobs) {
    Job* job = jobs_.find(j);
    if (!job) continue;
    if (job->state == JobState::cancelled)
      for (auto& [t, a] : job->attempts) lifecycle_.stop(*job, a, 0);
    lifecycle_.erase_if_finished(j);
  }
}

// The state service takes nothing that large, or nothing of that form.
void Scheduler::take_rejection(const InFlightTransaction& f) {
  bool large = f.txn.changes.size() > settings_.lasting_txn_ops();
  for (const ledger::Change& c : f.txn.changes)
    large = large || ledger::value_size(c.value) > settings_.lasting_value_bytes();
  if (large && settings_.next_limits)
    apply_lowered_limits();
  else
    spdlog::error("ledger: a transaction of {} changes is rejected", f.txn.changes.size());
}

void Scheduler::settle_page(const InFlightTransaction& f, const ledger::Result& r, double now) {
  Page& page = pages_[f.page];
  page.in_flight = false;
  if (r.outcome != Outcome::applied) {
    // Nothing was written. Proposals of a job whose row moved are void, for they were never
    // ordered; all others are written anew.
    if (r.outcome == Outcome::refused) page.retry_at = now + kRetryRefused;
    if (r.outcome == Outcome::rejected)
      page.retry_at = now + (wanted_size(page) > page_room() ? 0 : kRetryRejected);
    if (page.dirty_since < 0) page.dirty_since = now;
    page.write_urgency =
        page.kind == PageKind::service ? WriteUrgency::replica : WriteUrgency::prompt_start;
    for (Index j : f.jobs)
      if (Job* job = jobs_.find(j); job && (job->is_stale() || job->is_finished()))
        lifecycle_.withdraw_proposals(*job, true);
    return;
  }
  page.version = r.revision;
  if (page.split_from != kNone) --pages_[std::exchange(page.split_from, kNone)].unwritten_splits;
  for (const auto& [j, t] : f.started) {
    Job* job = jobs_.find(j);
    if (!job) continue;
    auto a = job->attempts.find(t);
    if (a == job->attempts.end() || a->second.state != AttemptState::proposed) continue;
    lifecycle_.mark_placed(*job, a->second, now);
  }
  for (const auto& [j, t] : f.ended) {
    Job* job = jobs_.find(j);
    if (!job || job->state == JobState::cancelled) continue;
    auto a = job->attempts.find(t);
    if (a != job->attempts.end() && a->second.state == AttemptState::ended) {
      lifecycle_.release(*job, t);
      needs_round_ = true;
    }
  }
}

void Scheduler::settle_closing(const InFlightTransaction& f, const ledger::Result& r) {
  for (Index j : f.jobs) {
    Job* job = jobs_.find(j);
    if (!job) continue;
    if (r.outcome != Outcome::applied) {
      if (job->state == JobState::closing) JobTable::set_state(*job, JobState::open);
      continue;
    }
    job->version = r.revision;
    if (!JobTable::set_state(*job, JobState::done)) continue;
    while (!job->attempts.empty()) lifecycle_.release(*job, job->attempts.begin()->first);
    spdlog::debug("job {} is done", job->spec.id);
  }
}

size_t Scheduler::unsent() const {
  size_t n = jobs_.completed().size() + in_flight_transactions_.size();
  for (const Page& p : pages_.all()) n += p.dirty_since >= 0;
  return n;
}

size_t Scheduler::backlog() const {
  size_t n = unsent();
  for (const auto& job : jobs_)
    if (job) n += std::min<size_t>(job->waiting.size(), 64);
  return n;
}

}  // namespace rookdyke
