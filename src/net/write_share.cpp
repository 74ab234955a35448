#include "net/write_share.h"

#include <algorithm>
#include <utility>

namespace rookdyke::net {

namespace {

// Fractions of the limit of the whole deployment.
constexpr double kUsableFraction = 0.95;
// The minimum share of all followers together. It does not depend on their demand: submissions
// arrive one at a time, so recent demand does not predict the next one.
constexpr double kMinFollowersShare = 0.2;
constexpr double kMaxFollowersShare = 0.85;
constexpr double kMaxFollowersShareWithBusyLeader = 0.6;
constexpr double kBusyLeaderDemand = 0.25;  // a leader with a higher demand is busy

constexpr double kDemandHeadroom = 1.5;  // a follower's share, as a multiple of its demand
constexpr double kDemandDecay = 0.7;     // factor per call of record_own()
constexpr double kMinPeriodS = 0.2;      // for computing a rate from the changes of a period
constexpr double kDemandValidS = 6;      // of a peer controller's reported demand
constexpr double kReachableTimeoutS = kDemandValidS / 2;
constexpr double kMaxDemand = 1e6;  // changes per second; higher reported values are capped

}  // namespace

WriteShare::WriteShare(std::string label, std::vector<std::string> peers, int replicas,
                       double writes_per_s)
    : label_(std::move(label)),
      peers_(std::move(peers)),
      replicas_(replicas),
      writes_per_s_(std::max(1e-3, writes_per_s)) {}

void WriteShare::record_own(double writes, double backlog, double now) {
  const double period = std::max(kMinPeriodS, now - own_recorded_at_);
  own_recorded_at_ = now;
  own_demand_ = std::max({writes / period, kDemandDecay * own_demand_, backlog});
}

void WriteShare::record_peer(const std::string& label, double demand, double now) {
  // Unknown labels are not stored, since they could use an unbounded amount of memory.
  if (std::find(peers_.begin(), peers_.end(), label) == peers_.end()) return;
  peer_demands_[label] = {std::clamp(demand, 0.0, kMaxDemand), now};
}

int WriteShare::reachable_peers(double now) const {
  return static_cast<int>(std::count_if(peers_.begin(), peers_.end(), [&](const std::string& s) {
    auto it = peer_demands_.find(s);
    return it != peer_demands_.end() && now - it->second.reported_at < kReachableTimeoutS;
  }));
}

double WriteShare::share(const std::string& leader, double now) const {
  if (replicas_ <= 1) return kUsableFraction;
  double followers = 0, leader_demand = 0;
  const auto add = [&](const std::string& label, double demand) {
    if (label == leader)
      leader_demand = demand / writes_per_s_;
    else
      followers += follower_share(demand);
  };
  add(label_, own_demand_);
  for (const std::string& peer : peers_) add(peer, peer_demand(peer, now));
  const double max_followers =
      leader_demand > kBusyLeaderDemand ? kMaxFollowersShareWithBusyLeader : kMaxFollowersShare;
  const double scale = followers > max_followers ? max_followers / followers : 1;
  if (leader == label_) return kUsableFraction - scale * followers;
  return scale * follower_share(own_demand_);
}

double WriteShare::follower_share(double demand) const {
  return kDemandHeadroom * demand / writes_per_s_ + kMinFollowersShare / (replicas_ - 1);
}

double WriteShare::peer_demand(const std::string& label, double now) const {
  auto it = peer_demands_.find(label);
  return it != peer_demands_.end() && now - it->second.reported_at < kDemandValidS
             ? it->second.writes_per_s
             : 0;
}

}  // namespace rookdyke::net
