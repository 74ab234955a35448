// What runs where: order of jobs, choice of machines, gangs, preemption.

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "scheduler/scheduler.h"

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
constexpr double kStartPromiseFirst = 1e6;
// A promise of a start that queueing can keep is kept by going first for the last part of its time.
constexpr double kDueSoon = 40;
constexpr double kDueFirst = 1e5;
// In seconds of age: how far the largest job stands back for small ones.
constexpr double kMostStandingBack = 150;
// A job of which nothing was started for this long goes before everything, whatever its class, rank
// and size (nobody starves: the users' largest jobs have to begin within four minutes). An array
// then gets a part of its tasks, and its turn begins anew.
constexpr double kStarvedAfter = 120;
constexpr uint32_t kStarvedLeast = 4;
constexpr uint32_t kStarvedShare = 16;
// A gang, or a task that takes this share of a machine, has machines set aside once it has waited
// this long: freed bit by bit, room for it would always go to smaller work first.
constexpr double kSetAsideAfter = 20;
constexpr double kSetAsideSize = 0.3;
constexpr double kSetAsideFor = 3;     // kept up from round to round while it waits
constexpr double kSetAsideMost = 0.1;  // of all machines, for all jobs together
// What a second of image fetch weighs against what is lost by stopping others: a save and a fetch
// one after the other break most promises of a prompt start.
constexpr double kFetchCost = 4;
// A gang that is promised a prompt start keeps free places this soon; all together hold no more
// than this share of the machines, but for starved ones.
constexpr double kStartPromiseClaimAfter = 0.5;
constexpr double kClaimMost = 0.15;
// In seconds of urgency: how far an array whose image is on a free machine may go before others;
// and how many arrays are asked.
constexpr double kWarmWindow = 80;
constexpr int kWarmJobs = 32;
// What a start takes besides the fetch; and one on a machine that has the image, room being made
// there.
constexpr double kStartTime = 1.5;
constexpr double kWarmStartTime = 3;
// In seconds of lost work: a replica is stopped for others only where nothing else would do.
constexpr double kReplicaCost = 1e4;
// Room is made by stopping others no more often than this.
constexpr double kPreemptEvery = 0.2;

}  // namespace

// What of each team's unfinished jobs, oldest first, fits within its guarantee.
void Scheduler::find_guaranteed() {
  for (const TeamQuota& t : settings_.teams) {
    if (t.cpus <= 0 && t.gpus <= 0) continue;
    const Index team = catalog_.teams.find(t.name);
    std::vector<Job*> v;
    for (const auto& job : jobs_)
      if (job && job->team == team && !job->is_finished()) v.push_back(job.get());
    std::sort(v.begin(), v.end(),
              [](const Job* a, const Job* b) { return a->timestamp_s < b->timestamp_s; });
    Resources all;
    for (Job* job : v) {
      all += job->spec.per_task.scaled(job->tasks() - job->done_count);
      job->guaranteed = all.cpus <= t.cpus && all.gpus <= t.gpus;
    }
  }
}

// The order among jobs of equal rank, smallest first. A class that is promised a prompt start goes
// by when that promise runs out. All others, and those that missed it, go by age, yet a job with
// much work left stands back for small ones: of a queue that cannot all be in time, most are then.
double Scheduler::urgency(const Job& job, double now) const {
  // What waits of a service is a replica that is missing now, however old the service is.
  if (job.is_service()) return std::max(job.seen_at, job.missing_since) - now - kStartPromiseFirst;
  const double age = now - job.seen_at;
  for (const double within : job.start_within) {
    if (within <= age) continue;
    if (job.has_start_promise) return within - age - kStartPromiseFirst;
    if (within - age < kDueSoon) return within - age - kDueFirst;
  }
  const double left = (job.tasks() - job.done_count) * job.share * job.spec.expected_runtime_s;
  return std::min(left * settings_.tuning.short_job_preference_s, kMostStandingBack) - age;
}

bool Scheduler::starved(const Job& job, double now) const {
  return now - std::max(job.seen_at, job.last_start) > kStarvedAfter;
}

