// The rules about jobs that wait catch what breaks them, and nothing else.

#include "checker/checker_fixtures.h"

namespace rookdyke::test {
namespace {

// Once the troubles are over nobody waits for 90 s for room that there is.
class CheckerLeftWaitingTest : public CheckerTest {
 protected:
  CheckerLeftWaitingTest() {
    checker.troubles_over = 100;
    checker.told(1, "wk-000001", "pending", false);
  }
  void tell_rooms(double from, double to, const std::vector<Room>& rooms,
                  const std::map<std::string, size_t>& held = {}) {
    for (double t = from; t <= to; t += 5) checker.rooms(t, rooms, held);
  }
  bool left_waiting() const { return checker.is_broken("left_waiting"); }
  const Room one_task{"box", "a", false, {1, 1, 1}};
};

TEST_F(CheckerLeftWaitingTest, ForNinetySeconds) {
  tell_rooms(0, 190, {one_task});
  EXPECT_FALSE(left_waiting()) << "it counts from the end of the troubles on";
  tell_rooms(195, 195, {one_task});
  EXPECT_TRUE(left_waiting());
}

TEST_F(CheckerLeftWaitingTest, RoomThatCloses) {
  tell_rooms(100, 150, {one_task});
  tell_rooms(155, 155, {});
  tell_rooms(160, 250, {one_task});
  EXPECT_FALSE(left_waiting());
}

TEST_F(CheckerLeftWaitingTest, HeldTasksDoNotWait) {
  tell_rooms(100, 300, {one_task}, {{"wk-000001", 1}});
  EXPECT_FALSE(left_waiting());
}

TEST_F(CheckerLeftWaitingTest, NobodyWaitsAfterTheEnd) {
  checker.completed("wk-000001", 0);
  checker.completed("wk-000001", 1);
  tell_rooms(100, 300, {one_task});
  JobSpec s = job("wk-000002");
  checker.submitted(0, s);
  checker.told(2, s.id, "aborted", true);
  tell_rooms(300, 500, {one_task});
  EXPECT_FALSE(left_waiting());
}

TEST_F(CheckerLeftWaitingTest, RoomOfTheWrongKind) {
  tell_rooms(100, 300, {{"box", "a", true, {1, 1, 1}}, {"box", "a", false, {1, 0, 1}}});
  EXPECT_FALSE(left_waiting());
}

TEST_F(CheckerLeftWaitingTest, TheTeamIsAtItsLimit) {
  checker.submitted(0, job("wk-000002"));
  tell_rooms(100, 300, {one_task}, {{"wk-000002", 2}});
  EXPECT_FALSE(left_waiting());
  tell_rooms(305, 400, {one_task}, {{"wk-000002", 1}});
  EXPECT_TRUE(left_waiting());
}

TEST_F(CheckerLeftWaitingTest, AGangNeedsRoomForAll) {
  checker.completed("wk-000001", 0);
  checker.completed("wk-000001", 1);
  JobSpec s = job("wk-000002");
  s.shape = JobShape::gang;
  s.single_zone = true;
  checker.submitted(0, s);
  checker.told(1, s.id, "pending", false);
  const Room other{"box", "b", false, {1, 1, 1}};
  tell_rooms(100, 300, {one_task, other});
  EXPECT_FALSE(left_waiting());
  tell_rooms(305, 400, {one_task, other, one_task});
  EXPECT_TRUE(left_waiting());
}

TEST_F(CheckerLeftWaitingTest, ScatteredTasksNeedTwoZones) {
  checker.completed("wk-000001", 0);
  checker.completed("wk-000001", 1);
  JobSpec s = job("wk-000002");
  s.shape = JobShape::gang;
  s.spread_zones = true;
  checker.submitted(0, s);
  checker.told(1, s.id, "pending", false);
  tell_rooms(100, 300, {one_task, one_task});
  EXPECT_FALSE(left_waiting());
  tell_rooms(305, 400, {one_task, {"box", "b", false, {1, 1, 1}}});
  EXPECT_TRUE(left_waiting());
}

TEST_F(CheckerLeftWaitingTest, WhatFailsByItselfMayBePutOff) {
  checker.fails_by_itself("wk-000001");
  tell_rooms(100, 300, {one_task});
  EXPECT_FALSE(left_waiting());
}

// Shares: half of a class, of a team and of a class's largest jobs has to be done, and these begin
// within the time.
TEST_F(CheckerTest, Shares) {
  JobSpec small = job("wk-000002"), large = job("wk-000003"), other = job("wk-000004");
  small.job_class = large.job_class = "x";
  large.tasks = 4;
  other.job_class = "y";
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

}  // namespace
}  // namespace rookdyke::test
