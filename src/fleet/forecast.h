#pragma once
// The sizing rule for one machine type (docs/design.md): the demand forecast one boot time ahead
// from its recent trend, plus a high percentile of past misses, divided by the safe fraction of a
// machine. The largest ratio over the resources, rounded up, is the target. A miss is the amount by
// which demand exceeded its forecast; 0 if it did not.

#include <deque>

#include "model/settings.h"
#include "model/types.h"

namespace rookdyke {

class Forecast {
 public:
  Forecast(const Tuning& tuning, double horizon_s) : tuning_(tuning), horizon_s_(horizon_s) {}

  // Adds a demand sample; called every tuning.sample_s.
  void sample(double now, const Resources& demand);

  // Demand forecast for the end of the horizon.
  Resources predicted_demand() const { return predicted_; }
  // The configured percentile of the misses, for each resource.
  Resources spare() const;
  bool has_history() const { return !misses_.empty(); }

  // The number of machines of this size to have. tuning.start_spare is added until the first
  // forecast has come due.
  double target(const Resources& size) const;

 private:
  struct Point {
    double at;
    Resources value;
  };
  // Demand forecast from the trend for the end of the horizon, at least the last sample.
  Resources extrapolate(double now) const;

  Tuning tuning_;
  double horizon_s_;
  std::deque<Point> recent_;      // demand samples within the trend window
  std::deque<Point> pending_;     // forecasts that have not come due
  std::deque<Resources> misses_;  // actual minus forecast demand, at least 0; newest last
  Resources predicted_;
};

}  // namespace rookdyke