void Scheduler::sort_jobs(double now) {
  struct Entry {
    bool starved, guaranteed;
    Priority priority;
    double urgency;
    Index job;
  };
  find_guaranteed();
  std::vector<Entry> v;
  least_ = {1e18, 1e18, 1e18};
  for (const auto& job : jobs_) {
    if (!job || job->state != JobState::open || job->waiting.empty() || job->is_stale() ||
        now < job->not_before)
      continue;
    const bool late = starved(*job, now);
    job->urgency = late ? std::max(job->seen_at, job->last_start) : urgency(*job, now);
    v.push_back({late, job->guaranteed, job->spec.priority, job->urgency, job->id});
    least_.cpus = std::min(least_.cpus, job->spec.per_task.cpus);
    least_.gpus = std::min(least_.gpus, job->spec.per_task.gpus);
    least_.memory_gb = std::min(least_.memory_gb, job->spec.per_task.memory_gb);
  }
  std::sort(v.begin(), v.end(), [](const Entry& a, const Entry& b) {
    if (a.starved != b.starved) return a.starved;
    if (!a.starved) {
      if (a.guaranteed != b.guaranteed) return a.guaranteed;
      if (a.priority != b.priority) return a.priority > b.priority;
    }
    return std::tie(a.urgency, a.job) < std::tie(b.urgency, b.job);
  });
  order_.clear();
  for (const Entry& e : v) order_.push_back(e.job);
}

double Scheduler::score(const Job& job, const Machine& m) const {
  const MachineType& type = catalog_.types[m.type];
  double s = 0;
  if (!m.images.count(job.image)) {
    const double fetch = type.fetch_time_s(job.spec.image_gb);
    bool same = false;
    size_t others = 0;
    Index last = kNone;
    for (const auto& [j, t] : m.tasks) {
      const Job& other = jobs_[j];
      if (other.attempts.at(t).state > AttemptState::fetching || m.images.count(other.image))
        continue;
      same = same || other.image == job.image;
      others += other.image != last;  // tasks of a job come together, so this counts images
      last = other.image;
    }
    s += same ? 0.5 * fetch : fetch * (1.0 + static_cast<double>(others));
  }
  if (job.spec.spot && !m.spot && !job.is_service()) s += kSpotPreference;
  if (!job.has_start_promise)
    for (const auto& [i, e] : m.images)
      if (i != job.image && catalog_.prompt_start_images.count(i))
        s += kLeaveWarm * type.fetch_time_s(e.size_gb);
  const double filled = m.used.dominant_share(type.size);
  return s + kPackPreference * (1 - filled);
}

// Whether the job's image is there, or under way for another of its tasks or jobs; for a promised
// start it has to be there.
bool Scheduler::warm(const Job& job, const Machine& m) const {
  if (m.images.count(job.image)) return true;
  return !job.has_start_promise && std::any_of(m.tasks.begin(), m.tasks.end(), [&](const auto& t) {
    return jobs_[t.first].image == job.image;
  });
}

// The machines that take work and have room for the smallest waiting task: looked for once a round.
void Scheduler::gather_open(double now) {
  open_.clear();
  full_.clear();
  for (const auto& m : machines_) {
    if (m->state != MachineState::ready || !eligibility_.takes_work(*m, now)) continue;
    if (has_room(*m)) open_.push_back(m->index);
  }
}

bool Scheduler::has_room(const Machine& m) const {
  return least_.fits_in(eligibility_.free_resources(m));
}

// Whether a search in this round has shown already that there is no room for it.
bool Scheduler::known_full(const Job& job, uint32_t count) const {
  return std::any_of(full_.begin(), full_.end(), [&](const Full& f) {
    return job.zone == f.zone && job.spec.spot == f.spot && job.types == f.types &&
           job.spec.single_zone == f.single_zone && count >= f.count &&
           f.per_task.cpus <= job.spec.per_task.cpus + 1e-9 &&
           f.per_task.gpus <= job.spec.per_task.gpus + 1e-9 &&
           f.per_task.memory_gb <= job.spec.per_task.memory_gb + 1e-9;
  });
}

