#include "admission/admission.h"

#include <algorithm>
#include <set>

namespace rookdyke {

namespace {

constexpr double kSlack = 1e-9;  // as the scheduler's own check of the limits has it

bool has(const std::vector<std::string>& list, const std::string& name) {
  return std::find(list.begin(), list.end(), name) != list.end();
}

bool over_limit(const JobSpec& job, const TeamQuota& team) {
  // The tasks of an array may run one after the other, those of a gang or service only all at once.
  const double n = job.shape == JobShape::array ? 1 : job.tasks;
  return (team.cpus_max > 0 && job.per_task.cpus * n > team.cpus_max + kSlack) ||
         (team.gpus_max > 0 && job.per_task.gpus * n > team.gpus_max + kSlack);
}

}  // namespace

std::optional<std::string> never_runs(const JobSpec& job, const std::vector<MachineType>& types,
                                      const std::vector<TeamQuota>& teams,
                                      const std::vector<std::string>& zones) {
  const auto team = std::find_if(teams.begin(), teams.end(),
                                 [&](const TeamQuota& t) { return t.name == job.team; });
  if (team == teams.end()) return "unknown team";

  bool fits_in = false, anywhere = false;  // anywhere: nobody can tell in which zones
  std::set<std::string> offered;  // zones in which a machine that holds a task may be rented
  for (const MachineType& t : types) {
    if (!job.types.empty() && !has(job.types, t.name)) continue;
    if (!job.per_task.fits_in(t.size)) continue;
    fits_in = true;
    const auto& in = t.zones.empty() ? zones : t.zones;
    offered.insert(in.begin(), in.end());
    anywhere = anywhere || in.empty();
  }
  if (!fits_in) return "no allowed machine type holds a task";
  if (!job.zone.empty()) {
    if (!anywhere && !offered.count(job.zone))
      return "no allowed machine type that holds a task is in its zone";
    offered = {job.zone};
    anywhere = false;
  }
  if (over_limit(job, *team)) return "more than the team's limit";

  // At most half of a gang, rounded up, may be in one zone, and all of it runs at once: two zones
  // at least. An array may still run task by task.
  if (job.shape == JobShape::gang && job.spread_zones && job.tasks > 1) {
    if (job.single_zone) return "a gang cannot be both scattered and in one zone";
    if (!anywhere && offered.size() < 2) return "a gang cannot be scattered over a single zone";
  }
  return std::nullopt;
}

}  // namespace rookdyke
