#include "net/write_share.h"

#include <algorithm>
#include <utility>

namespace rookdyke::net {

namespace {

constexpr double kAll = 0.95;  // of the limit, all replicas together
// Submissions come one by one: what a replica asked for in the last second says little of the next.
constexpr double kFollowersLeast = 0.2;  // of the limit, all followers together
constexpr double kHeadroom = 1.5;        // a follower's share, by its demand
// What the followers may have together; less while the leader has much to write.
constexpr double kFollowersMost = 0.85;
constexpr double kFollowersMostBesideBusyLeader = 0.6;
constexpr double kBusyLeader = 0.25;  // of the limit
constexpr double kDecay = 0.7;        // of our own demand, from one call to the next
constexpr double kShortestPeriod = 0.2;
constexpr double kDemandFresh = 6;  // what a sibling said of its demand counts this long
constexpr double kReachable = kDemandFresh / 2;
constexpr double kMostDemand = 1e6;  // no more is believed

}  // namespace

WriteShare::WriteShare(std::string label, std::vector<std::string> siblings, int replicas,
                       double writes_per_s)
    : label_(std::move(label)),
      siblings_(std::move(siblings)),
      replicas_(replicas),
      writes_per_s_(std::max(1e-3, writes_per_s)) {}

void WriteShare::record_own(double writes, double backlog, double now) {
  const double period = std::max(kShortestPeriod, now - own_at_);
  own_at_ = now;
  own_demand_ = std::max({writes / period, kDecay * own_demand_, backlog});
}

void WriteShare::record_sibling(const std::string& label, double demand, double now) {
  // Any other label would only take memory.
  if (std::find(siblings_.begin(), siblings_.end(), label) == siblings_.end()) return;
  sibling_demands_[label] = {std::clamp(demand, 0.0, kMostDemand), now};
}

int WriteShare::reachable_siblings(double now) const {
  return static_cast<int>(
      std::count_if(siblings_.begin(), siblings_.end(), [&](const std::string& s) {
        auto it = sibling_demands_.find(s);
        return it != sibling_demands_.end() && now - it->second.at < kReachable;
      }));
}

double WriteShare::share(const std::string& leader, double now) const {
  if (replicas_ <= 1) return kAll;
  double followers = 0, busy = 0;
  const auto count = [&](const std::string& label, double demand) {
    if (label == leader)
      busy = demand / writes_per_s_;
    else
      followers += follower_share(demand);
  };
  count(label_, own_demand_);
  for (const std::string& s : siblings_) count(s, sibling_demand(s, now));
  const double most = busy > kBusyLeader ? kFollowersMostBesideBusyLeader : kFollowersMost;
  const double scale = followers > most ? most / followers : 1;
  return leader == label_ ? kAll - scale * followers : scale * follower_share(own_demand_);
}

double WriteShare::follower_share(double demand) const {
  return kHeadroom * demand / writes_per_s_ + kFollowersLeast / (replicas_ - 1);
}

double WriteShare::sibling_demand(const std::string& label, double now) const {
  auto it = sibling_demands_.find(label);
  return it != sibling_demands_.end() && now - it->second.at < kDemandFresh ? it->second.writes : 0;
}

}  // namespace rookdyke::net