// All places for tasks of the job, cheapest first: one search serves all of its waiting tasks.
std::vector<Scheduler::Place> Scheduler::places(const Job& job, double now, bool* is_special,
                                                bool warm_only) {
  std::vector<Place> out;
  const bool bound_to_its_zone = job.spec.single_zone && !job.attempts.empty();
  bool special = job.spec.spread_zones || bound_to_its_zone || !job.failed_machines.empty();
  for (size_t k = 0; k < open_.size();) {
    const Machine& m = machines_[open_[k]];
    if (!has_room(m)) {  // filled up in this round
      open_[k] = open_.back();
      open_.pop_back();
      continue;
    }
    ++k;
    ++work_.machines_looked_at;
    // What holds for this job alone must not tell other jobs that there is no room.
    special = special || m.reserved_for != kNone || !m.unanswered_starts.empty();
    if (!eligibility_.may_run(job, m, now)) continue;
    Resources room = eligibility_.free_resources(m);
    uint32_t slots = 0;
    while (slots < job.waiting.size() && job.spec.per_task.fits_in(room)) {
      room -= job.spec.per_task;
      ++slots;
    }
    if (slots == 0 || (warm_only && !warm(job, m))) continue;
    if (!eligibility_.zone_allows(job, m.zone, 1)) continue;
    out.push_back({score(job, m), m.index, slots});
  }
  std::sort(out.begin(), out.end(), [](const Place& a, const Place& b) {
    return std::tie(a.score, a.machine) < std::tie(b.score, b.machine);
  });
  if (is_special) *is_special = special;
  if (out.empty() && !special && !warm_only)
    full_.push_back(
        {job.spec.per_task, job.zone, job.types, job.spec.spot, job.spec.single_zone, 1});
  return out;
}

// How many tasks a starved array may begin at its turn: a share of its own, and no more than that
// share of what the whole fleet holds of them. Of an array larger than the fleet, a share of its
// own would take every place before promised work.
uint32_t Scheduler::starved_share(const Job& job) const {
  const double fleet_holds = job.share > 0 ? static_cast<double>(ready_) / job.share : 0;
  const double counted = std::min<double>(job.tasks(), fleet_holds);
  return std::max(kStarvedLeast, static_cast<uint32_t>(counted) / kStarvedShare);
}

bool Scheduler::place_array(Job& job, double now, int& budget, bool warm_only) {
  if (!team_usage_.within_limit(job.team, job.spec.per_task, 1))
    return true;  // its own limit, not the machines, holds it back
  if (known_full(job, 1)) return false;
  const uint64_t number = job.highest_attempt + 1;
  const bool late = starved(job, now);
  if (late && job.starvation_allowance == 0) job.starvation_allowance = starved_share(job);
  uint32_t most = late ? job.starvation_allowance : UINT32_MAX;
  // One task shows whether it still fails. The next one waits for that and for the back-off: the
  // error of the first is reported only after rounds in which more would have been started.
  if (FaultDetector::is_faulty(job)) most = job.attempts.empty() ? 1 : 0;
  size_t began = 0;
  for (const Place& p : places(job, now, nullptr, warm_only)) {
    for (uint32_t k = 0; k < p.slots && budget > 0 && most > 0; ++k) {
      if (job.waiting.empty() || !team_usage_.within_limit(job.team, job.spec.per_task, 1)) break;
      if (!eligibility_.zone_allows(job, machines_[p.machine].zone, 1)) break;
      lifecycle_.propose(job, *job.waiting.begin(), number, machines_[p.machine], starved(job, now),
                         now);
      --budget;
      --most;
      if (late) --job.starvation_allowance;
      ++began;
    }
    if (job.waiting.empty() || budget <= 0 || most == 0 ||
        !team_usage_.within_limit(job.team, job.spec.per_task, 1))
      break;
  }
  // In a full fleet places come free a few at a time: its turn lasts until its share has begun.
  if (began > 0 && (!late || job.starvation_allowance == 0 || job.waiting.empty())) {
    job.last_start = now;
    job.starvation_allowance = 0;
  }
  return job.waiting.empty() || budget <= 0 || most == 0 ||
         !team_usage_.within_limit(job.team, job.spec.per_task, 1);
}

