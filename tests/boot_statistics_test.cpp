// What recent boots tell of those under way.

#include "fleet/boot_statistics.h"

#include <gtest/gtest.h>

#include <initializer_list>

namespace rookdyke {
namespace {

constexpr double kPublished = 50;
constexpr double kPatience = 3;

BootStatistics with_boots(std::initializer_list<double> times, double now = 100) {
  BootStatistics boots(kPublished, kPatience);
  for (const double took_s : times) boots.record(now, took_s);
  boots.update(now, 0);
  return boots;
}

TEST(BootStatistics, ThePublishedTimeHoldsUntilBootsAreKnown) {
  const BootStatistics boots(kPublished, kPatience);
  EXPECT_DOUBLE_EQ(boots.usual(), 50);
  EXPECT_DOUBLE_EQ(boots.overdue_after(), 90);
  EXPECT_DOUBLE_EQ(boots.late_after(), 90);
  EXPECT_DOUBLE_EQ(boots.lost_after(), 150);
  EXPECT_FALSE(boots.most_are_late());
}

TEST(BootStatistics, TheMedianOfThreeBootsIsTheUsualOne) {
  EXPECT_DOUBLE_EQ(with_boots({140, 150}).usual(), 50) << "two boots show nothing";
  const BootStatistics boots = with_boots({160, 60, 140});
  EXPECT_DOUBLE_EQ(boots.usual(), 140);
  EXPECT_DOUBLE_EQ(boots.late_after(), 1.8 * 140);
  EXPECT_DOUBLE_EQ(boots.overdue_after(), 90) << "that is by the published time";
}

TEST(BootStatistics, QuickBootsDoNotMakeOthersLate) {
  const BootStatistics boots = with_boots({2, 3, 2, 3});
  EXPECT_DOUBLE_EQ(boots.usual(), 50);
  EXPECT_DOUBLE_EQ(boots.late_after(), 90);
}

TEST(BootStatistics, TheLongestBootStretchesPatienceTwofoldAtMost) {
  EXPECT_DOUBLE_EQ(with_boots({120}).lost_after(), 150) << "1.2 times 120 is less";
  EXPECT_DOUBLE_EQ(with_boots({60, 200}).lost_after(), 240);
  EXPECT_DOUBLE_EQ(with_boots({400}).lost_after(), 300);
}

TEST(BootStatistics, BootsAreForgottenAfterTwoMinutes) {
  BootStatistics boots(kPublished, kPatience);
  for (const double at : {10.0, 20.0, 30.0}) boots.record(at, 200);
  boots.update(130, 0);
  EXPECT_DOUBLE_EQ(boots.usual(), 200) << "the first is just not too old";
  boots.update(131, 0);
  EXPECT_DOUBLE_EQ(boots.usual(), 50);
  EXPECT_DOUBLE_EQ(boots.lost_after(), 240) << "two still show how long a boot may take";
  boots.update(151, 0);
  EXPECT_DOUBLE_EQ(boots.lost_after(), 150);
}

TEST(BootStatistics, MostAreLateWhenMoreAreOverdueThanCameUp) {
  BootStatistics boots(kPublished, kPatience);
  boots.update(100, 2);
  EXPECT_FALSE(boots.most_are_late()) << "two show nothing";
  boots.update(100, 3);
  EXPECT_TRUE(boots.most_are_late());
  for (int i = 0; i < 3; ++i) boots.record(101, 60);
  boots.update(101, 3);
  EXPECT_FALSE(boots.most_are_late());
  boots.update(101, 4);
  EXPECT_TRUE(boots.most_are_late());
}

}  // namespace
}  // namespace rookdyke
