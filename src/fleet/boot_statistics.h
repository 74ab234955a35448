#pragma once
// How long the machines of one type have taken to boot recently, and what follows from it: from
// when on a booting machine is late, and from when on it is taken for lost. Pure and
// single-threaded: told the time, like the scheduler.

#include <cstddef>
#include <deque>

namespace rookdyke {

class BootStatistics {
 public:
  // published_s: the type's boot time as the cloud states it.
  // patience: the least age, in published boot times, at which a machine is taken for lost.
  BootStatistics(double published_s, double patience);

  // A machine that was rented took_s seconds ago has come up.
  void record(double now, double took_s);

  // Forgets old boots and works the figures below out anew; called once a round.
  // overdue: how many machines are still booting at an age beyond overdue_after().
  void update(double now, size_t overdue);

  // The age at which a machine would be late if boots took the published time.
  double overdue_after() const;
  // The median of the recent boots, and never less than the published boot time.
  double usual() const { return usual_s_; }
  // From this age on most other machines would be up.
  double late_after() const;
  // From this age on a machine is given up: not just before others of its age come up.
  double lost_after() const;
  // Whether most of the machines that should have come up recently have not.
  bool most_are_late() const { return most_are_late_; }

 private:
  struct Boot {
    double up_at;
    double took_s;
  };

  double published_s_;
  double patience_;
  std::deque<Boot> recent_;  // oldest first
  double usual_s_;
  double longest_s_ = 0;  // 0: no recent boot is known
  bool most_are_late_ = false;
};

}  // namespace rookdyke
