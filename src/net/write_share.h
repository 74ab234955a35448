#pragma once
// How the changes a second that all replicas together may make are shared out: by demand, which the
// replicas tell one another.

#include <map>
#include <string>
#include <vector>

namespace rookdyke::net {

// One replica's own demand, what its siblings last said of theirs, and the share that follows.
// Pure: told the time in seconds of a steady clock. Not thread-safe: the owner locks.
class WriteShare {
 public:
  // `replicas` counts this one too; `writes_per_s` is the limit for all together.
  WriteShare(std::string label, std::vector<std::string> siblings, int replicas,
             double writes_per_s);

  // This replica asked for `writes` changes since the last call; `backlog`: how many a leader has
  // not yet asked for, 0 for others.
  void record_own(double writes, double backlog, double now);
  // Changes a second that this replica has use for, as it tells its siblings: up at once, down
  // slowly.
  double own_demand() const { return own_demand_; }
  // A sibling said how many changes a second it has use for. Ignored for any other label.
  void record_sibling(const std::string& label, double demand, double now);
  // How many siblings said so lately, so that they can be told things, too.
  int reachable_siblings(double now) const;

  // The limit for all together has become this.
  void set_limit(double writes_per_s) { writes_per_s_ = writes_per_s; }

  // This replica's share of all changes a second, 0 to 1, if that one leads (empty: unknown).
  // Submissions, which the followers write, have what they asked for lately and half as much again,
  // up to a part that depends on whether the leader has much to write; the leader has the rest.
  double share(const std::string& leader, double now) const;

 private:
  struct Demand {
    double writes = 0, at = -1e9;
  };
  // A follower's share for that demand, before all are scaled to what followers may have together.
  double follower_share(double demand) const;
  // What a sibling last said; 0 if that is too long ago.
  double sibling_demand(const std::string& label, double now) const;

  const std::string label_;
  const std::vector<std::string> siblings_;
  const int replicas_;
  double writes_per_s_;
  std::map<std::string, Demand> sibling_demands_;
  double own_demand_ = 0, own_at_ = 0;
};

}  // namespace rookdyke::net
