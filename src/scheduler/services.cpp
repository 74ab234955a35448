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

}  // namespace

double Scheduler::replica_score(const Job& job, const Place& place,
                                const ReplicaCounts& counts) const {
  const Machine& m = machines_[place.machine];
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
bool Scheduler::place_service(Job& job, double now, int& budget) {
  if (!team_usage_.within_limit(job.team, job.spec.per_task, 1))
    return true;  // its own limit, not the machines, holds it back
  if (known_full(job, 1)) return false;
  ReplicaCounts counts;
  bool starting = false;
  for (const auto& [t, a] : job.attempts) {
    if (a.state == AttemptState::ended) continue;
    ++counts.by_machine[a.machine];
    ++counts.by_zone[machines_[a.machine].zone];
    starting = starting || a.state < AttemptState::running;
  }
  // One that fails wherever it is started is tried with one replica at a time.
  uint32_t most = UINT32_MAX;
  if (FaultDetector::is_faulty(job)) most = starting ? 0 : 1;
  std::vector<Place> candidates = places(job, now);
  while (!job.waiting.empty() && budget > 0 && most > 0 &&
         team_usage_.within_limit(job.team, job.spec.per_task, 1)) {
    Place* best = nullptr;
    double best_score = 0;
    for (Place& p : candidates) {
      if (best && p.score >= best_score) break;  // in order of score, and nothing lowers it
      if (p.slots == 0 || !eligibility_.zone_allows(job, machines_[p.machine].zone, 1)) continue;
      const double s = replica_score(job, p, counts);
      if (best && s >= best_score) continue;
      best = &p;
      best_score = s;
    }
    if (!best) return false;
    lifecycle_.propose(job, *job.waiting.begin(), job.highest_attempt + 1, machines_[best->machine],
                       starved(job, now), now);
    --best->slots;
    --budget;
    --most;
    ++counts.by_machine[best->machine];
    ++counts.by_zone[machines_[best->machine].zone];
    job.last_start = now;
  }
  return true;
}

}  // namespace rookdyke
