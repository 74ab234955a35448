#pragma once
// The resources that each team's tasks use, compared with the team's guarantee and limit. A task
// counts from its proposal until it is proven to have left its machine, so that the sum never
// exceeds a limit even if messages are lost or late.

#include <cstdint>
#include <vector>

#include "model/settings.h"
#include "model/types.h"
#include "scheduler/catalog.h"

namespace rookdyke {

class TeamUsage {
 public:
  // `settings` must outlive this object, and its teams must not change.
  TeamUsage(const Settings& settings, const Catalog& catalog);

  // Adds or removes the resources of one task. `team` is an index of Catalog::teams.
  void add(Index team, const Resources& task);
  void remove(Index team, const Resources& task);

  // Whether `count` more tasks of size `per_task` stay within the team's limit. Always false for
  // teams that are not in the settings.
  bool within_limit(Index team, const Resources& per_task, uint32_t count) const;
  // Whether the team uses more than its guarantee. Always false for teams that are not in the
  // settings.
  bool exceeds_guarantee(Index team) const;

 private:
  const TeamQuota* quota(Index team) const;
  Resources used(Index team) const { return team < used_.size() ? used_[team] : Resources{}; }

  std::vector<const TeamQuota*> quotas_;  // by team index; null for teams not in the settings
  std::vector<Resources> used_;           // by team index
};

}  // namespace rookdyke