// Whether a start that has to fetch its image would surely break the promise that is due next,
// while one on a machine that has it can still keep it. Then only such a machine will do, for as
// long.
bool Scheduler::needs_warm(const Job& job, double now) const {
  const double age = now - job.seen_at;
  if (!job.has_start_promise || !job.attempts.empty() || job.is_service()) return false;
  for (const double within : job.start_within) {
    if (within <= age) continue;
    double fetch = 0;
    for (const MachineType& t : catalog_.types)
      fetch = std::max(fetch, t.fetch_time_s(job.spec.image_gb));
    return within - age < fetch + kStartTime && within - age > kWarmStartTime;
  }
  return false;
}

bool Scheduler::place_gang(Job& job, double now, int& budget, bool warm_only) {
  if (!job.attempts.empty()) {
    // Either the old attempt has not left entirely, or it gathers and lacks some: replacements
    // join it under its number (invariant 4's exception).
    const uint64_t number = job.attempts.begin()->second.number;
    for (const auto& [t, a] : job.attempts)
      if (a.state == AttemptState::ended || a.number != number) return true;
    if (!TaskLifecycle::is_gang_gathering(job)) return true;
    for (const Place& p : places(job, now))
      for (uint32_t k = 0; k < p.slots && !job.waiting.empty() &&
                           team_usage_.within_limit(job.team, job.spec.per_task, 1);
           ++k) {
        if (!eligibility_.zone_allows(job, machines_[p.machine].zone, 1)) break;
        lifecycle_.propose(job, *job.waiting.begin(), number, machines_[p.machine],
                           starved(job, now), now);
        --budget;
      }
    return job.waiting.empty() || !team_usage_.within_limit(job.team, job.spec.per_task, 1);
  }
  if (!team_usage_.within_limit(job.team, job.spec.per_task, job.tasks())) return true;
  if (known_full(job, job.tasks())) return false;
  // All or none: the cheapest places, in the zone whose dearest one is cheapest.
  bool special = false;
  const std::vector<Place> all = places(job, now, &special, warm_only);
  const uint32_t n = job.tasks();
  std::vector<Index> zones{kNone}, best;
  if (job.spec.single_zone) {
    zones.clear();
    for (Index z = 0; z < catalog_.zones.size(); ++z) zones.push_back(z);
  }
  double best_score = 0;
  for (Index z : zones) {
    std::vector<Index> got;
    std::map<Index, uint32_t> in_zone;
    double worst = 0;
    for (const Place& p : all) {
      const Index zone = machines_[p.machine].zone;
      if (z != kNone && zone != z) continue;
      for (uint32_t k = 0; k < p.slots && got.size() < n; ++k) {
        if (job.spec.spread_zones && in_zone[zone] >= (n + 1) / 2) break;
        ++in_zone[zone];
        got.push_back(p.machine);
        worst = p.score;
      }
      if (got.size() == n) break;
    }
    if (got.size() == n && (best.empty() || worst < best_score)) {
      best = std::move(got);
      best_score = worst;
    }
  }
  if (best.empty()) {
    claim(job, all, now);
    if (!special && !warm_only)
      full_.push_back(
          {job.spec.per_task, job.zone, job.types, job.spec.spot, job.spec.single_zone, n});
    return false;
  }
  const uint64_t number = job.highest_attempt + 1;
  const std::vector<uint32_t> tasks(job.waiting.begin(), job.waiting.end());
  for (size_t i = 0; i < tasks.size(); ++i)
    lifecycle_.propose(job, tasks[i], number, machines_[best[i]], starved(job, now), now);
  budget -= static_cast<int>(tasks.size());
  job.last_start = now;
  return true;
}

