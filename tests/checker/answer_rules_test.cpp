// The rules about what users are told catch what breaks them, and nothing else.

#include "checker/checker_fixtures.h"

namespace rookdyke::test {
namespace {

TEST_F(CheckerTest, AFaultlessRunBreaksNoRule) {
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

class CheckerAcceptedUnfitTest : public testing::Test {
 protected:
  CheckerAcceptedUnfitTest()
      : checker({{"t", 0, 0, 0, 4}}, 30, {type("small", 2, 2), type("large", 8, 8)}) {}
  static MachineType type(const std::string& name, double cpus, double gpus) {
    MachineType t;
    t.name = name;
    t.size = {cpus, gpus, 16};
    t.zones = {"a"};
    return t;
  }
  bool is_unfit(const JobSpec& s, const std::string& answer = "pending", bool lacks = false) {
    checker.submitted(0, s, lacks);
    checker.told(1, s.id, answer, false);
    return checker.is_broken("accepted_unfit");
  }
  Checker checker;
};

TEST_F(CheckerAcceptedUnfitTest, WhatCanRunMayBeAccepted) {
  JobSpec s = job("wk-000001");
  s.tasks = 100;  // an array runs by and by
  EXPECT_FALSE(is_unfit(s));
  JobSpec gang = job("wk-000002");
  gang.shape = JobShape::gang;
  gang.tasks = 4;
  EXPECT_FALSE(is_unfit(gang));
  JobSpec large = job("wk-000003");
  large.per_task = {4, 4, 1};
  large.types = {"small", "large"};
  EXPECT_FALSE(is_unfit(large));
}

TEST_F(CheckerAcceptedUnfitTest, ARefusalIsWell) {
  JobSpec s = job("wk-000001");
  s.team = "nobody";
  EXPECT_FALSE(is_unfit(s, "422"));
  EXPECT_FALSE(is_unfit(job("wk-000002"), "400", true));
}

TEST_F(CheckerAcceptedUnfitTest, UnknownTeam) {
  JobSpec s = job("wk-000001");
  s.team = "nobody";
  EXPECT_TRUE(is_unfit(s));
}

TEST_F(CheckerAcceptedUnfitTest, NoTypeFits) {
  JobSpec s = job("wk-000001");
  s.per_task = {4, 1, 1};
  s.types = {"small"};
  EXPECT_TRUE(is_unfit(s));
}

TEST_F(CheckerAcceptedUnfitTest, OneTaskOfAnArrayIsOverTheLimit) {
  JobSpec s = job("wk-000001");
  s.per_task = {1, 5, 1};
  EXPECT_TRUE(is_unfit(s));
}

TEST_F(CheckerAcceptedUnfitTest, AGangIsOverTheLimit) {
  JobSpec s = job("wk-000001");
  s.shape = JobShape::gang;
  s.tasks = 5;
  EXPECT_TRUE(is_unfit(s));
}

TEST_F(CheckerAcceptedUnfitTest, LacksAField) {
  EXPECT_TRUE(is_unfit(job("wk-000001"), "pending", true));
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

// A job that nobody has been able to ask about since before the end of the troubles is silent from
// that end on, not only from the next question.
TEST_F(CheckerTest, ForgottenSinceBeforeTheEndOfTheTroubles) {
  checker.troubles_over = 100;
  checker.told(1, "wk-000001", "pending", false);
  for (int t = 38; t < 175; t += 20) checker.poll_failed(t, "wk-000001", false);
  EXPECT_FALSE(checker.is_broken("forgotten"));
  checker.poll_failed(178, "wk-000001", false);
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

// An answer to a question of before its user heard more is on its way; the answer to a later
// question is older than what the user knows.
TEST_F(CheckerTest, WentBackIsJudgedByWhenTheQuestionWasPut) {
  checker.told(1, "wk-000001", "pending", false);
  checker.told(5, "wk-000001", "aborted", true, {4, 4.9, 0});
  checker.told(6, "wk-000001", "running", false, {4.5, 5.5, 1});
  EXPECT_TRUE(checker.broken().empty());
  checker.told(6, "wk-000001", "running", false, {5.1, 5.2, 1});
  EXPECT_TRUE(checker.is_broken("went_back"));
}

// However long ago the question.
TEST_F(CheckerTest, WentBackWhenTheAnswerTookTooLong) {
  checker.told(5, "wk-000001", "aborted", true, {4, 4.9, 0});
  checker.told(7, "wk-000001", "running", false, {4.5, 6.9, 1});
  EXPECT_TRUE(checker.broken().empty());
  checker.told(8, "wk-000001", "running", false, {4.5, 7.1, 1});
  EXPECT_TRUE(checker.is_broken("went_back"));
}

// What a controller has said itself it knows, in whatever order its answers are heard.
TEST_F(CheckerTest, WentBackOnItsOwnWord) {
  checker.told(5, "wk-000001", "aborted", true, {4, 4.5, 0});
  checker.told(6, "wk-000001", "running", false, {4, 4.4, 0});
  EXPECT_TRUE(checker.broken().empty());
  checker.told(6, "wk-000001", "running", false, {4, 4.6, 0});
  EXPECT_TRUE(checker.is_broken("went_back"));
}

TEST_F(CheckerTest, WentBackOnItsOwnWordHeardLater) {
  checker.told(5, "wk-000001", "running", false, {4, 4.6, 0});
  checker.told(5.5, "wk-000001", "aborted", true, {4, 4.5, 0});
  EXPECT_TRUE(checker.is_broken("went_back"));
}

TEST_F(CheckerTest, CalledBothIsWrongWhenever) {
  checker.told(5, "wk-000001", "aborted", true, {4, 4.9});
  checker.completed("wk-000001", 0);
  checker.completed("wk-000001", 1);
  checker.told(6, "wk-000001", "done", true, {3, 3.1});
  EXPECT_TRUE(checker.is_broken("went_back"));
}

TEST_F(CheckerTest, ForgottenIsJudgedByWhenTheQuestionWasPut) {
  checker.told(2, "wk-000001", "pending", false, {1, 1.9, 0});
  checker.told(3, "wk-000001", "404", false, {1.2, 2.5, 1});
  EXPECT_TRUE(checker.broken().empty());
  checker.told(3, "wk-000001", "404", false, {2.1, 2.2, 1});
  EXPECT_TRUE(checker.is_broken("forgotten"));
}

TEST_F(CheckerTest, CancelledByNobody) {
  checker.told(1, "wk-000001", "aborted", false);
  EXPECT_TRUE(checker.is_broken("went_back"));
}

}  // namespace
}  // namespace rookdyke::test
