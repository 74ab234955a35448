#pragma once
// Recent boot times of the machines of one type, and three thresholds for the age of a booting
// machine: overdue (by the published boot time), late (by the typical boot time), and the boot
// timeout, beyond which the machine is considered lost. Without I/O, clock or locks; callers pass
// the time and serialize access.

#include <cstddef>
#include <deque>

namespace rookdyke {

class BootStatistics {
 public:
  // published_s: the type's boot time as published by the cloud.
  // timeout_factor: the minimum boot timeout, as a multiple of the published boot time.
  BootStatistics(double published_s, double timeout_factor);

  // Records that a machine has booted, boot_s seconds after it was rented.
  void record(double now, double boot_s);

  // Discards expired samples and recomputes the statistics; called once per scheduling round.
  // overdue: the number of machines that are still booting beyond overdue_threshold_s().
  void update(double now, size_t overdue);

  // Machine age beyond which a booting machine is overdue: a multiple of the published boot time.
  double overdue_threshold_s() const;
  // Median of the recent boot times, but at least the published boot time.
  double typical_boot_s() const { return typical_boot_s_; }
  // Machine age beyond which a booting machine is late: the same multiple of the typical boot time.
  // Most machines are up by then.
  double late_threshold_s() const;
  // Machine age beyond which a booting machine is considered lost and returned. It leaves a margin
  // over the longest recent boot, so that a machine is not returned just before it comes up.
  double boot_timeout_s() const;
  // Whether more machines are overdue than have booted recently, and enough to draw a conclusion.
  bool most_are_overdue() const { return most_are_overdue_; }

 private:
  struct Boot {
    double up_at;
    double boot_s;
  };

  double published_s_;
  double timeout_factor_;
  std::deque<Boot> recent_;  // oldest first
  double typical_boot_s_;
  double longest_boot_s_ = 0;  // 0: no recent boots
  bool most_are_overdue_ = false;
};

}  // namespace rookdyke
