#pragma once
// What each team's tasks use, against its guarantee and its limit. A task counts from the moment it
// is proposed until it is proven off its machine, so that the sum never passes a limit whatever is
// lost or late on the network.

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

  // Teams are indices of the catalog.
  void add(Index team, const Resources& task);
  void remove(Index team, const Resources& task);

  // Whether so many more tasks of that size stay within the team's limit. Of a team that the
  // settings do not know nothing does.
  bool within_limit(Index team, const Resources& per_task, uint32_t count) const;
  // Whether the team borrows: uses more than its guarantee. False for teams that the settings do
  // not know.
  bool exceeds_guarantee(Index team) const;

 private:
  const TeamQuota* quota(Index team) const;
  Resources used(Index team) const { return team < used_.size() ? used_[team] : Resources{}; }

  std::vector<const TeamQuota*> quotas_;  // by team index; of the settings' teams only
  std::vector<Resources> used_;           // by team index
};

}  // namespace rookdyke
