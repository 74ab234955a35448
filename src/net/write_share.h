#pragma once
// Divides the deployment's limit of changes per second in the state service among the controllers
// according to their demand. Each controller owns a WriteShare. The controllers exchange their
// demands, so all of them compute nearly the same shares.

#include <map>
#include <string>
#include <vector>

namespace rookdyke::net {

// Holds this controller's demand and the last reported demand of each peer controller, and computes
// this controller's share. No function reads a clock: times are passed in, in seconds of the steady
// clock. Not thread-safe.
class WriteShare {
 public:
  // `replicas` is the number of controllers including this one; `writes_per_s` is the limit of the
  // whole deployment.
  WriteShare(std::string label, std::vector<std::string> peers, int replicas, double writes_per_s);

  // Records that this controller requested `writes` changes since the previous call. `backlog` is
  // the number of changes that a leader has yet to make; 0 for followers.
  void record_own(double writes, double backlog, double now);
  // This controller's demand in changes per second, to be reported to the peer controllers. It
  // rises at once and decays slowly.
  double own_demand() const { return own_demand_; }
  // Records the demand that a peer controller reported, in changes per second. Ignores unknown
  // labels.
  void record_peer(const std::string& label, double demand, double now);
  // The number of peer controllers that reported recently and are therefore taken to be reachable.
  int reachable_peers(double now) const;

  // Sets the limit of the whole deployment.
  void set_limit(double writes_per_s) { writes_per_s_ = writes_per_s; }

  // Returns this controller's share of the limit, 0 to 1. `leader` is the label of the leader,
  // empty if unknown. Followers, which write submissions, get one and a half times their recent
  // demand and a minimum share, up to a maximum that is lower while the leader is busy; the leader
  // gets the rest.
  double share(const std::string& leader, double now) const;

 private:
  struct Demand {
    double writes_per_s = 0;
    double reported_at = -1e9;  // in seconds of the steady clock
  };
  // A follower's share for the given demand, before scaling to the followers' maximum share.
  double follower_share(double demand) const;
  // A peer controller's last reported demand; 0 if the report is older than kDemandValidS.
  double peer_demand(const std::string& label, double now) const;

  const std::string label_;
  const std::vector<std::string> peers_;
  const int replicas_;
  double writes_per_s_;
  std::map<std::string, Demand> peer_demands_;
  double own_demand_ = 0;
  double own_recorded_at_ = 0;
};

}  // namespace rookdyke::net
