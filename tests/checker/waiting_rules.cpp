#include "checker/waiting_rules.h"

#include <algorithm>

namespace rookdyke::test {

namespace {
// Seconds. After all troubles, no job waits for this long while there is room for it.
constexpr double kWaits = 90;
// After all troubles, no replica of a service is missing for this long while there is room for it.
constexpr double kMissing = 75;

// The least that a job needs to go on: one task of an array or service, all of a gang.
uint32_t least_tasks(const JobSpec& s) { return s.shape == JobShape::gang ? s.tasks : 1; }

bool may_use(const JobSpec& spec, const Room& room) {
  return (!room.spot || spec.spot) && (spec.zone.empty() || spec.zone == room.zone) &&
         allows_type(spec.types, room.type);
}

// The tasks of a job are equal, so counting what each machine takes is exact.
bool finds_room(const JobSpec& spec, const std::vector<Room>& rooms) {
  std::map<std::string, uint32_t> by_zone;
  for (const Room& room : rooms) {
    if (!may_use(spec, room)) continue;
    Resources left = room.free;
    uint32_t& n = by_zone[room.zone];
    for (; n < spec.tasks && spec.per_task.fits_in(left); ++n) left -= spec.per_task;
  }
  uint32_t most = 0, all = 0;
  for (const auto& [zone, n] : by_zone) {
    most = std::max(most, n);
    all += spec.spread_zones ? std::min(n, (spec.tasks + 1) / 2) : n;
  }
  return (spec.single_zone ? most : all) >= least_tasks(spec);
}

// Whether a job should have tasks, or more of them, if there is room.
bool wants_tasks(const JobObservation& job, size_t held) {
  if (!job.accepted || job.cancel_asked || job.faulty) return false;
  if (job.done.size() >= job.spec.tasks) return false;
  return job.spec.shape == JobShape::service ? held < job.spec.tasks : held == 0;
}

std::map<std::string, Resources> used_by_team(const std::map<std::string, size_t>& held,
                                              JobObservations& jobs) {
  std::map<std::string, Resources> used;
  for (const auto& [id, tasks] : held) {
    const JobSpec& spec = jobs[id].spec;
    used[spec.team] += spec.per_task.scaled(static_cast<double>(tasks));
  }
  return used;
}

// A service is never done; it is served if its replicas run.
bool is_served(const JobObservation& job) {
  if (job.spec.shape != JobShape::service) return job.done.size() >= job.spec.tasks;
  const auto running = std::count_if(job.on.begin(), job.on.end(),
                                     [](const auto& task) { return !task.second.empty(); });
  return 2 * static_cast<size_t>(running) >= job.spec.tasks;
}

struct Share {
  size_t jobs = 0, served = 0;
  void add(const JobObservation& job) {
    ++jobs;
    served += is_served(job);
  }
};
using Shares = std::map<std::string, Share>;

// Adds the shares of a class's largest jobs; returns which of them did not begin in time.
std::vector<std::string> judge_largest(const std::string& job_class,
                                       const std::vector<const JobObservation*>& jobs,
                                       double begin_within_s, Shares& shares) {
  std::vector<std::string> late;
  uint32_t most = 0;
  for (const JobObservation* job : jobs) most = std::max(most, job->spec.tasks);
  for (const JobObservation* job : jobs) {
    if (job->spec.tasks < most) continue;
    shares["the largest of " + job_class].add(*job);
    if (job->begun_at < 0 || job->begun_at > job->submitted_at + begin_within_s)
      late.push_back(job->spec.id + ", of the largest of " + job_class + ", began at " +
                     std::to_string(job->begun_at));
  }
  return late;
}
}  // namespace

void check_waiting(double now, const std::vector<Room>& rooms,
                   const std::map<std::string, size_t>& held, JobObservations& jobs,
                   const Deployment& deployment, Violations& violations) {
  std::map<std::string, Resources> used = used_by_team(held, jobs);
  for (auto& [id, job] : jobs) {
    const JobSpec& spec = job.spec;
    const TeamQuota* team = deployment.team(spec.team);
    bool waits = team && wants_tasks(job, held.count(id) ? held.at(id) : 0);
    if (waits) {
      Resources with = used[spec.team];
      with += spec.per_task.scaled(least_tasks(spec));
      waits = is_within_quota(*team, with) && finds_room(spec, rooms);
    }
    const double longest = spec.shape == JobShape::service ? kMissing : kWaits;
    if (!waits) {
      job.waits_since = -1;
    } else if (job.waits_since < 0) {
      job.waits_since = now;
    } else if (now - job.waits_since > longest) {
      violations.add(now, "left_waiting", id + " has waited for room that there is");
      job.waits_since = now;
    }
  }
}

std::vector<std::string> unfair_shares(const JobObservations& jobs, double begin_within_s) {
  std::vector<std::string> unfair;
  Shares shares;
  std::map<std::string, std::vector<const JobObservation*>> classes;
  for (const auto& [id, job] : jobs) {
    if (job.spec.id.empty() || job.cancel_asked) continue;
    classes[job.spec.job_class].push_back(&job);
    shares["class " + job.spec.job_class].add(job);
    shares["team " + job.spec.team].add(job);
  }
  for (const auto& [job_class, members] : classes)
    for (std::string& late : judge_largest(job_class, members, begin_within_s, shares))
      unfair.push_back(std::move(late));
  for (const auto& [name, share] : shares)
    if (2 * share.served < share.jobs)
      unfair.push_back(name + ": " + std::to_string(share.served) + " of " +
                       std::to_string(share.jobs) + " done");
  return unfair;
}

}  // namespace rookdyke::test
