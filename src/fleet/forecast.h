#pragma once
// The design's sizing rule for one machine type: forecast demand one boot ahead by its recent
// trend, add a high percentile of past positive misses, divide by the safe part of a machine;
// the largest ratio over the resources is the target (docs/design.md).

#include <deque>

#include "model/settings.h"
#include "model/types.h"

namespace rookdyke {

class Forecast {
 public:
  Forecast(const Tuning& tuning, double boot_s) : tuning_(tuning), ahead_(boot_s) {}

  // Takes one demand sample; call every tuning.sample_s.
  void sample(double now, const Resources& demand);

  // Demand expected one boot ahead.
  Resources ahead() const { return next_; }
  // The miss tail per resource.
  Resources spare() const;
  bool has_history() const { return !misses_.empty(); }

  // Machines of this size wanted; the start value holds until a forecast has come due.
  double target(const Resources& size) const;

 private:
  struct Point {
    double at;
    Resources value;
  };
  Resources trend(double now) const;

  Tuning tuning_;
  double ahead_;
  std::deque<Point> recent_;      // demand samples within the trend window
  std::deque<Point> pending_;     // forecasts that have not come due
  std::deque<Resources> misses_;  // actual minus forecast, positive part, newest last
  Resources next_;
};

}  // namespace rookdyke
