// Service jobs: replicas that run until their job is cancelled, and come back wherever one falls.

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "scheduler/scheduler.h"

namespace rookdyke {

namespace {

// In seconds of image fetch: how much rather a replica takes a machine, or a zone, that holds one
// fewer of its service. More than half a usual fetch, so that few share a machine without need;
// less than a whole one, so that two of them rather share one that has the image.
constexpr double kApartMachines = 1.2;
constexpr double kApartZones = 0.2;
// In seconds of image fetch: how much rather a replica takes a machine that is not recalled.
constexpr double kOrdinaryPreference = 20;
// A replica that ran for this long shows that neither its job nor its machine is faulty; one that
// ended sooner waits ever longer for its next start.
constexpr double kProvenAfter = 10;
constexpr double kFirstBackOff = 1;
constexpr double kLongestBackOff = 60;
// Of a service's replicas, the share that may be missing for a move; one in any case.
constexpr double kMostMoving = 0.25;
// A recall leaves no time to move replicas one after the other if it comes this soon.
constexpr double kShortNoticeHeartbeats = 1.5;  // report intervals

}  // namespace

double Scheduler::replica_score(const Job& job, const Place& place,
                                const ReplicaCounts& counts) const {
  const Machine& m = *machines_[place.machine];
  double s = place.score;
  if (m.spot) s += kOrdinaryPreference;
  if (auto n = counts.by_machine.find(m.index); n != counts.by_machine.end())
    s += kApartMachines * n->second;
  if (auto n = counts.by_zone.find(m.zone); n != counts.by_zone.end() && !job.spec.single_zone)
    s += kApartZones * n->second;
  return s;
}

// Each replica goes where it starts soonest and is apart from the others. False: machines are
// lacking.
bool Scheduler::place_service(Job& job, double now, int& limiter) {
  if (!within_limit(job, 1)) return true;  // its own limit, not the machines, holds it back
  if (known_full(job, 1)) return false;
  ReplicaCounts counts;
  bool starting = false;
  for (const auto& [t, a] : job.attempts) {
    if (a.state == AttemptState::ended) continue;
    ++counts.by_machine[a.machine];
    ++counts.by_zone[machines_[a.machine]->zone];
    starting = starting || a.state < AttemptState::running;
  }
  // One that fails wherever it is started is tried with one replica at a time.
  uint32_t most = UINT32_MAX;
  if (faulty(job)) most = starting ? 0 : 1;
  std::vector<Place> candidates = places(job, now);
  while (!job.waiting.empty() && limiter > 0 && most > 0 && within_limit(job, 1)) {
    Place* best = nullptr;
    double best_score = 0;
    for (Place& p : candidates) {
      if (best && p.score >= best_score) break;  // in order of score, and nothing lowers it
      if (p.slots == 0 || !zone_allows(job, machines_[p.machine]->zone, 1)) continue;
      const double s = replica_score(job, p, counts);
      if (best && s >= best_score) continue;
      best = &p;
      best_score = s;
    }
    if (!best) return false;
    propose(job, *job.waiting.begin(), job.highest_attempt + 1, best->machine, now);
    --best->slots;
    --limiter;
    --most;
    ++counts.by_machine[best->machine];
    ++counts.by_zone[machines_[best->machine]->zone];
    job.last_start = now;
  }
  return true;
}

// A replica has ended without our word: it runs again, later if it ends at once each time.
void Scheduler::back_off_replica(Job& job, const Attempt& a, double now) {
  const bool ran = a.running_since > 0 && now - a.running_since > kProvenAfter;
  if (ran || a.cause == ExitCause::error) return;  // errors are judged with their machine
  ++job.errors;
  const double wait =
      std::min(kLongestBackOff, kFirstBackOff * std::exp2(std::min(job.errors, 6u)));
  job.not_before = std::max(job.not_before, now + wait);
}

// A replica never exits with success: that it runs on for a while takes its place.
void Scheduler::note_replica_runs(Machine& m, Job& job, Attempt& a, double now) {
  if (a.proven || a.state != AttemptState::running || now - a.running_since < kProvenAfter) return;
  a.proven = true;
  job.failed_machines.clear();
  job.errors = 0;
  m.failed_jobs.clear();
  m.suspect_until = 0;
}

uint32_t Scheduler::missing_replicas(const Job& job) const {
  auto missing = static_cast<uint32_t>(job.waiting.size());
  for (const auto& [t, a] : job.attempts)
    missing += a.stop || a.state == AttemptState::ended || a.state < AttemptState::running;
  return missing;
}

bool Scheduler::may_move_replica(const Job& job) const {
  const double most = std::max(1.0, kMostMoving * job.tasks());
  return missing_replicas(job) + 1 <= static_cast<uint32_t>(most);
}

// Whether one of its replicas could start at once on another machine; better one with its image.
bool Scheduler::has_other_place(const Job& job, const Machine& from, double now) const {
  return std::any_of(machines_.begin(), machines_.end(), [&](const auto& m) {
    if (m->index == from.index || m->state != MachineState::ready || !takes_work(*m, now))
      return false;
    return may_run(job, *m, now) && job.spec.per_task.fits_in(free_on(*m)) &&
           (m->zone == from.zone || zone_allows(job, m->zone, 1));
  });
}

bool Scheduler::holds_replicas(const Machine& m) const {
  return std::any_of(m.tasks.begin(), m.tasks.end(),
                     [this](const auto& t) { return jobs_[t.first]->is_service(); });
}

bool Scheduler::holds_replicas_alone(const Machine& m) const {
  return !m.tasks.empty() && std::all_of(m.tasks.begin(), m.tasks.end(), [this](const auto& t) {
    return jobs_[t.first]->is_service();
  });
}

// The machine is to go: its replicas run again elsewhere, few of a service at once.
void Scheduler::move_replicas(Machine& m, double now) {
  for (const auto& [j, t] : m.tasks) {
    Job& job = *jobs_[j];
    Attempt& a = job.attempts.at(t);
    if (!job.is_service() || a.stop || a.state == AttemptState::proposed) continue;
    if (!may_move_replica(job) || !has_other_place(job, m, now)) continue;
    stop_attempt(job, a, 0);
  }
}

// The machine is recalled: what runs there ends anyway.
void Scheduler::recall_replica(Job& job, Attempt& a, double notice_s) {
  const bool short_notice = notice_s < kShortNoticeHeartbeats * settings_.heartbeat_interval_s;
  if (short_notice || may_move_replica(job)) stop_attempt(job, a, 0);
}

}  // namespace rookdyke
