#include "checker/observations.h"

#include <algorithm>

namespace rookdyke::test {

namespace {
constexpr double kRounding = 1e-6;
}

bool Violations::has(const std::string& rule) const {
  return std::any_of(all_.begin(), all_.end(),
                     [&](const std::string& v) { return v.rfind(rule + " ", 0) == 0; });
}

const TeamQuota* Deployment::team(const std::string& name) const {
  auto it =
      std::find_if(teams.begin(), teams.end(), [&](const TeamQuota& t) { return t.name == name; });
  return it == teams.end() ? nullptr : &*it;
}

bool allows_type(const std::vector<std::string>& types, const std::string& type) {
  return types.empty() || std::find(types.begin(), types.end(), type) != types.end();
}

bool is_within_quota(const TeamQuota& team, const Resources& used) {
  return (team.cpus_max <= 0 || used.cpus <= team.cpus_max + kRounding) &&
         (team.gpus_max <= 0 || used.gpus <= team.gpus_max + kRounding);
}

}  // namespace rookdyke::test
