#include "scheduler/scheduler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cassert>

namespace rookdyke {

namespace {
// A job whose row moved under us is heard of within a watch; after this something is wrong.
constexpr double kStaleFor = 10;
constexpr double kUnknownBoot = 60;  // of a machine whose type is not known yet
}  // namespace

Scheduler::Scheduler(Settings settings, std::vector<MachineType> types, uint64_t fencing_token,
                     double now)
    : settings_(std::move(settings)),
      types_(std::move(types)),
      fencing_token_(fencing_token),
      started_(now),
      unknown_type_boots_(kUnknownBoot, settings_.tuning.boot_timeout_factor),
      rented_list_(settings_.lasting_value_bytes()) {
  for (const std::string& z : settings_.zones) zone_names_.intern(z);
  for (const TeamQuota& t : settings_.teams) team_names_.intern(t.name);
  for (const MachineType& t : types_) {
    type_names_.intern(t.name);
    for (const std::string& z : t.zones) zone_names_.intern(z);
    const double ahead =
        settings_.tuning.boot_window_s > 0 ? settings_.tuning.boot_window_s : t.boot_s;
    type_state_.push_back({Forecast(settings_.tuning, ahead),
                           BootStatistics(t.boot_s, settings_.tuning.boot_timeout_factor),
                           0,
                           {},
                           {},
                           {},
                           -1,
                           {}});
  }
  team_used_.resize(team_names_.size());
  next_sample_ = now;
}

// ---------------------------------------------------------------- state machines

bool Scheduler::set_state(Job& job, JobState to) {
  if (job.state == to) return true;
  if (!allowed(job.state, to)) {
    spdlog::error("job {}: no step from {} to {}", job.spec.id, to_string(job.state),
                  to_string(to));
    return false;
  }
  spdlog::debug("job {}: {} -> {}", job.spec.id, to_string(job.state), to_string(to));
  job.state = to;
  return true;
}

bool Scheduler::set_state(Job& job, Attempt& a, AttemptState to) {
  if (a.state == to) return true;
  if (!allowed(a.state, to)) {
    spdlog::error("task {}/{} attempt {}: no step from {} to {}", job.spec.id, a.task, a.number,
                  to_string(a.state), to_string(to));
    return false;
  }
  spdlog::debug("task {}/{} attempt {} on {}: {} -> {}", job.spec.id, a.task, a.number,
                machines_[a.machine]->name, to_string(a.state), to_string(to));
  a.state = to;
  return true;
}

bool Scheduler::set_state(Machine& m, MachineState to, const char* why) {
  if (m.state == to) return true;
  if (!allowed(m.state, to)) {
    spdlog::error("machine {}: no step from {} to {} ({})", m.name, to_string(m.state),
                  to_string(to), why);
    return false;
  }
  spdlog::info("machine {}: {} -> {} ({})", m.name, to_string(m.state), to_string(to), why);
  m.state = to;
  return true;
}

void Scheduler::lose_leadership(const std::string& why) {
  if (!has_lost_leadership_) spdlog::warn("leadership given up: {}", why);
  has_lost_leadership_ = true;
}

// ---------------------------------------------------------------- jobs

const Job* Scheduler::find_job(const std::string& id) const { return find(job_names_.find(id)); }

Machine& Scheduler::machine(const std::string& name, double now) {
  const Index i = machine_names_.intern(name);
  if (i >= machines_.size()) machines_.resize(i + 1);
  if (!machines_[i]) {
    machines_[i] = std::make_unique<Machine>();
    machines_[i]->index = i;
    Machine& m = *machines_[i];
    m.name = name;
    m.rented_at = m.last_heartbeat = now;
    rented_list_.mark_changed(m.index);
  }
  return *machines_[i];
}

Job& Scheduler::add_job(const CachedJob& row, const std::string& id, double now) {
  const Index i = job_names_.intern(id);
  if (i >= jobs_.size()) {
    jobs_.resize(i + 1);
    finished_.resize(i + 1);
  }
  if (!jobs_[i]) ++open_jobs_;
  jobs_[i] = std::make_unique<Job>();
  Job& job = *jobs_[i];
  job.id = i;
  if (row.row.spec) job.spec = *row.row.spec;
  job.spec.id = id;
  job.spec.tasks = row.row.tasks;
  job.version = row.version;
  job.timestamp_s = row.row.timestamp_s;
  job.seen_at = now;
  if (day_offset_) job.seen_at = std::min(now, job.timestamp_s - *day_offset_);
  job.chunk_size = std::max(1u, row.row.chunk_size);
  job.job_class = job_class_names_.intern(job.spec.job_class);
  job.team = team_names_.intern(job.spec.team);
  if (team_used_.size() < team_names_.size()) team_used_.resize(team_names_.size());
  job.image = image_names_.intern(job.spec.image);
  if (!job.spec.zone.empty()) job.zone = zone_names_.intern(job.spec.zone);
  if (!job.spec.types.empty()) {
    job.types.assign(types_.size(), false);
    for (const std::string& t : job.spec.types)
      if (const Index k = type_names_.find(t); k != kNone) job.types[k] = true;
  }
  double boot = 1e9;
  for (const MachineType& t : types_) boot = std::min(boot, t.boot_s);
  for (const Objective& o : settings_.objectives)
    if (o.start && o.job_class == job.spec.job_class) {
      job.start_within.push_back(o.within_s);
      // A promise that no machine rented for it could keep; a longer one is kept by the order
      // alone.
      job.has_start_promise = job.has_start_promise || o.within_s < boot;
    }
  // A service is wanted at once, and again at once wherever a replica falls.
  job.has_start_promise = job.has_start_promise || job.is_service();
  if (job.has_start_promise) start_promise_images_.insert(job.image);
  std::sort(job.start_within.begin(), job.start_within.end());
  load_chunks(job, row, now);
  job.done_count = job.done.count();
  for (const MachineType& t : types_)
    if (const double r = job.spec.per_task.dominant_share(t.size); job.share == 0 || r < job.share)
      job.share = r;
  if (row.row.status == ledger::JobStatus::open) {
    for (const auto& [first, place] : job.chunks) {
      if (place.page == kNone && row.version < unreadable_revision_) continue;
      for (uint32_t t = first; t < first + place.count; ++t)
        if (!job.done.has(t) && !job.attempts.count(t)) job.waiting.insert(job.waiting.end(), t);
    }
    if (job.done_count == job.tasks()) closing_.insert(i);
  }
  return job;
}

namespace {

// Tasks of a job as a page has them, and those of them that count.
struct Piece {
  uint32_t end = 0;
  const CachedChunk* chunk = nullptr;
};

// The tasks that a chunk of the ledger is about; empty: they are none of this job's.
std::optional<ledger::TaskRange> tasks_of(const Job& job, const ChunkKey& key,
                                          const CachedChunk& c) {
  const uint64_t begin = uint64_t{key.n} * job.chunk_size;
  const uint64_t end = std::min<uint64_t>(job.tasks(), begin + job.chunk_size);
  if (begin >= end) return std::nullopt;
  if (!c.range)
    return ledger::TaskRange{static_cast<uint32_t>(begin), static_cast<uint32_t>(end - begin)};
  if (c.range->first < begin || uint64_t{c.range->first} + c.range->count > end)
    return std::nullopt;
  return c.range;
}

// Lays a piece over those that are there: what it covers of them counts no more.
void lay_over(std::map<uint32_t, Piece>& pieces, uint32_t first, Piece piece) {
  auto it = pieces.upper_bound(first);
  if (it != pieces.begin()) --it;
  while (it != pieces.end() && it->first < piece.end) {
    const auto [old_first, old] = *it;
    if (old.end <= first) {
      ++it;
      continue;
    }
    it = pieces.erase(it);
    if (old_first < first) pieces[old_first] = {first, old.chunk};
    if (old.end > piece.end) it = pieces.insert({piece.end, old}).first;
  }
  pieces[first] = piece;
}

}  // namespace

// Takes over what the ledger has of its tasks. Of two pages that hold the same ones, the one that
// was written last counts (ledger/rows.h). What no page holds was never written.
void Scheduler::load_chunks(Job& job, const CachedJob& row, double now) {
  std::vector<std::pair<const ChunkKey*, const CachedChunk*>> by_version;
  for (const auto& [key, c] : row.chunks) by_version.emplace_back(&key, &c);
  std::stable_sort(by_version.begin(), by_version.end(), [](const auto& a, const auto& b) {
    return a.second->version < b.second->version;
  });
  std::map<uint32_t, Piece> pieces;
  for (const auto& [key, c] : by_version) {
    const auto tasks = tasks_of(job, *key, *c);
    if (!tasks) {
      spdlog::error("ledger: job {} has no chunk {}", job.spec.id, key->n);
      continue;
    }
    job.highest_attempt = std::max(job.highest_attempt, c->chunk.highest_attempt);
    lay_over(pieces, tasks->first, {tasks->first + tasks->count, c});
    log_foreign_tasks(job, *key, *c, *tasks);
  }
  uint32_t next = 0;
  const auto add_unwritten = [&](uint32_t end) {
    for (; next < end; next += job.chunks.at(next).count)
      job.chunks[next] = {std::min(end - next, job.chunk_size - next % job.chunk_size), kNone};
  };
  for (const auto& [first, piece] : pieces) {
    add_unwritten(first);
    job.chunks[first] = {piece.end - first, kNone};
    if (piece.chunk->page >= pages_.size()) pages_.resize(piece.chunk->page + 1);
    add_to_page(job, first, piece.chunk->page);
    pages_[piece.chunk->page].kind = job.page_kind();
    load_tasks(job, first, piece.end, piece.chunk->chunk, now);
    next = piece.end;
  }
  add_unwritten(job.tasks());
}

// Says which of a chunk's tasks are not its own; they are passed over.
void Scheduler::log_foreign_tasks(const Job& job, const ChunkKey& key, const CachedChunk& c,
                                  const ledger::TaskRange& tasks) const {
  const uint32_t end = tasks.first + tasks.count;
  size_t foreign = 0;
  for (const auto& [a, b] : c.chunk.done.ranges()) foreign += a < tasks.first || b >= end;
  for (const ledger::LiveAttempt& l : c.chunk.live)
    foreign += l.task < tasks.first || l.task >= end;
  if (foreign > 0)
    spdlog::error("ledger: chunk {} of job {}: {} entries are not of its tasks", key.n, job.spec.id,
                  foreign);
}

// What a page says of the tasks [first, end).
void Scheduler::load_tasks(Job& job, uint32_t first, uint32_t end, const ledger::Chunk& chunk,
                           double now) {
  for (const auto& [a, b] : chunk.done.ranges())
    // A replica is never done: version 0.1 wrote that of services, which it took for arrays.
    for (uint32_t t = std::max(a, first); !job.is_service() && t < end && t <= b; ++t)
      job.done.add(t);
  for (const ledger::LiveAttempt& l : chunk.live) {
    // A second attempt of a task is passed over.
    if (l.task < first || l.task >= end || job.attempts.count(l.task)) continue;
    // Invariant 3: what a predecessor committed may run or may yet be ordered by it; it counts
    // as being there until its machine proves otherwise.
    Machine& m = machine(l.machine, now);
    m.was_up = true;
    Attempt a;
    a.task = l.task;
    a.number = l.attempt;
    a.machine = m.index;
    a.epoch = l.epoch;
    a.state = AttemptState::placed;
    a.since = now;
    job.attempts[l.task] = a;
    m.tasks.emplace_back(job.id, l.task);
    m.used += job.spec.per_task;
    team_used_[job.team] += job.spec.per_task;
  }
}

void Scheduler::load(const LedgerCache& ledger_cache, double now) {
  load_fleet(ledger_cache, now);
  for (const auto& [n, page] : ledger_cache.pages()) {
    if (n >= pages_.size()) pages_.resize(n + 1);
    pages_[n].version = page.version;
    pages_[n].readable = page.readable;
    if (!page.readable) unreadable_revision_ = std::max(unreadable_revision_, page.version);
  }
  size_t live = 0;
  for (const auto& [id, row] : ledger_cache.jobs()) {
    if (row.version == 0 || !row.readable) {
      keep_unreadable_job(id, row);
      continue;
    }
    // What pages still say of a job that is done serves nobody; of a cancelled one, its tasks may
    // still be on machines.
    if (row.row.status == ledger::JobStatus::done) continue;
    if (row.row.status == ledger::JobStatus::cancelled && row.chunks.empty()) continue;
    Job& job = add_job(row, id, now);
    live += job.attempts.size();
    if (row.row.status == ledger::JobStatus::cancelled) {
      cancel_job(job, row, now);
    } else if (job.is_gang() && !job.attempts.empty() && !job.waiting.empty()) {
      // A gang whose start was committed in part, or that lost a task: it starts anew as a whole.
      for (auto& [t, a] : job.attempts) stop_attempt(job, a, 0);
    }
  }
  spdlog::info("taken over: {} jobs, {} attempts, {} machines known", open_jobs_, live,
               machines_.size());
}

// What pages say of a job whose row cannot be read stays in them as it is.
void Scheduler::keep_unreadable_job(const std::string& id, const CachedJob& row) {
  for (const auto& [key, c] : row.chunks) {
    if (c.page >= pages_.size()) pages_.resize(c.page + 1);
    pages_[c.page].unreadable_jobs.push_back({id, key.n, c.chunk, c.range});
    pages_[c.page].reserved +=
        ledger::chunk_reserve(id, static_cast<uint32_t>(c.chunk.live.size()));
  }
}

void Scheduler::on_job_row(const CachedJob& row, const std::string& id, double now) {
  const Index known = job_names_.find(id);
  // An older row of a job that is over, seen late, must not bring it back (rule went_back).
  if (known != kNone && known < finished_.size() && finished_[known]) return;
  Job* have = find(known);
  if (!have) {
    if (row.row.status == ledger::JobStatus::open) {
      add_job(row, id, now);
      needs_round_ = true;
      spdlog::debug("job {}: {} tasks of {}", id, row.row.tasks, row.row.spec->job_class);
    }
    return;
  }
  Job& job = *have;
  if (row.version <= job.version) return;
  job.stale_since = -1;
  if (row.row.status == ledger::JobStatus::cancelled) {
    cancel_job(job, row, now);
  } else if (row.row.status == ledger::JobStatus::done && job.state != JobState::done) {
    // Only a leader writes this, and a flight of ours is still open: its result will say so.
    if (job.state != JobState::closing)
      lose_leadership("job " + id + " was closed by somebody else");
  }
}

void Scheduler::cancel_job(Job& job, const CachedJob& row, double now) {
  if (job.is_finished()) return;
  if (!set_state(job, JobState::cancelled)) return;
  job.version = row.version;
  // Not since we heard of it: cancel_s does not begin anew with each leader.
  job.cancelled_at = now;
  if (day_offset_ && row.row.timestamp_s > 0)
    job.cancelled_at = std::min(now, row.row.timestamp_s - *day_offset_);
  job.stale_since = -1;
  job.waiting.clear();
  closing_.erase(job.id);
  // Nobody has any use for what its tasks do: no time to save. Proposals whose transaction is in
  // flight are settled by its result; the job's version changed, so most will fail.
  for (auto& [t, a] : job.attempts) stop_attempt(job, a, 0);
  erase_if_finished(job.id);
}

void Scheduler::erase_if_finished(Index id) {
  Job* job = find(id);
  if (!job || !job->is_finished() || job->in_flight_transactions > 0) return;
  // An aborted job's ended attempts need no transaction: its row already says what counts.
  for (auto a = job->attempts.begin(); a != job->attempts.end();) {
    const uint32_t task = a->first;
    const bool ended = a->second.state == AttemptState::ended;
    const bool never = a->second.state == AttemptState::proposed;  // its transaction failed
    ++a;
    if (ended || never) release(*job, task);
  }
  if (job->attempts.empty()) erase_job(*job);
}

// Its chunks leave their pages with the next write of these; until then a new leader sees by the
// job's row that they mean nothing.
void Scheduler::erase_job(Job& job) {
  const Index id = job.id;
  drop_from_pages(job);
  closing_.erase(id);
  finished_[id] = true;
  --open_jobs_;
  jobs_[id].reset();
}

void Scheduler::stop_attempt(Job& job, Attempt& a, double grace) {
  if (a.state == AttemptState::ended) return;
  if (a.stop && grace >= a.grace_s) return;
  if (!a.stop)
    spdlog::debug("task {}/{} attempt {}: to be stopped, {} s to save", job.spec.id, a.task,
                  a.number, grace);
  a.stop = true;
  a.grace_s = grace;
  direct_command_due_.insert(a.machine);
}

// A gang saves only when all its tasks are told to within gang_peer_s, so the orders for all go out
// with the next reports, whichever machine has to be left.
void Scheduler::stop_with_gang(Job& job, Attempt& a, double grace) {
  if (!job.is_gang()) return stop_attempt(job, a, grace);
  const uint64_t number = a.number;
  for (auto& [t, other] : job.attempts)
    if (other.number == number) stop_attempt(job, other, grace);
}

void Scheduler::end_attempt(Job& job, uint32_t task, ExitCause cause, double now, const char* why) {
  auto it = job.attempts.find(task);
  if (it == job.attempts.end() || it->second.state == AttemptState::ended) return;
  Attempt& a = it->second;
  if (a.state == AttemptState::proposed) return;  // settled by its transaction
  if (!set_state(job, a, AttemptState::ended)) return;
  a.cause = cause;
  spdlog::debug("task {}/{} attempt {} is off ({}, cause {})", job.spec.id, task, a.number, why,
                static_cast<int>(cause));
  vacate(job, a);
  if (job.state == JobState::cancelled) {
    erase_if_finished(job.id);
    return;
  }
  // A task that has to run again waits for this write.
  WriteUrgency write_urgency =
      cause != ExitCause::done ? WriteUrgency::restart : WriteUrgency::none;
  if (job.is_service()) {
    write_urgency = WriteUrgency::replica;
    job.missing_since = now;
  }
  mark_dirty(job, task, write_urgency, now);
  after_end(job, a, now);
}

// Gives back what an attempt takes of its machine and its team.
void Scheduler::vacate(Job& job, const Attempt& a) {
  Machine& m = *machines_[a.machine];
  std::erase(m.tasks, std::make_pair(job.id, a.task));
  m.used -= job.spec.per_task;
  if (m.tasks.empty()) m.used = {};
  team_used_[job.team] -= job.spec.per_task;
}

// Whether all attempts of a gang that have not ended wait for the others, as far as we know.
bool Scheduler::still_gathers(const Job& job) const {
  bool any = false;
  for (const auto& [t, a] : job.attempts) {
    if (a.state == AttemptState::ended) continue;
    if (a.stop || a.state > AttemptState::gang_waiting) return false;
    any = true;
  }
  return any;
}

void Scheduler::after_end(Job& job, const Attempt& a, double now) {
  const bool of_itself = a.cause != ExitCause::none && a.cause != ExitCause::stopped;
  if (job.is_service() && of_itself) back_off_replica(job, a, now);
  if (a.cause == ExitCause::done && !job.is_service()) {
    if (job.is_gang()) {
      // A gang's tasks complete together: one that is done proves all done.
      for (uint32_t t = 0; t < job.tasks(); ++t)
        if (!job.done.has(t)) job.done.add(t);
    } else {
      job.done.add(a.task);
    }
    job.done_count = job.done.count();
    job.failed_machines.clear();
    job.errors = 0;
    if (job.done_count == job.tasks()) closing_.insert(job.id);
    return;
  }
  if (job.is_gang()) {
    // A gang that still gathers waits for a replacement, if the worker that was lost can hold
    // nothing of this attempt any more. Otherwise the rest cannot go on without it; what does not
    // leave by itself is stopped.
    if (a.cause != ExitCause::none || !still_gathers(job))
      for (auto& [t, other] : job.attempts)
        if (other.number == a.number) stop_attempt(job, other, 0);
  }
  if (a.cause == ExitCause::unknown_task || a.cause == ExitCause::insufficient_resources ||
      a.cause == ExitCause::already_present)
    job.not_before = std::max(job.not_before, now + 1.0);
}

void Scheduler::release(Job& job, uint32_t task) {
  auto it = job.attempts.find(task);
  if (it == job.attempts.end()) return;
  Attempt& a = it->second;
  if (a.state != AttemptState::ended) {
    // Never ordered: a proposal that did not become durable, or a gang proven done elsewhere.
    vacate(job, a);
  }
  if (a.state == AttemptState::proposed) --job.proposed;
  job.attempts.erase(it);
  if (job.state == JobState::open && !job.done.has(task)) job.waiting.insert(task);
}

void Scheduler::round(double now) {
  if (has_lost_leadership_) return;
  needs_round_ = false;
  ++work_.rounds;
  check_machines(now);
  if (now >= next_sample_) {
    sample_demand(now);
    next_sample_ = std::max(next_sample_ + settings_.tuning.sample_s, now);
  }
  for (const auto& job : jobs_)
    if (job && job->is_stale() && now - job->stale_since > kStaleFor) {
      // Known to the end: a row that contradicts us and that no watch brings is read from scratch.
      lose_leadership("the row of job " + job->spec.id + " is not as we know it");
      return;
    }
  place(now);
  plan_fleet(now);
}

Scheduler::Summary Scheduler::summary(double now) const {
  Summary s;
  for (const auto& job : jobs_) {
    if (!job) continue;
    ++s.jobs;
    s.waiting += job->waiting.size();
    s.live += job->attempts.size();
  }
  for (const auto& m : machines_) {
    if (m->state == MachineState::terminated) continue;
    if (m->state == MachineState::ready) ++s.ready;
    if (m->state == MachineState::booting) ++s.booting;
    if (m->state == MachineState::draining) ++s.draining;
    if (m->registered && now - m->last_heartbeat > silence_limit()) ++s.silent;
  }
  for (const TypeState& t : type_state_) s.target += t.target;
  return s;
}

}  // namespace rookdyke
