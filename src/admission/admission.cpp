#include "admission/admission.h"

#include <algorithm>
#include <set>

namespace rookdyke {

namespace {

constexpr double kRoundingSlack = 1e-9;  // as in TeamUsage

bool contains(const std::vector<std::string>& list, const std::string& name) {
  return std::find(list.begin(), list.end(), name) != list.end();
}

bool over_limit(const JobSpec& job, const TeamQuota& team) {
  // Tasks of an array may run one after another; those of a gang or service run at the same time.
  const double n = job.shape == JobShape::array ? 1 : job.tasks;
  return (team.cpus_max > 0 && job.per_task.cpus * n > team.cpus_max + kRoundingSlack) ||
         (team.gpus_max > 0 && job.per_task.gpus * n > team.gpus_max + kRoundingSlack);
}

}  // namespace

std::optional<std::string> rejection_reason(const JobSpec& job,
                                            const std::vector<MachineType>& types,
                                            const std::vector<TeamQuota>& teams,
                                            const std::vector<std::string>& zones) {
  const auto team = std::find_if(teams.begin(), teams.end(),
                                 [&](const TeamQuota& t) { return t.name == job.team; });
  if (team == teams.end()) return "unknown team";

  // zones_unknown: neither the settings nor a fitting type name the zones in which it is offered.
  bool any_type_fits = false, zones_unknown = false;
  std::set<std::string> offered;  // zones that offer a machine type that fits a task
  for (const MachineType& t : types) {
    if (!job.types.empty() && !contains(job.types, t.name)) continue;
    if (!job.per_task.fits_in(t.size)) continue;
    any_type_fits = true;
    const auto& type_zones = t.zones.empty() ? zones : t.zones;
    offered.insert(type_zones.begin(), type_zones.end());
    zones_unknown = zones_unknown || type_zones.empty();
  }
  if (!any_type_fits) return "no allowed machine type holds a task";
  if (!job.zone.empty()) {
    if (!zones_unknown && !offered.count(job.zone))
      return "no allowed machine type that holds a task is in its zone";
    offered = {job.zone};
    zones_unknown = false;
  }
  if (over_limit(job, *team)) return "more than the team's limit";

  // A spread gang ("scatter" in the request) runs all its tasks at the same time, at most half of
  // them, rounded up, in one zone, so that it needs two zones. A spread array may run task by task
  // in one zone.
  if (job.shape == JobShape::gang && job.spread_zones && job.tasks > 1) {
    if (job.single_zone) return "a gang cannot be both scattered and in one zone";
    if (!zones_unknown && offered.size() < 2)
      return "a gang cannot be scattered over a single zone";
  }
  return std::nullopt;
}

}  // namespace rookdyke