// Free places that do not suffice for a gang yet are kept for it in this round, in the zone that
// has most of them: of the few that come free at a time, it would never see enough at once. The
// most urgent gang comes first in every round, so it always gets on.
void Scheduler::claim(const Job& job, const std::vector<Place>& free, double now) {
  const double waited = now - std::max(job.seen_at, job.last_start);
  const bool late = starved(job, now);
  if (waited < (job.has_start_promise ? kStartPromiseClaimAfter : kSetAsideAfter) && !late) return;
  if (!late && job.tasks() * job.share > kClaimMost * static_cast<double>(ready_)) return;
  std::map<Index, uint32_t> slots;
  for (const Place& p : free)
    slots[job.spec.single_zone ? machines_[p.machine].zone : 0] += p.slots;
  const auto most = std::max_element(
      slots.begin(), slots.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
  if (most == slots.end()) return;
  uint32_t left = job.tasks();
  for (const Place& p : free) {
    Machine& m = machines_[p.machine];
    if (job.spec.single_zone && m.zone != most->first) continue;
    for (uint32_t k = 0; k < p.slots && left > 0; ++k, --left) {
      m.used += job.spec.per_task;
      claims_.emplace_back(p.machine, job.spec.per_task);
    }
  }
}

bool Scheduler::may_stop(const Job& job, const Job& victim) const {
  if (victim.spec.priority < job.spec.priority) return true;
  if (victim.team == job.team || !job.guaranteed) return false;
  return team_usage_.exceeds_guarantee(victim.team);
}

// Whether there is too little room for a task of the job of something that the victim holds.
bool Scheduler::lacks_what_it_takes(const Job& job, const Resources& room, const Job& victim) {
  const Resources& wanted = job.spec.per_task;
  const Resources& held = victim.spec.per_task;
  return (held.cpus > 0 && wanted.cpus > room.cpus) || (held.gpus > 0 && wanted.gpus > room.gpus) ||
         (held.memory_gb > 0 && wanted.memory_gb > room.memory_gb);
}

// Where room for one task of the job could be made, where the least work is lost by it first.
std::vector<Scheduler::Eviction> Scheduler::evictions(const Job& job, double now) {
  std::vector<Eviction> out;
  struct Victim {
    double cost;
    Index job;
    uint32_t task;
  };
  std::vector<Victim> victims;
  for (const auto& mp : machines_) {
    const Machine& m = *mp;
    if (m.state != MachineState::ready || !eligibility_.takes_work(m, now) ||
        !eligibility_.may_run(job, m, now))
      continue;
    if (m.reserved_for != kNone || !eligibility_.zone_allows(job, m.zone, 1)) continue;
    ++work_.machines_looked_at;
    Resources room = eligibility_.free_resources(m);
    victims.clear();
    for (const auto& [j, t] : m.tasks) {
      const Job& v = jobs_[j];
      const Attempt& a = v.attempts.at(t);
      if (a.stop) {
        room += v.spec.per_task;  // it is leaving anyway
        continue;
      }
      if (a.state == AttemptState::proposed || a.shielded || v.is_gang() || !may_stop(job, v))
        continue;
      if (v.is_service() && !lacks_what_it_takes(job, room, v)) continue;
      double lost = 0;
      if (v.is_service())
        lost = kReplicaCost;
      else if (a.state == AttemptState::running)
        lost = v.spec.checkpoint_interval_s > 0 ? 1 + v.spec.checkpoint_duration_s
                                                : 5 + now - a.running_since;
      victims.push_back({lost, j, t});
    }
    std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
      return std::tie(a.cost, a.job, a.task) < std::tie(b.cost, b.job, b.task);
    });
    Eviction e{0, m.index, {}};
    for (const Victim& v : victims) {
      if (job.spec.per_task.fits_in(room)) break;
      room += jobs_[v.job].spec.per_task;
      e.cost += v.cost;
      e.victims.emplace_back(v.job, v.task);
    }
    if (!job.spec.per_task.fits_in(room)) continue;
    if (!m.images.count(job.image))
      e.cost += kFetchCost * catalog_.types[m.type].fetch_time_s(job.spec.image_gb);
    out.push_back(std::move(e));
  }
  std::sort(out.begin(), out.end(), [](const Eviction& a, const Eviction& b) {
    return std::tie(a.cost, a.machine) < std::tie(b.cost, b.machine);
  });
  return out;
}

