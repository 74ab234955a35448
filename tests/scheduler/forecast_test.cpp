// The forecast of demand: its trend, and the spare for demand that was not foreseen.

#include "fleet/forecast.h"

#include <gtest/gtest.h>

#include <array>

namespace rookdyke {
namespace {

TEST(Forecast, BeginsWithOneSpareMachine) {
  Forecast f(Tuning{}, 40);
  f.sample(0, {});
  EXPECT_DOUBLE_EQ(f.target({10, 1, 10}), 1);
}

TEST(Forecast, TheLargestResourceRatioDecides) {
  Tuning t;
  t.start_spare = 0;
  t.safe_fraction = 0.9;
  Forecast f(t, 40);
  f.sample(0, {18, 4, 9});  // of 90%: 2 by cpus, 4.4 by gpus, 1 by memory
  EXPECT_DOUBLE_EQ(f.target({10, 1, 10}), 5);
}

TEST(Forecast, FollowsTheTrendOneBootAhead) {
  Tuning t;
  t.trend_s = 30;
  Forecast f(t, 40);
  for (int i = 0; i <= 6; ++i) f.sample(5 * i, {10.0 * i, 0, 0});
  EXPECT_NEAR(f.predicted_demand().cpus, 60 + 2 * 40, 1e-6);
}

TEST(Forecast, KeepsTheTailOfItsPositiveMisses) {
  Tuning t;
  t.trend_s = 0;  // the last sample is the forecast
  t.percentile = 0.5;
  t.history = 4;
  Forecast f(t, 10);
  const std::array<double, 6> demand = {10, 10, 14, 10, 10, 22};
  for (int i = 0; i < 6; ++i) f.sample(5 * i, {demand[i], 0, 0});
  // Forecasts of 10, 10, 14, 10 met 14, 10, 10, 22: misses 4, 0, 0, 12.
  EXPECT_DOUBLE_EQ(f.spare().cpus, 0);
  Forecast g = f;
  g.sample(30, {30, 0, 0});  // forecast 10, miss 20: the kept ones are 0, 0, 12, 20
  EXPECT_DOUBLE_EQ(g.spare().cpus, 0);
  g.sample(35, {30, 0, 0});  // forecast 22, miss 8: 0, 12, 20, 8
  EXPECT_DOUBLE_EQ(g.spare().cpus, 8);
}

// One giant miss counts for as long as misses are kept, a minute, and then holds nothing up.
TEST(Forecast, AGiantMissIsForgottenAfterAMinute) {
  const Tuning tuning;
  Forecast f(tuning, 50);
  const Resources machine = {16, 4, 64};
  double last_high = 0, high = 0;
  for (double t = 0; t <= 400; t += tuning.sample_s) {
    const bool burst = t >= 200 && t < 250;
    f.sample(t, burst ? Resources{1600, 400, 6400} : Resources{16, 4, 64});
    if (f.target(machine) > 2) last_high = t;
    if (t == 220) high = f.target(machine);
  }
  EXPECT_LE(last_high, 250 + tuning.history * tuning.sample_s);
  EXPECT_GE(last_high, 250);
  EXPECT_GE(high, 100);
}

}  // namespace
}  // namespace rookdyke
