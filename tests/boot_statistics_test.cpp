// Thresholds for booting machines, derived from recent boot times.

#include "fleet/boot_statistics.h"

#include <gtest/gtest.h>

#include <initializer_list>

namespace rookdyke {
namespace {

constexpr double kPublishedBootS = 50;
constexpr double kTimeoutFactor = 3;

BootStatistics with_boots(std::initializer_list<double> times, double now = 100) {
  BootStatistics boots(kPublishedBootS, kTimeoutFactor);
  for (const double boot_s : times) boots.record(now, boot_s);
  boots.update(now, 0);
  return boots;
}

TEST(BootStatistics, ThePublishedTimeHoldsUntilBootsAreKnown) {
  const BootStatistics boots(kPublishedBootS, kTimeoutFactor);
  EXPECT_DOUBLE_EQ(boots.typical_boot_s(), 50);
  EXPECT_DOUBLE_EQ(boots.overdue_threshold_s(), 90);
  EXPECT_DOUBLE_EQ(boots.late_threshold_s(), 90);
  EXPECT_DOUBLE_EQ(boots.boot_timeout_s(), 150);
  EXPECT_FALSE(boots.most_are_overdue());
}

TEST(BootStatistics, TheMedianOfThreeBootsIsTheTypicalOne) {
  EXPECT_DOUBLE_EQ(with_boots({140, 150}).typical_boot_s(), 50) << "two boots show nothing";
  const BootStatistics boots = with_boots({160, 60, 140});
  EXPECT_DOUBLE_EQ(boots.typical_boot_s(), 140);
  EXPECT_DOUBLE_EQ(boots.late_threshold_s(), 1.8 * 140);
  EXPECT_DOUBLE_EQ(boots.overdue_threshold_s(), 90) << "that is by the published time";
}

TEST(BootStatistics, QuickBootsDoNotMakeOthersLate) {
  const BootStatistics boots = with_boots({2, 3, 2, 3});
  EXPECT_DOUBLE_EQ(boots.typical_boot_s(), 50);
  EXPECT_DOUBLE_EQ(boots.late_threshold_s(), 90);
}

TEST(BootStatistics, TheLongestBootRaisesTheTimeoutTwofoldAtMost) {
  EXPECT_DOUBLE_EQ(with_boots({120}).boot_timeout_s(), 150) << "1.2 times 120 is less";
  EXPECT_DOUBLE_EQ(with_boots({60, 200}).boot_timeout_s(), 240);
  EXPECT_DOUBLE_EQ(with_boots({400}).boot_timeout_s(), 300);
}

TEST(BootStatistics, BootsAreForgottenAfterTwoMinutes) {
  BootStatistics boots(kPublishedBootS, kTimeoutFactor);
  for (const double at : {10.0, 20.0, 30.0}) boots.record(at, 200);
  boots.update(130, 0);
  EXPECT_DOUBLE_EQ(boots.typical_boot_s(), 200) << "the first is just not too old";
  boots.update(131, 0);
  EXPECT_DOUBLE_EQ(boots.typical_boot_s(), 50);
  EXPECT_DOUBLE_EQ(boots.boot_timeout_s(), 240) << "two still show how long a boot may take";
  boots.update(151, 0);
  EXPECT_DOUBLE_EQ(boots.boot_timeout_s(), 150);
}

TEST(BootStatistics, MostAreOverdueWhenMoreAreOverdueThanBooted) {
  BootStatistics boots(kPublishedBootS, kTimeoutFactor);
  boots.update(100, 2);
  EXPECT_FALSE(boots.most_are_overdue()) << "two show nothing";
  boots.update(100, 3);
  EXPECT_TRUE(boots.most_are_overdue());
  for (int i = 0; i < 3; ++i) boots.record(101, 60);
  boots.update(101, 3);
  EXPECT_FALSE(boots.most_are_overdue());
  boots.update(101, 4);
  EXPECT_TRUE(boots.most_are_overdue());
}

}  // namespace
}  // namespace rookdyke