// Makes room for the job's tasks: for a gang for all or for none.
void Scheduler::preempt_for(Job& job, double now, bool warm_only) {
  // Room that is being made already is not made twice.
  uint32_t pending = 0;
  for (const auto& m : machines_)
    if (m->reserved_for == job.id && now < m->reserved_until) ++pending;
  const uint32_t wanted = static_cast<uint32_t>(
      job.is_gang() ? job.waiting.size() : std::min<size_t>(job.waiting.size(), 8));
  if (pending >= wanted || !team_usage_.within_limit(job.team, job.spec.per_task, 1)) return;
  const uint32_t more = wanted - pending;
  if (std::any_of(hopeless_.begin(), hopeless_.end(), [&](const Hopeless& h) {
        return h.priority == job.spec.priority && !job.guaranteed && h.zone == job.zone &&
               h.spot == job.spec.spot && h.single_zone == job.spec.single_zone &&
               h.types == job.types && more >= h.more && h.share <= job.share + 1e-9;
      }))
    return;
  std::vector<Eviction> all = evictions(job, now);
  if (warm_only)
    std::erase_if(all, [&](const Eviction& e) { return !warm(job, machines_[e.machine]); });
  if (job.spec.single_zone && job.is_gang() && job.attempts.empty()) {
    std::map<Index, uint32_t> found;
    Index zone = kNone;
    for (const Eviction& e : all)  // cheapest first: the first zone that has enough
      if (++found[machines_[e.machine].zone] == more) {
        zone = machines_[e.machine].zone;
        break;
      }
    std::erase_if(all, [&](const Eviction& e) { return machines_[e.machine].zone != zone; });
  }
  if (all.empty() || (job.is_gang() && all.size() < more)) {
    if (warm_only) return;
    hopeless_.push_back({job.spec.priority, job.zone, job.types, job.spec.spot,
                         job.spec.single_zone, job.is_gang() ? more : 1, job.share});
    return;
  }
  for (size_t k = 0; k < std::min<size_t>(more, all.size()); ++k) {
    Machine& m = machines_[all[k].machine];
    m.reserved_for = job.id;
    m.reserved_until = now + kReserve;
    for (const auto& [j, t] : all[k].victims) {
      Job& v = jobs_[j];
      lifecycle_.stop(
          v, v.attempts.at(t),
          v.spec.checkpoint_interval_s > 0 ? v.spec.checkpoint_duration_s + kGraceMargin : 0);
    }
    if (!all[k].victims.empty())
      spdlog::info("job {}: {} tasks on {} stopped to make room", job.spec.id,
                   all[k].victims.size(), m.name);
  }
}

// When room for one task of the job will come of itself, by the owners' estimates.
double Scheduler::frees_at(const Job& job, const Machine& m, double now) const {
  Resources room = eligibility_.free_resources(m);
  if (job.spec.per_task.fits_in(room)) return now;
  std::vector<std::pair<double, const Job*>> ends;
  for (const auto& [j, t] : m.tasks) {
    const Job& other = jobs_[j];
    const Attempt& a = other.attempts.at(t);
    if (other.is_service() && !a.stop) continue;  // it does not end of itself
    const double since = a.state == AttemptState::running ? a.running_since : now;
    ends.emplace_back(a.stop ? now : std::max(since + other.spec.expected_runtime_s, now + 3),
                      &other);
  }
  std::sort(ends.begin(), ends.end());
  for (const auto& [at, other] : ends) {
    room += other->spec.per_task;
    if (job.spec.per_task.fits_in(room)) return at;
  }
  return 1e18;
}

