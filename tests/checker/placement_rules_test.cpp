// The rules about what runs where catch what breaks them, and nothing else.

#include "checker/checker_fixtures.h"

namespace rookdyke::test {
namespace {

TEST_F(CheckerTest, RanTwice) {
  checker.starts(1, "wk-000001", 0, at("m1"));
  checker.starts(2, "wk-000001", 0, at("m2"));
  EXPECT_TRUE(checker.is_broken("ran_twice"));
}

TEST_F(CheckerTest, Quota) {
  checker.starts(1, "wk-000001", 0, at("m1"));
  checker.starts(1, "wk-000001", 1, at("m1"));
  EXPECT_FALSE(checker.is_broken("quota"));
  checker.submitted(0, job("wk-000002"));
  checker.starts(1, "wk-000002", 0, at("m1"));
  EXPECT_TRUE(checker.is_broken("quota"));
}

TEST_F(CheckerTest, WrongPlace) {
  checker.starts(1, "wk-000001", 0, at("m1", "a", true));  // not a spot job
  EXPECT_TRUE(checker.is_broken("wrong_place"));
}

TEST_F(CheckerTest, WrongPlaceForTheOthers) {
  JobSpec s = job("wk-000003");
  s.single_zone = true;
  checker.submitted(0, s);
  checker.starts(1, "wk-000003", 0, at("m1", "a"));
  EXPECT_FALSE(checker.is_broken("wrong_place"));
  checker.starts(1, "wk-000003", 1, at("m2", "b"));
  EXPECT_TRUE(checker.is_broken("wrong_place"));
}

TEST_F(CheckerTest, WrongPlaceWhenScattered) {
  JobSpec s = job("wk-000003");
  s.spread_zones = true;
  checker.submitted(0, s);
  checker.starts(1, "wk-000003", 0, at("m1", "a"));
  EXPECT_FALSE(checker.is_broken("wrong_place"));
  checker.starts(1, "wk-000003", 1, at("m2", "a"));
  EXPECT_TRUE(checker.is_broken("wrong_place"));
}

TEST_F(CheckerTest, RanCancelled) {
  checker.starts(1, "wk-000001", 0, at("m1"));
  checker.told(5, "wk-000001", "aborted", true);
  checker.tick(34);
  EXPECT_FALSE(checker.is_broken("ran_cancelled"));
  checker.tick(36);
  EXPECT_TRUE(checker.is_broken("ran_cancelled"));
}

TEST_F(CheckerTest, StartsLongAfterTheCancellation) {
  checker.told(5, "wk-000001", "aborted", true);
  checker.starts(36, "wk-000001", 0, at("m1"));
  EXPECT_TRUE(checker.is_broken("ran_cancelled"));
}

// A command that was in flight when the user was told may still start its task; one that is given
// out later may not.
TEST_F(CheckerTest, StartsCommandedAfterTheCancellation) {
  checker.told(5, "wk-000001", "aborted", true);
  checker.starts(6, "wk-000001", 0, at("m1"), 4.9);
  EXPECT_FALSE(checker.is_broken("started_cancelled"));
  checker.starts(6, "wk-000001", 1, at("m1"), 5.1);
  EXPECT_TRUE(checker.is_broken("started_cancelled"));
  EXPECT_FALSE(checker.is_broken("ran_cancelled"));
}

TEST_F(CheckerTest, StartsCommandedBeforeTheConfirmation) {
  checker.told(5, "wk-000001", "pending", true);
  checker.starts(6, "wk-000001", 0, at("m1"), 5.5);
  EXPECT_FALSE(checker.is_broken("started_cancelled")) << "asked for, not confirmed";
}

// No start may be commanded from the moment on at which the cancellation was confirmed.
TEST_F(CheckerTest, StartsCommandedWhileTheConfirmationIsOnItsWay) {
  checker.told(5, "wk-000001", "aborted", true, {3, 4.5});
  checker.starts(6, "wk-000001", 0, at("m1"), 4.7);
  EXPECT_TRUE(checker.is_broken("started_cancelled"));
}

}  // namespace
}  // namespace rookdyke::test
