// What runs where: order of jobs, choice of machines, gangs, preemption.

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "core/core.h"

namespace rookdyke {

namespace {

// Tasks started in one round at most, plus a share of the backlog: batches widen with the load.
constexpr int kBatch = 64;
// In seconds of fetch: how much rather a spot-tolerant task takes a spot machine, leaving the
// ordinary ones to those that need them.
constexpr double kSpotPreference = 4;
// In seconds of fetch: how much rather a full machine is filled up than an empty one begun, so
// that machines empty together and can be returned.
constexpr double kPackPreference = 3;
// How long room made by stopping others is kept for the job it was made for.
constexpr double kReserve = 12;
// Share of its fetch time: how much rather other work leaves a machine alone that holds the image
// of a class that is promised a prompt start. A large image decides alone whether one is kept.
constexpr double kLeaveWarm = 0.5;
// In seconds of age: a promise of a prompt start goes before anything else of its rank.
constexpr double kPromptFirst = 1e6;
// In seconds of age: how far the largest job stands back for small ones.
constexpr double kMostStandingBack = 150;

}  // namespace

bool Core::guaranteed(const Job& job) const {
  const TeamInfo* team = nullptr;
  for (const TeamInfo& t : settings_.teams)
    if (t.name == job.spec.team) team = &t;
  if (!team || (team->cpus <= 0 && team->gpus <= 0)) return false;
  Amounts all;
  for (const auto& [i, j] : jobs_)
    if (j->team == job.team && !j->over() && j->at_s <= job.at_s)
      all += j->spec.each.times(j->tasks() - j->done_count);
  return all.cpus <= team->cpus && all.gpus <= team->gpus;
}

// The order among jobs of equal rank, smallest first. A class that is promised a prompt start goes
// by when that promise runs out. All others, and those that missed it, go by age, yet a job with
// much work left stands back for small ones: of a queue that cannot all be in time, most are then.
double Core::urgency(const Job& job, double now) const {
  const double age = now - job.seen_at;
  double start = -1;
  for (const Objective& o : settings_.objectives)
    if (o.lot == job.spec.lot && o.start && o.within_s > age && (start < 0 || o.within_s < start))
      start = o.within_s;
  if (start >= 0) return start - age - kPromptFirst;
  double share = 0;
  for (const TypeInfo& t : types_) {
    const double r = job.spec.each.share_of(t.size);
    if (share == 0 || r < share) share = r;
  }
  const double left = (job.tasks() - job.done_count) * share * job.spec.estimate_s;
  return std::min(left * settings_.tuning.small_first, kMostStandingBack) - age;
}

void Core::sort_jobs(double now) {
  struct Entry {
    bool guaranteed;
    Rank rank;
    double urgency;
    Index job;
  };
  std::vector<Entry> v;
  const bool any_guarantee =
      std::any_of(settings_.teams.begin(), settings_.teams.end(),
                  [](const TeamInfo& t) { return t.cpus > 0 || t.gpus > 0; });
  for (const auto& [i, job] : jobs_)
    if (!job->over())
      v.push_back({any_guarantee && guaranteed(*job), job->spec.rank, urgency(*job, now), i});
  std::sort(v.begin(), v.end(), [](const Entry& a, const Entry& b) {
    if (a.guaranteed != b.guaranteed) return a.guaranteed;
    if (a.rank != b.rank) return a.rank > b.rank;
    return std::tie(a.urgency, a.job) < std::tie(b.urgency, b.job);
  });
  order_.clear();
  for (const Entry& e : v) order_.push_back(e.job);
}

bool Core::within_limit(const Job& job, uint32_t count) const {
  for (const TeamInfo& t : settings_.teams) {
    if (t.name != job.spec.team) continue;
    const Amounts& used = team_used_[job.team];
    if (t.cpus_max > 0 && used.cpus + job.spec.each.cpus * count > t.cpus_max + 1e-9) return false;
    if (t.gpus_max > 0 && used.gpus + job.spec.each.gpus * count > t.gpus_max + 1e-9) return false;
    return true;
  }
  return false;  // an unknown team is never let in; see 422
}

// Old attempts count until they are proven gone: all in job.attempts that have not ended.
bool Core::zone_allows(const Job& job, Index zone, uint32_t more) const {
  if (job.zone != kNone && zone != job.zone) return false;
  if (!job.spec.one_zone && !job.spec.scatter) return true;
  uint32_t here = 0;
  for (const auto& [t, a] : job.attempts) {
    if (a.state == AttemptState::ended) continue;
    if (machines_[a.machine]->zone == zone)
      ++here;
    else if (job.spec.one_zone)
      return false;
  }
  return !job.spec.scatter || here + more <= (job.tasks() + 1) / 2;
}

bool Core::may_run(const Job& job, const Machine& m, double now) const {
  if (!m.usable() || m.strays || m.type == kNone) return false;
  if (!job.types.empty() && !job.types[m.type]) return false;
  if (m.spot && !job.spec.spot) return false;
  if (now < m.suspect_until) return false;
  if (m.reserved_for != kNone && m.reserved_for != job.id && now < m.reserved_until) return false;
  if (!m.unanswered.empty() &&
      std::any_of(m.unanswered.begin(), m.unanswered.end(),
                  [&](const auto& u) { return std::get<0>(u) == job.spec.id; }))
    return false;  // it still lists an older attempt, which must not be cleared
  if (job.erred_on.count(m.index) && job.erred_on.size() < 3) return false;
  // A machine that missed a report may be gone already.
  return now - m.last_report <= 1.7 * settings_.report_s;
}

double Core::score(const Job& job, const Machine& m) const {
  const TypeInfo& type = types_[m.type];
  double s = 0;
  if (!m.images.count(job.image)) {
    const double fetch = job.spec.image_gb / std::max(0.01, type.fetch_gb_per_s);
    std::set<Index> under_way;
    for (const auto& [j, t] : m.tasks) {
      const Job& other = *jobs_.at(j);
      const AttemptState st = other.attempts.at(t).state;
      if (st <= AttemptState::pulling && !m.images.count(other.image))
        under_way.insert(other.image);
    }
    s += under_way.count(job.image) ? 0.5 * fetch
                                    : fetch * (1.0 + static_cast<double>(under_way.size()));
  }
  if (job.spec.spot && !m.spot) s += kSpotPreference;
  if (!job.prompt)
    for (const auto& [i, e] : m.images)
      if (i != job.image && prompt_images_.count(i))
        s += kLeaveWarm * e.second / std::max(0.01, type.fetch_gb_per_s);
  const double filled = m.used.share_of(type.size);
  return s + kPackPreference * (1 - filled);
}

Index Core::choose(const Job& job, double now, Index zone_only) const {
  Index best = kNone;
  double best_score = 0;
  for (const auto& mp : machines_) {
    const Machine& m = *mp;
    if (m.state != MachineState::ready || !may_run(job, m, now)) continue;
    if (zone_only != kNone && m.zone != zone_only) continue;
    if (!zone_allows(job, m.zone, 1)) continue;
    Amounts room = types_[m.type].size;
    room -= m.used;
    if (!job.spec.each.fits(room)) continue;
    const double s = score(job, m);
    if (best == kNone || s < best_score) {
      best = m.index;
      best_score = s;
    }
  }
  return best;
}

void Core::propose(Job& job, uint32_t task, uint64_t number, Index mi, double now) {
  Machine& m = *machines_[mi];
  Attempt a;
  a.task = task;
  a.number = number;
  a.machine = mi;
  a.session = m.session;
  a.since = now;
  job.attempts[task] = a;
  job.waiting.erase(task);
  job.top = std::max(job.top, number);
  m.tasks.emplace_back(job.id, task);
  m.used += job.spec.each;
  team_used_[job.team] += job.spec.each;
  mark_dirty(job, task);
  spdlog::debug("task {}/{} attempt {}: proposed for {}", job.spec.id, task, number, m.name);
}

bool Core::place_array(Job& job, double now, int& budget) {
  const uint64_t number = job.top + 1;
  while (!job.waiting.empty() && budget > 0) {
    if (!within_limit(job, 1)) return true;  // its own limit, not the machines, holds it back
    const Index m = choose(job, now, kNone);
    if (m == kNone) return false;
    propose(job, *job.waiting.begin(), number, m, now);
    --budget;
  }
  return true;
}

bool Core::place_gang(Job& job, double now, int& budget) {
  if (!job.attempts.empty()) {
    // Either the old attempt has not left entirely, or it gathers and lacks some: replacements
    // join it under its number (invariant 4's exception).
    const uint64_t number = job.attempts.begin()->second.number;
    for (const auto& [t, a] : job.attempts)
      if (a.state == AttemptState::ended || a.number != number) return true;
    if (!still_gathers(job)) return true;
    while (!job.waiting.empty() && within_limit(job, 1)) {
      const Index m = choose(job, now, kNone);
      if (m == kNone) return false;
      propose(job, *job.waiting.begin(), number, m, now);
      --budget;
    }
    return true;
  }
  if (!within_limit(job, job.tasks())) return true;
  std::vector<Index> zones{kNone};
  if (job.spec.one_zone) {
    zones.clear();
    for (Index z = 0; z < zone_names_.size(); ++z) zones.push_back(z);
  }
  const uint64_t number = job.top + 1;
  const std::vector<uint32_t> tasks(job.waiting.begin(), job.waiting.end());
  struct Best {
    double score = 0;
    std::vector<Index> machines;
  } best;
  for (Index z : zones) {
    // All or none: tried on the books, taken back if it does not work out.
    std::vector<Index> got;
    double worst = 0;
    for (uint32_t t : tasks) {
      const Index m = choose(job, now, z);
      if (m == kNone) break;
      worst = std::max(worst, score(job, *machines_[m]));
      got.push_back(m);
      Attempt a;
      a.task = t;
      a.machine = m;
      job.attempts[t] = a;
      machines_[m]->used += job.spec.each;
    }
    for (size_t i = 0; i < got.size(); ++i) {
      machines_[got[i]]->used -= job.spec.each;
      job.attempts.erase(tasks[i]);
    }
    if (got.size() == tasks.size() && (best.machines.empty() || worst < best.score))
      best = {worst, std::move(got)};
  }
  if (best.machines.empty()) return false;
  for (size_t i = 0; i < tasks.size(); ++i) propose(job, tasks[i], number, best.machines[i], now);
  budget -= static_cast<int>(tasks.size());
  return true;
}

bool Core::may_stop(const Job& job, const Job& victim) const {
  if (victim.spec.rank < job.spec.rank) return true;
  if (victim.team == job.team || !guaranteed(job)) return false;
  for (const TeamInfo& t : settings_.teams)
    if (t.name == victim.spec.team) {
      const Amounts& used = team_used_[victim.team];
      return used.cpus > t.cpus + 1e-9 || used.gpus > t.gpus + 1e-9;
    }
  return false;
}

// Makes room for one task of the job where the least work is lost by it.
void Core::preempt_for(Job& job, double now) {
  // Room that is being made already is not made twice.
  uint32_t pending = 0;
  for (const auto& m : machines_)
    if (m->reserved_for == job.id && now < m->reserved_until) ++pending;
  const uint32_t wanted = static_cast<uint32_t>(
      job.gang() ? job.waiting.size() : std::min<size_t>(job.waiting.size(), 8));
  while (pending < wanted) {
    Index best = kNone;
    double best_cost = 0;
    std::vector<std::pair<Index, uint32_t>> best_victims;
    for (const auto& mp : machines_) {
      const Machine& m = *mp;
      if (m.state != MachineState::ready || !may_run(job, m, now)) continue;
      if (m.reserved_for != kNone && now < m.reserved_until) continue;
      if (!zone_allows(job, m.zone, 1)) continue;
      Amounts room = types_[m.type].size;
      room -= m.used;
      struct Victim {
        double cost;
        Index job;
        uint32_t task;
      };
      std::vector<Victim> victims;
      for (const auto& [j, t] : m.tasks) {
        const Job& v = *jobs_.at(j);
        const Attempt& a = v.attempts.at(t);
        if (a.stop) {
          room += v.spec.each;  // it is leaving anyway
          continue;
        }
        if (a.state == AttemptState::proposed || v.gang() || !may_stop(job, v)) continue;
        double lost = 0;
        if (a.state == AttemptState::running)
          lost = v.spec.checkpoint_s > 0 ? 1 + v.spec.save_s : 5 + now - a.running_since;
        victims.push_back({lost, j, t});
      }
      std::sort(victims.begin(), victims.end(),
                [](const Victim& a, const Victim& b) { return a.cost < b.cost; });
      double cost = 0;
      std::vector<std::pair<Index, uint32_t>> chosen;
      for (const Victim& v : victims) {
        if (job.spec.each.fits(room)) break;
        room += jobs_.at(v.job)->spec.each;
        cost += v.cost;
        chosen.emplace_back(v.job, v.task);
      }
      if (!job.spec.each.fits(room)) continue;
      if (!m.images.count(job.image)) cost += 2;
      if (best == kNone || cost < best_cost) {
        best = m.index;
        best_cost = cost;
        best_victims = std::move(chosen);
      }
    }
    if (best == kNone) return;
    Machine& m = *machines_[best];
    m.reserved_for = job.id;
    m.reserved_until = now + kReserve;
    for (const auto& [j, t] : best_victims) {
      Job& v = *jobs_.at(j);
      stop_attempt(v, v.attempts.at(t), v.spec.checkpoint_s > 0 ? v.spec.save_s + kGraceMargin : 0);
    }
    if (!best_victims.empty())
      spdlog::info("job {}: {} tasks on {} stopped to make room", job.spec.id, best_victims.size(),
                   m.name);
    ++pending;
  }
}

void Core::place(double now) {
  sort_jobs(now);
  int budget = kBatch + static_cast<int>(backlog() / 8);
  for (auto& m : machines_)
    if (m->reserved_for != kNone) {
      auto it = jobs_.find(m->reserved_for);
      if (now >= m->reserved_until || it == jobs_.end() || it->second->waiting.empty())
        m->reserved_for = kNone;
    }
  for (Index i : order_) {
    if (budget <= 0) break;
    auto it = jobs_.find(i);
    if (it == jobs_.end()) continue;
    Job& job = *it->second;
    if (job.state != JobState::open || job.waiting.empty() || job.stale || now < job.not_before)
      continue;
    const bool placed = job.gang() ? place_gang(job, now, budget) : place_array(job, now, budget);
    if (!placed) preempt_for(job, now);
  }
}

}  // namespace rookdyke