// Keeps machines together for a job that has waited: nothing else is begun on them, nothing of
// equal or higher priority is stopped. The most urgent jobs come first, so the first one always
// gets on.
void Scheduler::reserve_machines(Job& job, double now) {
  if (now - std::max(job.seen_at, job.last_start) < kSetAsideAfter) return;
  if (!job.is_gang() && job.share < kSetAsideSize) return;
  if (job.is_gang() && !job.attempts.empty()) return;
  const size_t wanted = job.is_gang() ? job.waiting.size() : 1;
  size_t have = 0;
  for (auto& m : machines_)
    if (m->reserved_for == job.id && eligibility_.takes_work(*m, now)) {
      m->reserved_until = std::max(m->reserved_until, now + kSetAsideFor);
      ++have;
    }
  aside_ += have;
  if (have >= wanted || now < job.reserve_retry_at) return;
  if (aside_ + wanted - have >
          std::max<size_t>(2, static_cast<size_t>(kSetAsideMost * static_cast<double>(ready_))) &&
      aside_ > 0)
    return;
  job.reserve_retry_at = now + 1;
  std::vector<std::pair<double, Index>> all;
  for (const auto& m : machines_) {
    if (m->state != MachineState::ready || !eligibility_.takes_work(*m, now) ||
        !eligibility_.may_run(job, *m, now))
      continue;
    if (m->reserved_for != kNone || !eligibility_.zone_allows(job, m->zone, 1)) continue;
    ++work_.machines_looked_at;
    if (const double at = frees_at(job, *m, now); at < 1e18) all.emplace_back(at, m->index);
  }
  std::sort(all.begin(), all.end());
  if (job.spec.single_zone && job.is_gang()) {
    std::map<Index, size_t> found;
    for (const auto& m : machines_)
      if (m->reserved_for == job.id) ++found[m->zone];
    Index zone = found.empty() ? kNone : found.begin()->first;
    for (size_t k = 0; zone == kNone && k < all.size(); ++k)
      if (++found[machines_[all[k].second].zone] == wanted) zone = machines_[all[k].second].zone;
    std::erase_if(all, [&](const auto& e) { return machines_[e.second].zone != zone; });
  }
  if (all.size() < wanted - have) return;
  for (size_t k = 0; k < wanted - have; ++k) {
    Machine& m = machines_[all[k].second];
    m.reserved_for = job.id;
    m.reserved_until = now + kSetAsideFor;
    ++aside_;
    spdlog::debug("machine {} is set aside for job {}", m.name, job.spec.id);
  }
}

void Scheduler::place(double now) {
  sort_jobs(now);
  int budget = kBatch + static_cast<int>(backlog() / 8);
  aside_ = 0;
  ready_ = 0;
  for (auto& m : machines_) {
    if (m->state == MachineState::ready) ++ready_;
    if (m->reserved_for == kNone) continue;
    const Job* job = jobs_.find(m->reserved_for);
    if (now >= m->reserved_until || !job || job->waiting.empty()) m->reserved_for = kNone;
  }
  gather_open(now);
  hopeless_.clear();
  const bool preempt = now >= preempt_at_;
  if (preempt) preempt_at_ = now + kPreemptEvery;
  // Arrays go where their image is first, whichever of the most urgent ones that helps: a fetch
  // takes as long as many of their tasks run. Within bounds of age, and never before higher ranks.
  const Job* first = nullptr;
  int looked = 0;
  for (Index i : order_) {
    if (budget <= 0) break;
    Job& job = jobs_[i];
    ++work_.jobs_looked_at;
    if (job.is_gang() || job.has_start_promise || starved(job, now)) {
      if (first) continue;  // after arrays that go before it
      place_job(job, now, budget, preempt);
      continue;
    }
    if (!first) first = &job;
    if (job.spec.priority != first->spec.priority || job.guaranteed != first->guaranteed ||
        job.urgency > first->urgency + kWarmWindow || ++looked > kWarmJobs)
      break;
    place_array(job, now, budget, true);
  }
  bool after = false;
  for (Index i : order_) {
    if (budget <= 0) break;
    Job& job = jobs_[i];
    after = after || &job == first;
    if (after && !job.waiting.empty()) place_job(job, now, budget, preempt);
  }
  for (const auto& [m, per_task] : claims_) machines_[m].used -= per_task;
  claims_.clear();
}

void Scheduler::place_job(Job& job, double now, int& budget, bool preempt) {
  ++work_.jobs_looked_at;
  const bool warm_only = needs_warm(job, now);
  const bool placed = job.is_gang()      ? place_gang(job, now, budget, warm_only)
                      : job.is_service() ? place_service(job, now, budget)
                                         : place_array(job, now, budget, warm_only);
  if (placed || !preempt) return;
  preempt_for(job, now, warm_only);
  if (!warm_only) reserve_machines(job, now);
}

}  // namespace rookdyke
