#pragma once
// Divides the changes a second that all replicas together may make in the state service among them,
// by demand. Each controller owns one; the replicas exchange their demands over the mesh, so all
// arrive at about the same division.

#include <map>
#include <string>
#include <vector>

namespace rookdyke::net {

// One replica's own demand, the last reported demand of each peer controller, and this replica's
// share. Pure: all times are arguments, in seconds of a steady clock. Not thread-safe: the owner
// locks.
class WriteShare {
 public:
  // `replicas` counts this one too; `writes_per_s` is the limit for all together.
  WriteShare(std::string label, std::vector<std::string> peers, int replicas, double writes_per_s);

  // This replica asked for `writes` changes since the last call; `backlog`: changes that a leader
  // still has to make, 0 for followers.
  void record_own(double writes, double backlog, double now);
  // This replica's demand in changes a second, to be reported to its peer controllers. It rises at
  // once and falls slowly.
  double own_demand() const { return own_demand_; }
  // A peer controller reported its demand in changes a second. Ignored if the label is no peer
  // controller's.
  void record_peer(const std::string& label, double demand, double now);
  // How many peer controllers reported recently, and so can be reached.
  int reachable_peers(double now) const;

  // The limit for all replicas together has changed to this.
  void set_limit(double writes_per_s) { writes_per_s_ = writes_per_s; }

  // This replica's share of the limit, 0 to 1, if the replica of that label leads (empty: unknown).
  // Followers, which write submissions, get one and a half times their recent demand, up to a
  // maximum that is lower while the leader is busy; the leader gets the rest.
  double share(const std::string& leader, double now) const;

 private:
  struct Demand {
    double writes = 0;  // a second
    double at = -1e9;   // when it was reported
  };
  // A follower's share for that demand, before scaling to the maximum for all followers together.
  double follower_share(double demand) const;
  // A peer controller's last reported demand; 0 if that is too long ago.
  double peer_demand(const std::string& label, double now) const;

  const std::string label_;
  const std::vector<std::string> peers_;
  const int replicas_;
  double writes_per_s_;
  std::map<std::string, Demand> peer_demands_;
  double own_demand_ = 0;
  double own_at_ = 0;
};

}  // namespace rookdyke::net
