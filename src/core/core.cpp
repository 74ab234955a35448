#include "core/core.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cassert>

namespace rookdyke {

using ledger::Outcome;

namespace {
// Ends that nobody waits for are gathered this long before their page is written.
constexpr double kGatherEnds = 2;
// A job whose row moved under us is heard of within a watch; after this something is wrong.
constexpr double kStaleFor = 10;
constexpr size_t kMostClosings = 16;
constexpr double kGatherClosings = 0.5;
constexpr size_t kLeastClosings = 4;  // at once, whatever is left of the rate of changes
constexpr double kPutOff = 4;
constexpr double kUnknownBoot = 60;  // of a machine whose type is not known yet
}  // namespace

Core::Core(Settings settings, std::vector<TypeInfo> types, uint64_t token, double now)
    : settings_(std::move(settings)),
      types_(std::move(types)),
      token_(token),
      started_(now),
      unknown_type_boots_(kUnknownBoot, settings_.tuning.boot_patience),
      rented_list_(settings_.value_bytes) {
  for (const std::string& z : settings_.zones) zone_names_.intern(z);
  for (const TeamInfo& t : settings_.teams) team_names_.intern(t.name);
  for (const TypeInfo& t : types_) {
    type_names_.intern(t.name);
    for (const std::string& z : t.zones) zone_names_.intern(z);
    const double ahead =
        settings_.tuning.boot_window_s > 0 ? settings_.tuning.boot_window_s : t.boot_s;
    type_state_.push_back({Forecast(settings_.tuning, ahead),
                           BootStatistics(t.boot_s, settings_.tuning.boot_patience),
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

bool Core::set_state(Job& job, JobState to) {
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

bool Core::set_state(Job& job, Attempt& a, AttemptState to) {
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

bool Core::set_state(Machine& m, MachineState to, const char* why) {
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

void Core::fail(const std::string& why) {
  if (!lost_) spdlog::warn("leadership given up: {}", why);
  lost_ = true;
}

std::string Core::mark_of(uint64_t txn) const {
  return std::to_string(token_) + "." + std::to_string(txn);
}

// ---------------------------------------------------------------- jobs

const Job* Core::find_job(const std::string& id) const { return find(job_names_.find(id)); }

Machine& Core::machine(const std::string& name, double now) {
  const Index i = machine_names_.intern(name);
  if (i >= machines_.size()) machines_.resize(i + 1);
  if (!machines_[i]) {
    machines_[i] = std::make_unique<Machine>();
    machines_[i]->index = i;
    Machine& m = *machines_[i];
    m.name = name;
    m.rented_at = m.last_report = now;
    rented_list_.mark_changed(m.index);
  }
  return *machines_[i];
}

Job& Core::add_job(const MirrorJob& row, const std::string& id, double now) {
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
  job.at_s = row.row.at_s;
  job.seen_at = now;
  if (day_offset_) job.seen_at = std::min(now, job.at_s - *day_offset_);
  job.per = std::max(1u, row.row.per);
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
  for (const TypeInfo& t : types_) boot = std::min(boot, t.boot_s);
  for (const Objective& o : settings_.objectives)
    if (o.start && o.job_class == job.spec.job_class) {
      job.start_within.push_back(o.within_s);
      // A promise that no machine rented for it could keep; a longer one is kept by the order
      // alone.
      job.has_start_promise = job.has_start_promise || o.within_s < boot;
    }
  if (job.has_start_promise) start_promise_images_.insert(job.image);
  std::sort(job.start_within.begin(), job.start_within.end());
  job.pages.assign((job.tasks() + job.per - 1) / job.per, kNone);
  for (const auto& [n, c] : row.chunks) {
    if (n >= job.pages.size()) {
      spdlog::error("ledger: job {} has no chunk {}", id, n);
      continue;
    }
    // Tasks that are not this chunk's, and a second attempt of one, are passed over.
    const uint32_t from = n * job.per, to = from + job.chunk_tasks(n);
    size_t strange = 0;
    job.pages[n] = c.page;
    if (c.page >= pages_.size()) pages_.resize(c.page + 1);
    pages_[c.page].members.insert({i, n});
    pages_[c.page].has_start_promise = job.has_start_promise;
    pages_[c.page].reserved += job.chunk_bytes(n);
    job.top = std::max(job.top, c.chunk.top);
    for (const auto& [a, b] : c.chunk.done.ranges())
      for (uint32_t t = a; t <= b; ++t) {
        if (t >= from && t < to)
          job.done.add(t);
        else
          ++strange;
      }
    for (const ledger::Live& l : c.chunk.live) {
      if (l.task < from || l.task >= to || job.attempts.count(l.task)) {
        ++strange;
        continue;
      }
      // Invariant 3: what a predecessor committed may run or may yet be ordered by it; it counts
      // as being there until its machine proves otherwise.
      Machine& m = machine(l.machine, now);
      m.was_up = true;
      Attempt a;
      a.task = l.task;
      a.number = l.attempt;
      a.machine = machine_names_.find(l.machine);
      a.session = l.session;
      a.state = AttemptState::placed;
      a.since = now;
      job.attempts[l.task] = a;
      m.tasks.emplace_back(i, l.task);
      m.used += job.spec.each;
      team_used_[job.team] += job.spec.each;
    }
    if (strange > 0)
      spdlog::error("ledger: chunk {} of job {}: {} entries are not of its tasks", n, id, strange);
  }
  job.done_count = job.done.count();
  for (const TypeInfo& t : types_)
    if (const double r = job.spec.each.share_of(t.size); job.share == 0 || r < job.share)
      job.share = r;
  if (row.row.standing == ledger::Standing::open) {
    for (uint32_t t = 0; t < job.tasks(); ++t)
      if (!job.done.has(t) && !job.attempts.count(t)) job.waiting.insert(job.waiting.end(), t);
    if (job.done_count == job.tasks()) closing_.insert(i);
  }
  return job;
}

void Core::load(const Mirror& mirror, double now) {
  load_fleet(mirror, now);
  for (const auto& [n, page] : mirror.pages()) {
    if (n >= pages_.size()) pages_.resize(n + 1);
    pages_[n].version = page.version;
  }
  size_t live = 0;
  for (const auto& [id, row] : mirror.jobs()) {
    if (row.version == 0) continue;
    // What pages still say of a job that is done serves nobody; of a cancelled one, its tasks may
    // still be on machines.
    if (row.row.standing == ledger::Standing::done) continue;
    if (row.row.standing == ledger::Standing::aborted && row.chunks.empty()) continue;
    Job& job = add_job(row, id, now);
    live += job.attempts.size();
    if (row.row.standing == ledger::Standing::aborted) {
      abort_job(job, row, now);
    } else if (job.gang() && !job.attempts.empty() && !job.waiting.empty()) {
      // A gang whose start was committed in part, or that lost a task: it starts anew as a whole.
      for (auto& [t, a] : job.attempts) stop_attempt(job, a, 0);
    }
  }
  spdlog::info("taken over: {} jobs, {} attempts, {} machines known", open_jobs_, live,
               machines_.size());
}

void Core::on_job_row(const MirrorJob& row, const std::string& id, double now) {
  const Index known = job_names_.find(id);
  // An older row of a job that is over, seen late, must not bring it back (rule went_back).
  if (known != kNone && known < finished_.size() && finished_[known]) return;
  Job* have = find(known);
  if (!have) {
    if (row.row.standing == ledger::Standing::open) {
      add_job(row, id, now);
      wants_round_ = true;
      spdlog::debug("job {}: {} tasks of {}", id, row.row.tasks, row.row.spec->job_class);
    }
    return;
  }
  Job& job = *have;
  if (row.version <= job.version) return;
  job.stale_since = -1;
  if (row.row.standing == ledger::Standing::aborted) {
    abort_job(job, row, now);
  } else if (row.row.standing == ledger::Standing::done && job.state != JobState::done) {
    // Only a leader writes this, and a flight of ours is still open: its result will say so.
    if (job.state != JobState::closing) fail("job " + id + " was closed by somebody else");
  }
}

void Core::abort_job(Job& job, const MirrorJob& row, double now) {
  if (job.over()) return;
  if (!set_state(job, JobState::aborted)) return;
  job.version = row.version;
  // Not since we heard of it: cancel_s does not begin anew with each leader.
  job.aborted_at = now;
  if (day_offset_ && row.row.at_s > 0) job.aborted_at = std::min(now, row.row.at_s - *day_offset_);
  job.stale_since = -1;
  job.waiting.clear();
  closing_.erase(job.id);
  // Nobody has any use for what its tasks do: no time to save. Proposals whose transaction is in
  // flight are settled by its result; the job's version changed, so most will fail.
  for (auto& [t, a] : job.attempts) stop_attempt(job, a, 0);
  drop_if_over(job.id);
}

void Core::drop_if_over(Index id) {
  Job* job = find(id);
  if (!job || !job->over() || job->in_flight_transactions > 0) return;
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
void Core::erase_job(Job& job) {
  const Index id = job.id;
  for (uint32_t n = 0; n < job.pages.size(); ++n) {
    if (job.pages[n] == kNone) continue;
    Page& page = pages_[job.pages[n]];
    page.members.erase({id, n});
    page.reserved -= std::min(page.reserved, job.chunk_bytes(n));
  }
  closing_.erase(id);
  finished_[id] = true;
  --open_jobs_;
  jobs_[id].reset();
}

void Core::stop_attempt(Job& job, Attempt& a, double grace) {
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
void Core::stop_with_gang(Job& job, Attempt& a, double grace) {
  if (!job.gang()) return stop_attempt(job, a, grace);
  const uint64_t number = a.number;
  for (auto& [t, other] : job.attempts)
    if (other.number == number) stop_attempt(job, other, grace);
}

// Promised starts have pages of their own, so that one write makes many of them durable.
Index Core::page_for(size_t bytes, bool has_start_promise) {
  const size_t room = ledger::page_room(settings_.value_bytes);
  for (Index i = 0; i < pages_.size(); ++i)
    if ((pages_[i].has_start_promise == has_start_promise || pages_[i].members.empty()) &&
        pages_[i].reserved + bytes <= room) {
      pages_[i].has_start_promise = has_start_promise;
      return i;
    }
  pages_.emplace_back();
  pages_.back().has_start_promise = has_start_promise;
  return static_cast<Index>(pages_.size() - 1);
}

void Core::mark_dirty(Job& job, uint32_t task, Wait waits, double now) {
  const uint32_t n = job.chunk_of(task);
  if (job.pages[n] == kNone) {
    const size_t bytes = job.chunk_bytes(n);
    const Index i = page_for(bytes, job.has_start_promise);
    job.pages[n] = i;
    pages_[i].reserved += bytes;
    pages_[i].members.insert({job.id, n});
  }
  Page& page = pages_[job.pages[n]];
  if (page.dirty_since < 0) page.dirty_since = now;
  page.waits = std::min(page.waits, waits);
}

void Core::end_attempt(Job& job, uint32_t task, Cause cause, double now, const char* why) {
  auto it = job.attempts.find(task);
  if (it == job.attempts.end() || it->second.state == AttemptState::ended) return;
  Attempt& a = it->second;
  if (a.state == AttemptState::proposed) return;  // settled by its transaction
  if (!set_state(job, a, AttemptState::ended)) return;
  a.cause = cause;
  spdlog::debug("task {}/{} attempt {} is off ({}, cause {})", job.spec.id, task, a.number, why,
                static_cast<int>(cause));
  vacate(job, a);
  if (job.state == JobState::aborted) {
    drop_if_over(job.id);
    return;
  }
  // A task that has to run again waits for this write.
  mark_dirty(job, task, cause != Cause::done ? Wait::again : Wait::nobody, now);
  after_end(job, a, now);
}

// Gives back what an attempt takes of its machine and its team.
void Core::vacate(Job& job, const Attempt& a) {
  Machine& m = *machines_[a.machine];
  std::erase(m.tasks, std::make_pair(job.id, a.task));
  m.used -= job.spec.each;
  if (m.tasks.empty()) m.used = {};
  team_used_[job.team] -= job.spec.each;
}

// Whether all attempts of a gang that have not ended wait for the others, as far as we know.
bool Core::still_gathers(const Job& job) const {
  bool any = false;
  for (const auto& [t, a] : job.attempts) {
    if (a.state == AttemptState::ended) continue;
    if (a.stop || a.state > AttemptState::gathering) return false;
    any = true;
  }
  return any;
}

void Core::after_end(Job& job, const Attempt& a, double now) {
  if (a.cause == Cause::done) {
    if (job.gang()) {
      // A gang's tasks complete together: one that is done proves all done.
      for (uint32_t t = 0; t < job.tasks(); ++t)
        if (!job.done.has(t)) job.done.add(t);
    } else {
      job.done.add(a.task);
    }
    job.done_count = job.done.count();
    job.erred_on.clear();
    job.errors = 0;
    if (job.done_count == job.tasks()) closing_.insert(job.id);
    return;
  }
  if (job.gang()) {
    // A gang that still gathers waits for a replacement, if the worker that was lost can hold
    // nothing of this attempt any more. Otherwise the rest cannot go on without it; what does not
    // leave by itself is stopped.
    if (a.cause != Cause::none || !still_gathers(job))
      for (auto& [t, other] : job.attempts)
        if (other.number == a.number) stop_attempt(job, other, 0);
  }
  if (a.cause == Cause::no_such || a.cause == Cause::no_room || a.cause == Cause::in_use)
    job.not_before = std::max(job.not_before, now + 1.0);
}

void Core::release(Job& job, uint32_t task) {
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

// ---------------------------------------------------------------- transactions

// Whether what was proposed still makes sense just before it is written.
bool Core::proposal_stands(const Attempt& a) const {
  const Machine& m = *machines_[a.machine];
  return m.state == MachineState::ready && !m.cordoned && m.session == a.session;
}

// Takes back proposals that were never written; `all`, or those that stand no more. A gang whose
// start is not durable in any part goes back as a whole.
void Core::void_proposals(Job& job, bool all) {
  if (job.proposed == 0) return;
  bool some = all;
  for (const auto& [t, a] : job.attempts)
    if (a.state == AttemptState::proposed && !proposal_stands(a)) some = true;
  if (!some) return;
  all = all || (job.gang() && job.proposed == job.attempts.size());
  for (auto it = job.attempts.begin(); it != job.attempts.end();) {
    const uint32_t task = it->first;
    const Attempt& a = it->second;
    const bool back = a.state == AttemptState::proposed && (all || !proposal_stands(a));
    ++it;
    if (back) release(job, task);
  }
}

std::optional<PendingTransaction> Core::page_transaction(Index i, double now) {
  Page& page = pages_[i];
  const uint64_t id = ++next_txn_;
  InFlightTransaction f;
  f.page = i;
  ledger::Page out;
  out.mark = f.txn.mark = mark_of(id);
  f.txn.conditions = {{ledger::kLeaderKey, token_}, {ledger::page_key(i), page.version}};
  const size_t most_conditions = 4 * settings_.txn_ops;
  const size_t room = ledger::page_room(settings_.value_bytes);
  size_t size = 0;
  bool left_out = false;
  struct Start {
    size_t entry;
    Job* job;
    Attempt* attempt;
  };
  std::vector<Start> starts;
  out.entries.reserve(page.members.size());
  // What is durable already has its place first; new starts follow while there is room.
  for (const auto& [j, n] : page.members) {
    Job& job = *jobs_[j];
    if (job.state == JobState::open && job.in_flight_transactions == 0) void_proposals(job, false);
    ledger::PageEntry e;
    e.job = job.spec.id;
    e.n = n;
    e.chunk.top = job.top;
    const uint32_t from = n * job.per, to = from + job.chunk_tasks(n);
    for (const auto& [a, b] : job.done.ranges()) {
      if (b < from || a >= to) continue;
      for (uint32_t t = std::max(a, from); t <= std::min(b, to - 1); ++t) e.chunk.done.add(t);
    }
    for (auto it = job.attempts.lower_bound(from); it != job.attempts.end() && it->first < to;
         ++it) {
      Attempt& a = it->second;
      if (a.state == AttemptState::ended) {
        f.ended.emplace_back(j, a.task);
      } else if (a.state == AttemptState::proposed) {
        starts.push_back({out.entries.size(), &job, &a});
      } else {
        e.chunk.live.push_back({a.task, a.number, machines_[a.machine]->name, a.session});
        size += ledger::encoded_size(e.chunk.live.back());
      }
    }
    size += ledger::encoded_size(e.job, e.chunk.done);
    out.entries.push_back(std::move(e));
  }
  std::set<Index> named;
  for (const Start& s : starts) {
    if (s.job->state != JobState::open || s.job->stale()) continue;
    const ledger::Live live{s.attempt->task, s.attempt->number, machines_[s.attempt->machine]->name,
                            s.attempt->session};
    const bool fresh = !named.count(s.job->id);
    if (size + ledger::encoded_size(live) > room ||
        (fresh && f.txn.conditions.size() >= most_conditions)) {
      left_out = true;
      continue;
    }
    // Invariant 1: the leader key and the job's version guard every start. The page's own version
    // makes a repeat or a late copy of this transaction harmless: exactly one copy can apply.
    if (fresh) {
      named.insert(s.job->id);
      f.txn.conditions.push_back({ledger::job_key(s.job->spec.id), s.job->version});
    }
    size += ledger::encoded_size(live);
    out.entries[s.entry].chunk.live.push_back(live);
    f.started.emplace_back(s.job->id, s.attempt->task);
  }
  for (const auto& e : f.ended) named.insert(e.first);
  f.jobs.assign(named.begin(), named.end());
  for (Index j : f.jobs) ++jobs_[j]->in_flight_transactions;
  f.txn.changes = {{ledger::page_key(i), false, ledger::encode(out), 0}};
  page.in_flight = true;
  page.dirty_since = left_out ? now : -1;
  page.waits = left_out ? Wait::start : Wait::nobody;
  if (left_out) page.retry_at = now + 0.1;
  PendingTransaction p{id, f.txn, false};
  in_flight_transactions_[id] = std::move(f);
  return p;
}

// As many as a transaction takes: each job's final state is a row of its own, kept for ever.
std::optional<PendingTransaction> Core::closing_transaction(double now, size_t room) {
  InFlightTransaction f;
  f.kind = InFlightTransaction::Kind::closing;
  uint64_t id = 0;
  for (Index i : closing_) {
    if (f.jobs.size() >=
        std::min({settings_.txn_ops, kMostClosings, std::max(kLeastClosings, room)}))
      break;
    Job& job = *jobs_[i];
    if (job.state != JobState::open || job.stale() || job.retry_at > now ||
        job.in_flight_transactions > 0)
      continue;
    if (f.jobs.empty()) {
      id = ++next_txn_;
      f.txn.mark = mark_of(id);
      f.txn.conditions = {{ledger::kLeaderKey, token_}};
    }
    ledger::JobRow row;
    row.standing = ledger::Standing::done;
    row.tasks = job.tasks();
    row.per = job.per;
    row.mark = f.txn.mark;
    f.txn.conditions.push_back({ledger::job_key(job.spec.id), job.version});
    f.txn.changes.push_back({ledger::job_key(job.spec.id), false, ledger::encode(row), 0});
    f.jobs.push_back(i);
    ++job.in_flight_transactions;
    set_state(job, JobState::closing);
  }
  if (f.jobs.empty()) return std::nullopt;
  PendingTransaction p{id, f.txn, false};
  in_flight_transactions_[id] = std::move(f);
  return p;
}

std::optional<PendingTransaction> Core::next_transaction(double now, size_t room) {
  if (lost_) return std::nullopt;
  // An unanswered transaction goes out again, word for word, before anything else is decided
  // about its rows: whatever copy is executed, the outcome is the same.
  for (auto& [id, f] : in_flight_transactions_)
    if (f.repeat_at >= 0 && f.repeat_at <= now) {
      f.repeat_at = -1;
      f.sent_again = true;
      return PendingTransaction{id, f.txn, true};
    }
  // By who waits for it, then by age. Mere ends are gathered, as their workers list them until
  // then.
  Index pick = kNone;
  // What has waited for long goes first, whoever waits for it: nothing is put off for ever.
  const auto key = [now](const Page& p) {
    return std::make_pair(now - p.dirty_since > kPutOff ? Wait::promised : p.waits, p.dirty_since);
  };
  for (Index i = 0; i < pages_.size(); ++i) {
    const Page& p = pages_[i];
    if (p.dirty_since < 0 || p.in_flight || p.retry_at > now) continue;
    if (p.waits == Wait::nobody && now - p.dirty_since < kGatherEnds) continue;
    if (pick == kNone || key(p) < key(pages_[pick])) pick = i;
  }
  // Jobs are closed together: their users have to be told within 3 s.
  if (closing_.empty()) closing_since_ = -1;
  if (!closing_.empty() && closing_since_ < 0) closing_since_ = now;
  const bool starts = pick != kNone && pages_[pick].waits < Wait::again;
  if (!closing_.empty() && (!starts || now - closing_since_ > kGatherClosings)) {
    closing_since_ = now;
    if (auto t = closing_transaction(now, room)) return t;
  }
  // The rented list too is put off only so long.
  if (pick == kNone || rented_list_.overdue(now))
    if (auto f = fleet_transaction(now)) return f;
  if (pick != kNone) return page_transaction(pick, now);
  return std::nullopt;
}

void Core::on_result(uint64_t id, const ledger::Result& r, double now) {
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
  const InFlightTransaction f = std::move(it->second);
  in_flight_transactions_.erase(it);
  const bool applied = r.outcome == Outcome::applied;
  for (Index j : f.jobs)
    if (Job* job = find(j)) --job->in_flight_transactions;
  if (r.outcome == Outcome::conflict)
    for (const std::string& key : r.failed) {
      if (key == ledger::kLeaderKey) return fail("the leader key is not ours any more");
      // Nobody but the leader writes pages and the rented list; a ledger that disagrees is read
      // anew from scratch.
      const std::string jobs = ledger::kJobPrefix;
      if (key.compare(0, jobs.size(), jobs) != 0) return fail(key + " is not as we left it");
      Job* job = find(job_names_.find(key.substr(jobs.size())));
      if (!job) continue;
      if (!job->over() && job->stale_since < 0) job->stale_since = now;
    }
  switch (f.kind) {
    case InFlightTransaction::Kind::page:
      settle_page(f, r, now);
      break;
    case InFlightTransaction::Kind::closing:
      if (!applied)
        for (Index j : f.jobs)
          if (Job* job = find(j))
            job->retry_at = now + (r.outcome == Outcome::refused ? 0.25 : 0.02);
      settle_closing(f, r);
      break;
    case InFlightTransaction::Kind::fleet:
      rented_list_.on_result(f.txn, r);
      break;
  }
  for (Index j : f.jobs) {
    Job* job = find(j);
    if (!job) continue;
    if (job->state == JobState::aborted)
      for (auto& [t, a] : job->attempts) stop_attempt(*job, a, 0);
    drop_if_over(j);
  }
}

void Core::settle_page(const InFlightTransaction& f, const ledger::Result& r, double now) {
  Page& page = pages_[f.page];
  page.in_flight = false;
  if (r.outcome != Outcome::applied) {
    // Nothing was written. Proposals of a job whose row moved are void, for they were never
    // ordered; all others are written anew.
    if (r.outcome == Outcome::refused) page.retry_at = now + 0.25;
    if (page.dirty_since < 0) page.dirty_since = now;
    page.waits = Wait::promised;
    for (Index j : f.jobs)
      if (Job* job = find(j); job && (job->stale() || job->over())) void_proposals(*job, true);
    return;
  }
  page.version = r.revision;
  for (const auto& [j, t] : f.started) {
    Job* job = find(j);
    if (!job) continue;
    auto a = job->attempts.find(t);
    if (a == job->attempts.end() || a->second.state != AttemptState::proposed) continue;
    if (!set_state(*job, a->second, AttemptState::placed)) continue;
    --job->proposed;
    direct_command_due_.insert(a->second.machine);
    const MachineState at = machines_[a->second.machine]->state;
    if (at == MachineState::gone)
      end_attempt(*job, t, Cause::none, now, "its machine went while it was committed");
    else if (!proposal_stands(a->second))
      stop_attempt(*job, a->second, 0);
    // The last of a gang to be committed makes all of it ready to be ordered.
    if (job->gang() && job->proposed == 0)
      for (auto& [other, b] : job->attempts) direct_command_due_.insert(b.machine);
  }
  for (const auto& [j, t] : f.ended) {
    Job* job = find(j);
    if (!job || job->state == JobState::aborted) continue;
    auto a = job->attempts.find(t);
    if (a != job->attempts.end() && a->second.state == AttemptState::ended) {
      release(*job, t);
      wants_round_ = true;
    }
  }
}

void Core::settle_closing(const InFlightTransaction& f, const ledger::Result& r) {
  for (Index j : f.jobs) {
    Job* job = find(j);
    if (!job) continue;
    if (r.outcome != Outcome::applied) {
      if (job->state == JobState::closing) set_state(*job, JobState::open);
      continue;
    }
    job->version = r.revision;
    if (!set_state(*job, JobState::done)) continue;
    while (!job->attempts.empty()) release(*job, job->attempts.begin()->first);
    spdlog::debug("job {} is done", job->spec.id);
  }
}

size_t Core::unsent() const {
  size_t n = closing_.size() + in_flight_transactions_.size();
  for (const Page& p : pages_) n += p.dirty_since >= 0;
  return n;
}

size_t Core::backlog() const {
  size_t n = unsent();
  for (const auto& job : jobs_)
    if (job) n += std::min<size_t>(job->waiting.size(), 64);
  return n;
}

void Core::round(double now) {
  if (lost_) return;
  wants_round_ = false;
  ++work_.rounds;
  watch_machines(now);
  if (now >= next_sample_) {
    sample_demand(now);
    next_sample_ = std::max(next_sample_ + settings_.tuning.sample_s, now);
  }
  for (const auto& job : jobs_)
    if (job && job->stale() && now - job->stale_since > kStaleFor) {
      // Known to the end: a row that contradicts us and that no watch brings is read from scratch.
      fail("the row of job " + job->spec.id + " is not as we know it");
      return;
    }
  place(now);
  plan_fleet(now);
}

Core::Summary Core::summary(double now) const {
  Summary s;
  for (const auto& job : jobs_) {
    if (!job) continue;
    ++s.jobs;
    s.waiting += job->waiting.size();
    s.live += job->attempts.size();
  }
  for (const auto& m : machines_) {
    if (m->state == MachineState::gone) continue;
    if (m->state == MachineState::ready) ++s.ready;
    if (m->state == MachineState::booting) ++s.booting;
    if (m->state == MachineState::draining) ++s.draining;
    if (m->registered && now - m->last_report > silence_limit()) ++s.silent;
  }
  for (const TypeState& t : type_state_) s.target += t.target;
  return s;
}

}  // namespace rookdyke
