#include "core/core.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cassert>

namespace rookdyke {

using ledger::Outcome;

Core::Core(const Settings& settings, std::vector<TypeInfo> types, uint64_t token, double now)
    : settings_(settings), types_(std::move(types)), token_(token), started_(now) {
  for (const std::string& z : settings_.zones) zone_names_.intern(z);
  for (const TeamInfo& t : settings_.teams) team_names_.intern(t.name);
  for (const TypeInfo& t : types_) {
    type_names_.intern(t.name);
    for (const std::string& z : t.zones) zone_names_.intern(z);
    const double ahead =
        settings_.tuning.boot_window_s > 0 ? settings_.tuning.boot_window_s : t.boot_s;
    type_state_.push_back({Forecast(settings_.tuning, ahead), 0, {}, {}, -1, {}});
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

const Job* Core::find_job(const std::string& id) const {
  const Index i = job_names_.find(id);
  if (i == kNone) return nullptr;
  auto it = jobs_.find(i);
  return it == jobs_.end() ? nullptr : it->second.get();
}

Machine& Core::machine(const std::string& name, double now) {
  const Index i = machine_names_.intern(name);
  if (i >= machines_.size()) machines_.resize(i + 1);
  if (!machines_[i]) {
    machines_[i] = std::make_unique<Machine>();
    machines_[i]->index = i;
    Machine& m = *machines_[i];
    m.name = name;
    m.hired_at = m.last_report = now;
    fleet_dirty_ = true;
  }
  return *machines_[i];
}

Job& Core::add_job(const MirrorJob& row, const std::string& id, double now) {
  const Index i = job_names_.intern(id);
  auto& slot = jobs_[i];
  slot = std::make_unique<Job>();
  Job& job = *slot;
  job.id = i;
  if (row.row.spec) job.spec = *row.row.spec;
  job.spec.id = id;
  job.spec.tasks = row.row.tasks;
  job.stamp = row.stamp;
  job.at_s = row.row.at_s;
  job.seen_at = now;
  if (day_offset_) job.seen_at = std::min(now, job.at_s - *day_offset_);
  job.per = std::max(1u, row.row.per);
  job.lot = lot_names_.intern(job.spec.lot);
  job.team = team_names_.intern(job.spec.team);
  if (team_used_.size() < team_names_.size()) team_used_.resize(team_names_.size());
  job.image = image_names_.intern(job.spec.image);
  if (!job.spec.zone.empty()) job.zone = zone_names_.intern(job.spec.zone);
  if (!job.spec.types.empty()) {
    job.types.assign(types_.size(), false);
    for (const std::string& t : job.spec.types)
      if (const Index k = type_names_.find(t); k != kNone) job.types[k] = true;
  }
  for (const auto& [n, c] : row.chunks) {
    job.chunks[n].stamp = c.stamp;
    job.top = std::max(job.top, c.chunk.top);
    for (const auto& [a, b] : c.chunk.done.ranges())
      for (uint32_t t = a; t <= b; ++t) job.done.add(t);
    for (const ledger::Live& l : c.chunk.live) {
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
  }
  job.done_count = job.done.count();
  for (const Objective& o : settings_.objectives)
    if (o.start && o.lot == job.spec.lot) {
      job.prompt = true;
      prompt_images_.insert(job.image);
    }
  if (row.row.standing == ledger::Standing::open) {
    for (uint32_t t = 0; t < job.tasks(); ++t)
      if (!job.done.has(t) && !job.attempts.count(t)) job.waiting.insert(job.waiting.end(), t);
    if (job.done_count == job.tasks()) closing_.insert(i);
  }
  return job;
}

void Core::load(const Mirror& mirror, double now) {
  for (const auto& [key, row] : mirror.fleet()) {
    fleet_stamps_[key] = row.first;
    if (!row.second.contains("machines") || !row.second["machines"].is_array()) continue;
    for (const auto& e : row.second["machines"]) {
      if (!e.is_array() || e.size() < 4 || !e[0].is_string() || !e[1].is_string() ||
          !e[2].is_string() || !e[3].is_boolean())
        continue;
      Machine& m = machine(e[0].get<std::string>(), now);
      m.type = type_names_.find(e[1].get<std::string>());
      m.zone = zone_names_.intern(e[2].get<std::string>());
      m.spot = e[3].get<bool>();
    }
  }
  size_t live = 0;
  for (const auto& [id, row] : mirror.jobs()) {
    if (row.stamp == 0) continue;
    if (row.row.standing != ledger::Standing::open && row.chunks.empty()) continue;
    Job& job = add_job(row, id, now);
    live += job.attempts.size();
    if (row.row.standing == ledger::Standing::aborted) {
      abort_job(job, row.stamp);
    } else if (row.row.standing == ledger::Standing::done) {
      set_state(job, JobState::closing);
      set_state(job, JobState::done);
      while (!job.attempts.empty()) release(job, job.attempts.begin()->first);
      job.waiting.clear();
      sweep_.insert(job.id);
    } else if (job.gang() && !job.attempts.empty() && !job.waiting.empty()) {
      // A gang whose start was committed in part, or that lost a task: it starts anew as a whole.
      for (auto& [t, a] : job.attempts) stop_attempt(job, a, 0);
    }
  }
  spdlog::info("taken over: {} jobs, {} attempts, {} machines known", jobs_.size(), live,
               machines_.size());
}

void Core::on_job_row(const MirrorJob& row, const std::string& id, double now) {
  const Index known = job_names_.find(id);
  auto it = known == kNone ? jobs_.end() : jobs_.find(known);
  if (it == jobs_.end()) {
    if (row.row.standing == ledger::Standing::open) {
      add_job(row, id, now);
      eager_ = true;
      spdlog::debug("job {}: {} tasks of {}", id, row.row.tasks, row.row.spec->lot);
    }
    return;
  }
  Job& job = *it->second;
  if (row.stamp <= job.stamp) return;
  job.stale = false;
  if (row.row.standing == ledger::Standing::aborted) {
    abort_job(job, row.stamp);
  } else if (row.row.standing == ledger::Standing::done && job.state != JobState::done) {
    // Only a leader writes this, and a flight of ours is still open: its result will say so.
    if (job.state != JobState::closing) fail("job " + id + " was closed by somebody else");
  }
}

void Core::abort_job(Job& job, uint64_t stamp) {
  if (job.over()) return;
  if (!set_state(job, JobState::aborted)) return;
  job.stamp = stamp;
  job.waiting.clear();
  closing_.erase(job.id);
  // Nobody has any use for what its tasks do: no time to save. Proposals whose transaction is in
  // flight are settled by its result; the job's version changed, so most will fail.
  for (auto& [t, a] : job.attempts) stop_attempt(job, a, 0);
  drop_if_over(job.id);
}

void Core::drop_if_over(Index id) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Job& job = *it->second;
  if (!job.over() || busy(job)) return;
  // An aborted job's ended attempts need no transaction: its row already says what counts.
  for (auto a = job.attempts.begin(); a != job.attempts.end();) {
    const uint32_t task = a->first;
    const bool ended = a->second.state == AttemptState::ended;
    const bool never = a->second.state == AttemptState::proposed;  // its transaction failed
    ++a;
    if (ended || never) release(job, task);
  }
  if (!job.attempts.empty()) return;
  std::erase_if(job.chunks, [](const auto& c) { return c.second.stamp == 0; });
  for (auto d = dirty_.lower_bound({id, 0}); d != dirty_.end() && d->first == id;)
    d = dirty_.erase(d);
  if (job.chunks.empty()) {
    sweep_.erase(id);
    jobs_.erase(it);
  } else {
    sweep_.insert(id);
  }
}

bool Core::busy(const Job& job) const {
  for (const auto& [id, f] : flights_)
    if (f.job == job.id) return true;
  return false;
}

void Core::stop_attempt(Job& job, Attempt& a, double grace) {
  if (a.state == AttemptState::ended) return;
  if (a.stop && grace >= a.grace_s) return;
  if (!a.stop)
    spdlog::debug("task {}/{} attempt {}: to be stopped, {} s to save", job.spec.id, a.task,
                  a.number, grace);
  a.stop = true;
  a.grace_s = grace;
  direct_.insert(a.machine);
}

// A gang saves only when all its tasks are told to within gang_peer_s, so the orders for all go out
// with the next reports, whichever machine has to be left.
void Core::stop_with_gang(Job& job, Attempt& a, double grace) {
  if (!job.gang()) return stop_attempt(job, a, grace);
  const uint64_t number = a.number;
  for (auto& [t, other] : job.attempts)
    if (other.number == number) stop_attempt(job, other, grace);
}

void Core::mark_dirty(Job& job, uint32_t task) { dirty_.insert({job.id, task / job.per}); }

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
  mark_dirty(job, task);
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
  job.attempts.erase(it);
  if (job.state == JobState::open && !job.done.has(task)) job.waiting.insert(task);
}

// ---------------------------------------------------------------- transactions

PendingTransaction Core::chunk_transaction(Job& job, uint32_t n) {
  Job::Chunk& chunk = job.chunks[n];
  const uint64_t id = ++next_txn_;
  Flight f;
  f.job = job.id;
  f.chunk = n;
  f.kind = Flight::Kind::chunk;
  ledger::Chunk out;
  out.mark = mark_of(id);
  out.top = job.top;
  const uint32_t from = n * job.per, to = std::min(job.tasks(), from + job.per);
  for (uint32_t t = from; t < to; ++t)
    if (job.done.has(t)) out.done.add(t);
  for (auto it = job.attempts.lower_bound(from); it != job.attempts.end() && it->first < to; ++it) {
    const Attempt& a = it->second;
    if (a.state == AttemptState::ended) {
      f.ended.push_back(a.task);
      continue;
    }
    if (a.state == AttemptState::proposed) f.started.push_back(a.task);
    out.live.push_back({a.task, a.number, machines_[a.machine]->name, a.session});
  }
  // Invariant 1: the leader key and the job's version guard every start. The chunk's own stamp
  // makes a repeat or a late copy of this transaction harmless: exactly one copy can apply.
  f.txn.mark = out.mark;
  f.txn.conditions = {{ledger::kLeaderKey, token_},
                      {ledger::job_key(job.spec.id), job.stamp},
                      {ledger::chunk_key(job.spec.id, n), chunk.stamp}};
  f.txn.changes = {{ledger::chunk_key(job.spec.id, n), false, ledger::encode(out), 0}};
  chunk.in_flight = true;
  PendingTransaction p{id, f.txn, false};
  flights_[id] = std::move(f);
  return p;
}

PendingTransaction Core::closing_transaction(Job& job) {
  const uint64_t id = ++next_txn_;
  Flight f;
  f.job = job.id;
  f.kind = Flight::Kind::closing;
  ledger::JobRow row;
  row.standing = ledger::Standing::done;
  row.tasks = job.tasks();
  row.per = job.per;
  row.mark = f.txn.mark = mark_of(id);
  f.txn.conditions = {{ledger::kLeaderKey, token_}, {ledger::job_key(job.spec.id), job.stamp}};
  f.txn.changes = {{ledger::job_key(job.spec.id), false, ledger::encode(row), 0}};
  // A small job's chunks go in the same breath; large ones are swept later.
  if (job.chunks.size() + 1 <= settings_.txn_ops)
    for (const auto& [n, c] : job.chunks)
      if (c.stamp) f.txn.changes.push_back({ledger::chunk_key(job.spec.id, n), true, {}, 0});
  set_state(job, JobState::closing);
  PendingTransaction p{id, f.txn, false};
  flights_[id] = std::move(f);
  return p;
}

std::optional<PendingTransaction> Core::next_transaction(double now) {
  if (lost_) return std::nullopt;
  // An unanswered transaction goes out again, word for word, before anything else is decided
  // about its rows: whatever copy is executed, the outcome is the same.
  for (auto& [id, f] : flights_)
    if (f.repeat_at >= 0 && f.repeat_at <= now) {
      f.repeat_at = -1;
      f.sent_again = true;
      return PendingTransaction{id, f.txn, true};
    }
  for (Index i : closing_) {
    Job& job = *jobs_.at(i);
    if (job.state != JobState::open || job.stale || job.retry_at > now || busy(job)) continue;
    return closing_transaction(job);
  }
  // Starts before mere removals: a start is what somebody waits for.
  const std::pair<Index, uint32_t>* pick = nullptr;
  bool pick_starts = false;
  for (const auto& d : dirty_) {
    Job& job = *jobs_.at(d.first);
    if (job.state != JobState::open || job.stale || job.retry_at > now) continue;
    if (closing_.count(job.id)) continue;
    if (job.chunks[d.second].in_flight) continue;
    bool starts = false;
    auto it = job.attempts.lower_bound(d.second * job.per);
    for (; it != job.attempts.end() && it->first < (d.second + 1) * job.per; ++it)
      if (it->second.state == AttemptState::proposed) {
        starts = true;
        break;
      }
    if (!pick || (starts && !pick_starts)) {
      pick = &d;
      pick_starts = starts;
      if (starts) break;
    }
  }
  if (pick) {
    const auto d = *pick;
    dirty_.erase(d);
    return chunk_transaction(*jobs_.at(d.first), d.second);
  }
  if (auto f = fleet_transaction(now)) return f;
  // Chunks of jobs that are over serve nobody any more.
  for (Index i : sweep_) {
    Job& job = *jobs_.at(i);
    if (busy(job) || job.retry_at > now) continue;
    const uint64_t id = ++next_txn_;
    Flight f;
    f.job = i;
    f.kind = Flight::Kind::sweep;
    f.txn.mark = mark_of(id);
    f.txn.conditions = {{ledger::kLeaderKey, token_}};
    for (const auto& [n, c] : job.chunks) {
      if (f.txn.changes.size() >= std::max<size_t>(1, settings_.txn_ops / 2)) break;
      f.txn.changes.push_back({ledger::chunk_key(job.spec.id, n), true, {}, 0});
    }
    PendingTransaction p{id, f.txn, false};
    flights_[id] = std::move(f);
    return p;
  }
  return std::nullopt;
}

// The chunks whose rows an executed transaction deleted.
void Core::forget_erased(Job& job, const ledger::Transaction& txn) {
  for (const ledger::Change& c : txn.changes)
    if (c.erase)
      job.chunks.erase(static_cast<uint32_t>(std::stoul(c.key.substr(c.key.rfind('/') + 1))));
}

void Core::settle_chunk(Job& job, uint32_t n, const ledger::Result& r, double) {
  Job::Chunk& chunk = job.chunks[n];
  chunk.in_flight = false;
  if (r.outcome == Outcome::applied) chunk.stamp = r.revision;
}

void Core::on_result(uint64_t id, const ledger::Result& r, double now) {
  auto it = flights_.find(id);
  if (it == flights_.end()) return;
  if (r.outcome == Outcome::unknown) {
    it->second.repeat_at = now + 0.3;
    return;
  }
  if (r.outcome == Outcome::refused && it->second.sent_again) {
    // This copy was not executed, but an earlier one may be.
    it->second.repeat_at = now + 0.5;
    return;
  }
  const Flight f = std::move(it->second);
  flights_.erase(it);
  const bool applied = r.outcome == Outcome::applied;
  bool leader_gone = false, job_moved = false, other = false;
  if (r.outcome == Outcome::conflict)
    for (const std::string& key : r.failed) {
      if (key == ledger::kLeaderKey)
        leader_gone = true;
      else if (f.job != kNone && jobs_.count(f.job) &&
               key == ledger::job_key(jobs_.at(f.job)->spec.id))
        job_moved = true;
      else
        other = true;
    }
  if (leader_gone) {
    fail("the leader key is not ours any more");
    return;
  }
  if (f.kind == Flight::Kind::fleet) {
    fleet_in_flight_ = false;
    if (applied) {
      for (const ledger::Change& c : f.txn.changes) {
        if (c.erase)
          fleet_stamps_.erase(c.key);
        else
          fleet_stamps_[c.key] = r.revision;
      }
    } else {
      fleet_dirty_ = true;
    }
    return;
  }
  auto jt = jobs_.find(f.job);
  if (jt == jobs_.end()) return;
  Job& job = *jt->second;
  if (!applied) job.retry_at = now + (r.outcome == Outcome::refused ? 0.25 : 0.05);
  if (other && !job_moved) {
    // Nobody but the leader writes chunks; a ledger that disagrees is read anew from scratch.
    fail("a chunk of job " + job.spec.id + " is not as we left it");
    return;
  }
  if (job_moved) job.stale = job.state == JobState::open || job.state == JobState::closing;

  switch (f.kind) {
    case Flight::Kind::chunk:
      settle_chunk(job, f.chunk, r, now);
      if (applied) {
        for (uint32_t t : f.started)
          if (auto a = job.attempts.find(t);
              a != job.attempts.end() && a->second.state == AttemptState::proposed) {
            set_state(job, a->second, AttemptState::placed);
            direct_.insert(a->second.machine);
            if (machines_[a->second.machine]->state == MachineState::gone)
              end_attempt(job, t, Cause::none, now, "its machine went while it was committed");
          }
        // The last of a gang to be committed makes all of it ready to be ordered.
        if (job.gang() && !f.started.empty())
          for (auto& [t, a] : job.attempts) direct_.insert(a.machine);
        if (job.state != JobState::aborted) {
          for (uint32_t t : f.ended) release(job, t);
        }
      } else {
        // Nothing was written: proposals are void (they were never ordered), ends still to do.
        for (uint32_t t : f.started) release(job, t);
        if (!job.over()) dirty_.insert({job.id, f.chunk});
        if (job.gang())
          for (auto& [t, a] : job.attempts)
            if (a.state == AttemptState::placed && !a.ordered_session) stop_attempt(job, a, 0);
      }
      break;
    case Flight::Kind::closing:
      if (applied) {
        job.stamp = r.revision;
        if (!set_state(job, JobState::done)) break;
        forget_erased(job, f.txn);
        while (!job.attempts.empty()) release(job, job.attempts.begin()->first);
        closing_.erase(job.id);
        spdlog::debug("job {} is done", job.spec.id);
      } else if (job.state == JobState::closing) {
        set_state(job, JobState::open);
      }
      break;
    case Flight::Kind::sweep:
      if (applied) forget_erased(job, f.txn);
      break;
    case Flight::Kind::fleet:
      break;
  }
  if (job.state == JobState::aborted)
    for (auto& [t, a] : job.attempts) stop_attempt(job, a, 0);
  drop_if_over(job.id);
}

size_t Core::backlog() const {
  size_t n = dirty_.size() + closing_.size() + flights_.size();
  for (const auto& [i, job] : jobs_) n += std::min<size_t>(job->waiting.size(), 64);
  return n;
}

void Core::round(double now) {
  if (lost_) return;
  eager_ = false;
  watch_machines(now);
  if (now >= next_sample_) {
    sample_demand(now);
    next_sample_ = std::max(next_sample_ + settings_.tuning.sample_s, now);
  }
  place(now);
  plan_fleet(now);
}

Core::Summary Core::summary(double now) const {
  Summary s;
  for (const auto& [i, job] : jobs_) {
    ++s.jobs;
    s.waiting += job->waiting.size();
    s.live += job->attempts.size();
  }
  for (const auto& m : machines_) {
    if (m->state == MachineState::gone) continue;
    if (m->state == MachineState::ready) ++s.ready;
    if (m->state == MachineState::booting) ++s.booting;
    if (m->state == MachineState::draining) ++s.draining;
    if (m->heard && now - m->last_report > silence_limit()) ++s.silent;
  }
  for (const TypeState& t : type_state_) s.target += t.target;
  return s;
}

}  // namespace rookdyke
