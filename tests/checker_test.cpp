// The rule checker catches each rule when it is broken, and keeps quiet when it is kept.

#include "checker.h"

#include <gtest/gtest.h>

namespace rookdyke::test {
namespace {

JobSpec job(const std::string& id) {
  JobSpec s;
  s.id = id;
  s.team = "t";
  s.tasks = 2;
  s.each = {1, 1, 1};
  return s;
}

class CheckerTest : public testing::Test {
 protected:
  CheckerTest() : checker({{"t", 0, 0, 0, 2}}, 30) { checker.submitted(0, job("wk-000001")); }
  Place at(const std::string& m, const std::string& zone = "a", bool spot = false) {
    return {m, "box", zone, spot};
  }
  Checker checker;
};

TEST_F(CheckerTest, AGoodDayBreaksNothing) {
  checker.told(1, "wk-000001", "pending", false);
  checker.starts(2, "wk-000001", 0, at("m1"));
  checker.starts(2, "wk-000001", 1, at("m1"));
  checker.leaves("wk-000001", 0, "m1");
  checker.starts(5, "wk-000001", 0, at("m2"));
  checker.completed("wk-000001", 0);
  checker.completed("wk-000001", 1);
  checker.leaves("wk-000001", 0, "m2");
  checker.leaves("wk-000001", 1, "m1");
  checker.told(9, "wk-000001", "done", false);
  checker.told(10, "wk-000002", "404", false);
  checker.tick(100);
  EXPECT_TRUE(checker.broken().empty());
}

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
  s.one_zone = true;
  checker.submitted(0, s);
  checker.starts(1, "wk-000003", 0, at("m1", "a"));
  EXPECT_FALSE(checker.is_broken("wrong_place"));
  checker.starts(1, "wk-000003", 1, at("m2", "b"));
  EXPECT_TRUE(checker.is_broken("wrong_place"));
}

TEST_F(CheckerTest, WrongPlaceWhenScattered) {
  JobSpec s = job("wk-000003");
  s.scatter = true;
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

TEST_F(CheckerTest, Forgotten) {
  checker.told(1, "wk-000001", "404", false);  // not accepted yet
  EXPECT_FALSE(checker.is_broken("forgotten"));
  checker.told(2, "wk-000001", "pending", false);
  checker.told(3, "wk-000001", "404", false);
  EXPECT_TRUE(checker.is_broken("forgotten"));
}

TEST_F(CheckerTest, ForgottenBySilence) {
  checker.told(1, "wk-000001", "pending", false);
  for (int t = 5; t < 94; t += 5) checker.poll_failed(t, "wk-000001", true);
  EXPECT_FALSE(checker.is_broken("forgotten"));
  checker.poll_failed(96, "wk-000001", true);
  EXPECT_TRUE(checker.is_broken("forgotten"));
}

// After all troubles 75 s of silence about a job is too much, even if nobody else is answered
// either.
TEST_F(CheckerTest, ForgottenAfterAllTroubles) {
  checker.troubles_over = 100;
  checker.told(1, "wk-000001", "pending", false);
  for (int t = 5; t < 100; t += 5) checker.poll_failed(t, "wk-000001", false);
  for (int t = 100; t <= 175; t += 5) checker.poll_failed(t, "wk-000001", false);
  EXPECT_FALSE(checker.is_broken("forgotten"));
  checker.poll_failed(176, "wk-000001", false);
  EXPECT_TRUE(checker.is_broken("forgotten"));
}

TEST_F(CheckerTest, AnAnswerEndsTheSilence) {
  checker.troubles_over = 0;
  checker.told(1, "wk-000001", "pending", false);
  for (int t = 5; t <= 70; t += 5) checker.poll_failed(t, "wk-000001", false);
  checker.told(72, "wk-000001", "pending", false);
  for (int t = 75; t <= 145; t += 5) checker.poll_failed(t, "wk-000001", false);
  EXPECT_FALSE(checker.is_broken("forgotten"));
}

// Shares: half of a class, of a team and of a class's largest jobs has to be done, and these begin
// within the time.
TEST_F(CheckerTest, Shares) {
  JobSpec small = job("wk-000002"), large = job("wk-000003"), other = job("wk-000004");
  small.lot = large.lot = "x";
  large.tasks = 4;
  other.lot = "y";
  for (const JobSpec& s : {small, large, other}) checker.submitted(0, s);
  const auto finish = [&](const JobSpec& s) {
    for (uint32_t t = 0; t < s.tasks; ++t) checker.completed(s.id, t);
  };
  const auto says = [&](const std::string& what) {
    for (const std::string& u : checker.unfair(240))
      if (u.find(what) != std::string::npos) return true;
    return false;
  };
  checker.starts(10, "wk-000001", 0, at("m1"));
  checker.starts(10, "wk-000004", 0, at("m1"));
  finish(job("wk-000001"));
  finish(other);
  EXPECT_TRUE(says("class x"));
  EXPECT_FALSE(says("class y"));
  EXPECT_TRUE(says("the largest of x: 0 of 1"));
  EXPECT_TRUE(says("wk-000003, of the largest of x"));
  finish(small);
  EXPECT_FALSE(says("class x")) << "one of two is half";
  checker.starts(241, "wk-000003", 0, at("m2"));
  finish(large);
  EXPECT_FALSE(says("the largest of x:"));
  EXPECT_TRUE(says("wk-000003, of the largest of x")) << "it began a second late";
}

TEST_F(CheckerTest, Invented) {
  checker.told(1, "wk-000009", "pending", false);
  EXPECT_TRUE(checker.is_broken("invented"));
}

TEST_F(CheckerTest, NotDone) {
  checker.completed("wk-000001", 0);
  checker.told(1, "wk-000001", "done", false);
  EXPECT_TRUE(checker.is_broken("not_done"));
}

TEST_F(CheckerTest, WentBack) {
  checker.completed("wk-000001", 0);
  checker.completed("wk-000001", 1);
  checker.told(1, "wk-000001", "done", false);
  EXPECT_FALSE(checker.is_broken("went_back"));
  checker.told(2, "wk-000001", "running", false);
  EXPECT_TRUE(checker.is_broken("went_back"));
}

TEST_F(CheckerTest, CancelledByNobody) {
  checker.told(1, "wk-000001", "aborted", false);
  EXPECT_TRUE(checker.is_broken("went_back"));
}

}  // namespace
}  // namespace rookdyke::test
