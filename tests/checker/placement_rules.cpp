#include "checker/placement_rules.h"

namespace rookdyke::test {

namespace {

void check_runs_once(const Start& start, const std::string& name, const JobObservation& job,
                     Violations& violations) {
  auto places = job.on.find(start.task);
  if (places == job.on.end()) return;
  for (const auto& [machine, place] : places->second)
    if (machine != start.at.machine)
      violations.add(start.now, "ran_twice",
                     std::string(name).append(" on ").append(machine).append(" and ").append(
                         start.at.machine));
}

// A command in flight when the user was told may still start its task; none may be given out later.
// The time of the command itself is known here, so no allowance for the network is needed.
void check_not_cancelled(const Start& start, const std::string& name, const JobObservation& job,
                         double cancel_s, Violations& violations) {
  if (job.cancelled_at < 0) return;
  if (start.now > job.cancelled_at + cancel_s)
    violations.add(start.now, "ran_cancelled", name + " starts");
  if (start.ordered_at > job.cancelled_at)
    violations.add(start.now, "started_cancelled",
                   name + " ordered at " + std::to_string(start.ordered_at) + ", cancelled at " +
                       std::to_string(job.cancelled_at));
}

// Whether the machine is one of those that the job may use, by itself.
bool may_use(const JobSpec& spec, const Place& at) {
  return (!at.spot || spec.spot) && (spec.zone.empty() || spec.zone == at.zone) &&
         allows_type(spec.types, at.type);
}

// Whether the zone is right beside those of the other tasks.
bool is_right_zone(const Start& start, const JobObservation& job) {
  const JobSpec& spec = job.spec;
  uint32_t in_zone = 1;
  bool elsewhere = false;
  for (const auto& [task, places] : job.on) {
    if (task == start.task) continue;
    for (const auto& [machine, place] : places) {
      if (place.zone == start.at.zone)
        ++in_zone;
      else
        elsewhere = true;
    }
  }
  if (spec.single_zone && elsewhere) return false;
  return !spec.spread_zones || in_zone <= (spec.tasks + 1) / 2;
}

Resources used_by(const TeamQuota& team, const JobObservations& jobs) {
  Resources used;
  for (const auto& [id, job] : jobs) {
    if (job.spec.team != team.name) continue;
    for (const auto& [task, places] : job.on)
      used += job.spec.per_task.scaled(static_cast<double>(places.size()));
  }
  return used;
}

void check_quota(const Start& start, const std::string& name, const JobSpec& spec,
                 const JobObservations& jobs, const Deployment& deployment,
                 Violations& violations) {
  for (const TeamQuota& team : deployment.teams) {
    if (team.name != spec.team || (team.cpus_max <= 0 && team.gpus_max <= 0)) continue;
    if (!is_within_quota(team, used_by(team, jobs)))
      violations.add(start.now, "quota", team.name + " with " + name);
  }
}

}  // namespace

void check_start(const Start& start, const std::string& id, JobObservations& jobs,
                 const Deployment& deployment, Violations& violations) {
  JobObservation& job = jobs[id];
  if (job.begun_at < 0) job.begun_at = start.now;
  const std::string name = id + "/" + std::to_string(start.task);
  check_runs_once(start, name, job, violations);
  check_not_cancelled(start, name, job, deployment.cancel_s, violations);
  if (!may_use(job.spec, start.at) || !is_right_zone(start, job))
    violations.add(start.now, "wrong_place",
                   name + " on " + start.at.machine + " in " + start.at.zone);
  job.on[start.task][start.at.machine] = start.at;
  check_quota(start, name, job.spec, jobs, deployment, violations);
}

void check_cancelled_jobs(double now, const JobObservations& jobs, const Deployment& deployment,
                          Violations& violations) {
  for (const auto& [id, job] : jobs) {
    if (job.cancelled_at < 0 || now <= job.cancelled_at + deployment.cancel_s) continue;
    for (const auto& [task, places] : job.on) {
      if (places.empty()) continue;
      violations.add(now, "ran_cancelled",
                     id + "/" + std::to_string(task) + " is still on a machine");
      return;
    }
  }
}

}  // namespace rookdyke::test
