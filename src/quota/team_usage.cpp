#include "quota/team_usage.h"

namespace rookdyke {

namespace {
constexpr double kRoundingSlack = 1e-9;  // absorbs rounding errors in sums of CPUs or GPUs
}  // namespace

TeamUsage::TeamUsage(const Settings& settings, const Catalog& catalog)
    : quotas_(catalog.teams.size()), used_(catalog.teams.size()) {
  for (const TeamQuota& quota : settings.teams) {
    const TeamQuota*& known = quotas_[catalog.teams.find(quota.name)];
    if (!known) known = &quota;  // the first of several entries with the same name applies
  }
}

void TeamUsage::add(Index team, const Resources& task) {
  if (team >= used_.size()) used_.resize(team + 1);
  used_[team] += task;
}

void TeamUsage::remove(Index team, const Resources& task) { used_[team] -= task; }

const TeamQuota* TeamUsage::quota(Index team) const {
  return team < quotas_.size() ? quotas_[team] : nullptr;
}

bool TeamUsage::within_limit(Index team, const Resources& per_task, uint32_t count) const {
  const TeamQuota* limit = quota(team);
  if (!limit) return false;
  const Resources usage = used(team);
  if (limit->cpus_max > 0 && usage.cpus + per_task.cpus * count > limit->cpus_max + kRoundingSlack)
    return false;
  return limit->gpus_max <= 0 ||
         usage.gpus + per_task.gpus * count <= limit->gpus_max + kRoundingSlack;
}

bool TeamUsage::exceeds_guarantee(Index team) const {
  const TeamQuota* guarantee = quota(team);
  if (!guarantee) return false;
  const Resources usage = used(team);
  return usage.cpus > guarantee->cpus + kRoundingSlack ||
         usage.gpus > guarantee->gpus + kRoundingSlack;
}

}  // namespace rookdyke
