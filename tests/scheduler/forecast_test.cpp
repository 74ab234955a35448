// The demand forecast: its trend, and the spare capacity for demand beyond the forecast.

#include "fleet/forecast.h"

#include <gtest/gtest.h>

#include <array>

namespace rookdyke {
namespace {

TEST(Forecast, BeginsWithOneSpareMachine) {
  Forecast forecast(Tuning{}, 40);
  forecast.sample(0, {});
  EXPECT_DOUBLE_EQ(forecast.target({10, 1, 10}), 1);
}

TEST(Forecast, TheLargestResourceRatioDecides) {
  Tuning tuning;
  tuning.start_spare = 0;
  tuning.safe_fraction = 0.9;
  Forecast forecast(tuning, 40);
  forecast.sample(0, {18, 4, 9});  // relative to 90%: 2 by CPUs, 4.4 by GPUs, 1 by memory
  EXPECT_DOUBLE_EQ(forecast.target({10, 1, 10}), 5);
}

TEST(Forecast, FollowsTheTrendOneBootAhead) {
  Tuning tuning;
  tuning.trend_s = 30;
  Forecast forecast(tuning, 40);
  for (int i = 0; i <= 6; ++i) forecast.sample(5 * i, {10.0 * i, 0, 0});
  EXPECT_NEAR(forecast.predicted_demand().cpus, 60 + 2 * 40, 1e-6);
}

TEST(Forecast, SpareIsAPercentileOfTheRecentMisses) {
  Tuning tuning;
  tuning.trend_s = 0;  // without a trend, the forecast is the last sample
  tuning.percentile = 0.5;
  tuning.history = 4;
  Forecast forecast(tuning, 10);
  const std::array<double, 6> demand = {10, 10, 14, 10, 10, 22};
  for (int i = 0; i < 6; ++i) forecast.sample(5 * i, {demand[i], 0, 0});
  // Forecasts 10, 10, 14, 10 against demand 14, 10, 10, 22: misses 4, 0, 0, 12.
  EXPECT_DOUBLE_EQ(forecast.spare().cpus, 0);
  Forecast continued = forecast;
  continued.sample(30, {30, 0, 0});  // forecast 10, miss 20: the misses kept are 0, 0, 12, 20
  EXPECT_DOUBLE_EQ(continued.spare().cpus, 0);
  continued.sample(35, {30, 0, 0});  // forecast 22, miss 8: the misses kept are 0, 12, 20, 8
  EXPECT_DOUBLE_EQ(continued.spare().cpus, 8);
}

// A very large miss raises the target only for as long as misses are kept, which is one minute.
TEST(Forecast, AGiantMissIsForgottenAfterAMinute) {
  const Tuning tuning;
  Forecast forecast(tuning, 50);
  const Resources machine = {16, 4, 64};
  double last_high_target_at = 0, target_in_burst = 0;
  for (double t = 0; t <= 400; t += tuning.sample_s) {
    const bool burst = t >= 200 && t < 250;
    forecast.sample(t, burst ? Resources{1600, 400, 6400} : Resources{16, 4, 64});
    if (forecast.target(machine) > 2) last_high_target_at = t;
    if (t == 220) target_in_burst = forecast.target(machine);
  }
  EXPECT_LE(last_high_target_at, 250 + tuning.history * tuning.sample_s);
  EXPECT_GE(last_high_target_at, 250);
  EXPECT_GE(target_in_burst, 100);
}

}  // namespace
}  // namespace rookdyke
