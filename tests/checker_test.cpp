// The rule checker catches each rule when it is broken, and keeps quiet when it is kept.

#include "checker.h"

#include <gtest/gtest.h>

#include "simulation/world.h"

namespace rookdyke::test {
namespace {

JobSpec job(const std::string& id) {
  JobSpec s;
  s.id = id;
  s.team = "t";
  s.tasks = 2;
  s.per_task = {1, 1, 1};
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
TEST_F(CheckerTest, StartsOrderedAfterTheCancellation) {
  checker.told(5, "wk-000001", "aborted", true);
  checker.starts(6, "wk-000001", 0, at("m1"), 4.9);
  EXPECT_FALSE(checker.is_broken("started_cancelled"));
  checker.starts(6, "wk-000001", 1, at("m1"), 5.1);
  EXPECT_TRUE(checker.is_broken("started_cancelled"));
  EXPECT_FALSE(checker.is_broken("ran_cancelled"));
}

TEST_F(CheckerTest, StartsOrderedBeforeTheConfirmation) {
  checker.told(5, "wk-000001", "pending", true);
  checker.starts(6, "wk-000001", 0, at("m1"), 5.5);
  EXPECT_FALSE(checker.is_broken("started_cancelled")) << "asked for, not confirmed";
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
  bool taken(const JobSpec& s, const std::string& answer = "pending", bool lacks = false) {
    checker.submitted(0, s, lacks);
    checker.told(1, s.id, answer, false);
    return checker.is_broken("accepted_unfit");
  }
  Checker checker;
};

TEST_F(CheckerAcceptedUnfitTest, WhatCanRunMayBeAccepted) {
  JobSpec s = job("wk-000001");
  s.tasks = 100;  // an array runs by and by
  EXPECT_FALSE(taken(s));
  JobSpec gang = job("wk-000002");
  gang.shape = JobShape::gang;
  gang.tasks = 4;
  EXPECT_FALSE(taken(gang));
  JobSpec large = job("wk-000003");
  large.per_task = {4, 4, 1};
  large.types = {"small", "large"};
  EXPECT_FALSE(taken(large));
}

TEST_F(CheckerAcceptedUnfitTest, ARefusalIsWell) {
  JobSpec s = job("wk-000001");
  s.team = "nobody";
  EXPECT_FALSE(taken(s, "422"));
  EXPECT_FALSE(taken(job("wk-000002"), "400", true));
}

TEST_F(CheckerAcceptedUnfitTest, UnknownTeam) {
  JobSpec s = job("wk-000001");
  s.team = "nobody";
  EXPECT_TRUE(taken(s));
}

TEST_F(CheckerAcceptedUnfitTest, NoTypeFits) {
  JobSpec s = job("wk-000001");
  s.per_task = {4, 1, 1};
  s.types = {"small"};
  EXPECT_TRUE(taken(s));
}

TEST_F(CheckerAcceptedUnfitTest, OneTaskOfAnArrayIsOverTheLimit) {
  JobSpec s = job("wk-000001");
  s.per_task = {1, 5, 1};
  EXPECT_TRUE(taken(s));
}

TEST_F(CheckerAcceptedUnfitTest, AGangIsOverTheLimit) {
  JobSpec s = job("wk-000001");
  s.shape = JobShape::gang;
  s.tasks = 5;
  EXPECT_TRUE(taken(s));
}

TEST_F(CheckerAcceptedUnfitTest, LacksAField) {
  EXPECT_TRUE(taken(job("wk-000001"), "pending", true));
}

// Once the troubles are over nobody waits for 90 s for room that there is.
class CheckerLeftWaitingTest : public CheckerTest {
 protected:
  CheckerLeftWaitingTest() {
    checker.troubles_over = 100;
    checker.told(1, "wk-000001", "pending", false);
  }
  void look(double from, double to, const std::vector<Room>& rooms,
            const std::map<std::string, size_t>& held = {}) {
    for (double t = from; t <= to; t += 5) checker.rooms(t, rooms, held);
  }
  bool left() const { return checker.is_broken("left_waiting"); }
  const Room one{"box", "a", false, {1, 1, 1}};
};

TEST_F(CheckerLeftWaitingTest, ForNinetySeconds) {
  look(0, 190, {one});
  EXPECT_FALSE(left()) << "it counts from the end of the troubles on";
  look(195, 195, {one});
  EXPECT_TRUE(left());
}

TEST_F(CheckerLeftWaitingTest, RoomThatCloses) {
  look(100, 150, {one});
  look(155, 155, {});
  look(160, 250, {one});
  EXPECT_FALSE(left());
}

TEST_F(CheckerLeftWaitingTest, HeldTasksDoNotWait) {
  look(100, 300, {one}, {{"wk-000001", 1}});
  EXPECT_FALSE(left());
}

TEST_F(CheckerLeftWaitingTest, NobodyWaitsAfterTheEnd) {
  checker.completed("wk-000001", 0);
  checker.completed("wk-000001", 1);
  look(100, 300, {one});
  JobSpec s = job("wk-000002");
  checker.submitted(0, s);
  checker.told(2, s.id, "aborted", true);
  look(300, 500, {one});
  EXPECT_FALSE(left());
}

TEST_F(CheckerLeftWaitingTest, RoomOfTheWrongKind) {
  look(100, 300, {{"box", "a", true, {1, 1, 1}}, {"box", "a", false, {1, 0, 1}}});
  EXPECT_FALSE(left());
}

TEST_F(CheckerLeftWaitingTest, TheTeamIsAtItsLimit) {
  checker.submitted(0, job("wk-000002"));
  look(100, 300, {one}, {{"wk-000002", 2}});
  EXPECT_FALSE(left());
  look(305, 400, {one}, {{"wk-000002", 1}});
  EXPECT_TRUE(left());
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
  look(100, 300, {one, other});
  EXPECT_FALSE(left());
  look(305, 400, {one, other, one});
  EXPECT_TRUE(left());
}

TEST_F(CheckerLeftWaitingTest, ScatteredTasksNeedTwoZones) {
  checker.completed("wk-000001", 0);
  checker.completed("wk-000001", 1);
  JobSpec s = job("wk-000002");
  s.shape = JobShape::gang;
  s.spread_zones = true;
  checker.submitted(0, s);
  checker.told(1, s.id, "pending", false);
  look(100, 300, {one, one});
  EXPECT_FALSE(left());
  look(305, 400, {one, {"box", "b", false, {1, 1, 1}}});
  EXPECT_TRUE(left());
}

TEST_F(CheckerLeftWaitingTest, WhatFailsByItselfMayBePutOff) {
  checker.fails_by_itself("wk-000001");
  look(100, 300, {one});
  EXPECT_FALSE(left());
}

// A machine with one task of a job that its user has been told is cancelled.
class CheckerOnMachinesTest : public testing::Test {
 protected:
  static Settings settings() {
    Settings s;
    s.zones = {"a"};
    s.teams = {{"t", 0, 0, 0, 0}};
    s.cancel_s = 30;
    s.lease_s = 20;
    return s;
  }
  static MachineType type() {
    MachineType t;
    t.name = "box";
    t.size = {16, 4, 64};
    t.boot_s = 1;
    t.zones = {"a"};
    return t;
  }
  CheckerOnMachinesTest() : world(settings(), {type()}, 1, 1) {
    world.store.outage = true;  // nobody leads, so nobody stops the task or returns the machine
    world.start();
    UserJob& j = world.users.jobs["wk-000001"];
    j.spec = job("wk-000001");
    j.run_s = 1000;
    world.checker.submitted(0, j.spec);
    RentalRequest h;
    h.name = "one";
    h.type = "box";
    h.zone = "a";
    h.count = 1;
    machine = world.cloud.workers.at(world.cloud.rent(h).names.at(0)).get();
    world.clock.run(5);
  }
  void cancelled() { world.checker.told(world.clock.now, "wk-000001", "aborted", true); }
  // As a leader's direct command.
  void order() {
    world.network.call(
        "n0", machine->name, 1,
        [this] {
          machine->direct(1, 1, {{CommandKind::start, "wk-000001", 0, 1, 0}});
        },
        [](bool) {});
  }
  bool broken(const std::string& rule) const { return world.checker.is_broken(rule); }
  World world;
  Worker* machine = nullptr;
};

TEST_F(CheckerOnMachinesTest, AJobWaitsBesideAnEmptyMachine) {
  world.checker.troubles_over = 10;
  world.checker.told(5, "wk-000001", "pending", false);
  world.clock.run(95);
  EXPECT_FALSE(broken("left_waiting"));
  world.clock.run(110);
  EXPECT_TRUE(broken("left_waiting"));
}

TEST_F(CheckerOnMachinesTest, AJobWaitsBesideAHungMachine) {
  world.checker.troubles_over = 10;
  world.checker.told(5, "wk-000001", "pending", false);
  machine->hang(200);
  world.clock.run(200);
  EXPECT_FALSE(broken("left_waiting"));
}

TEST_F(CheckerOnMachinesTest, GoesOnAfterAHang) {
  order();
  world.clock.run(6);
  ASSERT_EQ(machine->tasks.size(), 1u);
  machine->hang(100);
  cancelled();
  world.clock.run(35);
  EXPECT_FALSE(broken("ran_cancelled"));
  world.clock.run(37);
  EXPECT_TRUE(broken("ran_cancelled"));
}

TEST_F(CheckerOnMachinesTest, EndsWithTheLease) {
  order();
  world.clock.run(6);
  cancelled();
  world.clock.run(100);
  EXPECT_FALSE(broken("ran_cancelled"));
  EXPECT_FALSE(broken("started_cancelled"));
}

TEST_F(CheckerOnMachinesTest, AnOrderInFlightMayStartIt) {
  machine->hang(3);
  order();
  world.clock.run(6);
  cancelled();
  world.clock.run(9);
  ASSERT_EQ(machine->tasks.size(), 1u);
  EXPECT_FALSE(broken("started_cancelled"));
}

TEST_F(CheckerOnMachinesTest, ALaterOrderMayNot) {
  cancelled();
  world.clock.run(6);
  order();
  world.clock.run(7);
  EXPECT_TRUE(broken("started_cancelled"));
}

// The stand-ins bring about the troubles that the scenarios name.
class CheckerStandInsTest : public CheckerOnMachinesTest {
 protected:
  // What became of a message: when it was served and when its answer came; negative: not at all.
  struct Message {
    double served = -1, answered = -1;
  };
  std::shared_ptr<Message> send(const std::string& from, const std::string& to, double timeout) {
    auto m = std::make_shared<Message>();
    world.network.call(
        from, to, timeout, [this, m] { m->served = world.clock.now; },
        [this, m](bool ok) {
          if (ok) m->answered = world.clock.now;
        });
    return m;
  }
  ledger::Transaction write(const std::string& key, const std::string& value) {
    ledger::Transaction t;
    t.changes = {{key, false, {{"v", value}}, 0}};
    return t;
  }
};

TEST_F(CheckerStandInsTest, LateWritesAreCarriedOutAfterNewerOnes) {
  world.store.outage = false;
  world.faults.late_writes = 1;
  bool answered = true;
  world.network.call(
      "users", "state", 1, [this] { world.store.commit(write("k", "old")); },
      [&](bool ok) { answered = ok; });
  world.clock.run(6.5);
  EXPECT_FALSE(answered);
  world.faults.late_writes = 0;
  world.store.commit(write("k", "new"));
  EXPECT_EQ(world.store.get("k")->value.at("v"), "new");
  world.clock.run(18);
  EXPECT_EQ(world.store.get("k")->value.at("v"), "old");
}

TEST_F(CheckerStandInsTest, OnlyTheAnswerIsLost) {
  world.store.outage = false;
  world.faults.lost_answers = 1;
  bool answered = true;
  world.network.call(
      "users", "state", 1, [this] { world.store.commit(write("k", "new")); },
      [&](bool ok) { answered = ok; });
  world.clock.run(5.1);
  ASSERT_NE(world.store.get("k"), nullptr);
  EXPECT_EQ(world.store.get("k")->value.at("v"), "new");
  world.clock.run(7);
  EXPECT_FALSE(answered);
  world.faults.lost_answers = 0;
  EXPECT_GE(world.event_counts["answer_lost"], 1u);
}

TEST_F(CheckerStandInsTest, OneIsRefusedAndOthersAreServed) {
  world.store.outage = false;
  world.network.refuse("n0", 10);
  ledger::Outcome mine{}, other{};
  const auto commit = [&](const std::string& from, ledger::Outcome& o) {
    world.network.call(
        from, "state", 1, [this, from, &o] { o = world.store.commit(write("k", from)).outcome; },
        [](bool) {});
  };
  commit("n0", mine);
  commit("users", other);
  world.clock.run(6);
  EXPECT_EQ(mine, ledger::Outcome::refused);
  EXPECT_EQ(other, ledger::Outcome::applied);
  EXPECT_FALSE(world.store.outage);
  world.clock.run(16);
  commit("n0", mine);
  world.clock.run(17);
  EXPECT_EQ(mine, ledger::Outcome::applied);
}

TEST_F(CheckerStandInsTest, HeldCommandsOrAnswersGoOn) {
  world.faults.held_commands = 1;
  world.faults.held_commands_s = 8;
  int late_service = 0, late_answers = 0;
  std::vector<std::shared_ptr<Message>> sent;
  sent.reserve(20);
  for (int i = 0; i < 20; ++i) sent.push_back(send("n0", machine->name, 60));
  const auto other = send("n0", "users", 60);
  world.clock.run(30);
  for (const auto& m : sent) {
    ASSERT_GE(m->answered, 0);
    late_service += m->served > 6;
    late_answers += m->served < 5.1 && m->answered > 6;
  }
  EXPECT_GT(late_service, 2);
  EXPECT_GT(late_answers, 2);
  EXPECT_LT(other->answered, 5.1);
}

// As the daemon does: its user no longer waits for an answer that took 2 s, and may know more.
TEST_F(CheckerStandInsTest, ANodeRefusesAnAnswerThatTookTooLong) {
  world.store.outage = false;
  std::string answer;
  const auto poll = [&](double stands_still) {
    answer = "none";
    world.controllers[0]->on_user_request(UserRequest::poll, job("wk-000009"),
                                          [&](const std::string& a) { answer = a; });
    world.controllers[0]->freeze(stands_still);
    world.clock.run(world.clock.now + 8);
  };
  poll(1);
  EXPECT_EQ(answer, "404");
  poll(3);
  EXPECT_EQ(answer, "");
}

TEST_F(CheckerStandInsTest, UsersAskAllNodesAtOnce) {
  world.store.outage = false;
  world.users.concurrent_requests_until = 60;
  JobSpec s = job("wk-000003");
  world.users.submit(s, 5, false);
  world.clock.run(60);
  EXPECT_GE(world.event_counts["close_looks"], 2u) << "once accepted, and at the end";
  EXPECT_TRUE(world.checker.broken().empty());
}

// A copy that was kept arrives at the nodes once one of them begins to lead, and not again.
TEST_F(CheckerStandInsTest, KeptReportsMeetTheNextLeader) {
  world.faults.kept_heartbeats = 1;
  world.clock.run(12);
  EXPECT_EQ(world.event_counts["old_report_as_leader_begins"], 0u) << "nobody leads";
  world.store.outage = false;
  world.clock.run(20);
  const size_t met = world.event_counts["old_report_as_leader_begins"];
  EXPECT_GE(met, 1u);
  world.clock.run(40);
  EXPECT_EQ(world.event_counts["old_report_as_leader_begins"], met);
}

TEST_F(CheckerStandInsTest, TheStateServiceAnswersSlowly) {
  world.faults.slow_state_s = 4;
  double latest = 0;
  std::vector<std::shared_ptr<Message>> sent;
  sent.reserve(20);
  for (int i = 0; i < 20; ++i) sent.push_back(send("users", "state", 60));
  world.clock.run(30);
  for (const auto& m : sent) latest = std::max(latest, m->answered);
  EXPECT_GT(latest, 7);
  EXPECT_LT(latest, 9.1);
}

TEST_F(CheckerStandInsTest, AMuteMachineHearsCommandsAndItsLeaseRunsOut) {
  machine->mute_until = 60;
  order();
  world.clock.run(6);
  EXPECT_EQ(machine->tasks.size(), 1u);
  world.clock.run(30);
  EXPECT_TRUE(machine->tasks.empty());
}

TEST_F(CheckerStandInsTest, ACutZoneHearsItselfAlone) {
  world.network.cut_zone("a", 10, false);
  const auto inside = send("n0", machine->name, 1), state = send("n0", "state", 1),
             users = send("users", "n0", 1), outside = send("users", "state", 1);
  world.clock.run(7);
  EXPECT_GE(inside->answered, 0);
  EXPECT_LT(state->served, 0);
  EXPECT_LT(users->served, 0);
  EXPECT_GE(outside->answered, 0);
  world.clock.run(16);
  const auto after = send("n0", "state", 1);
  world.clock.run(17);
  EXPECT_GE(after->answered, 0);
}

// With nobody to answer, what users cancel is only asked for; that is what is looked at here.
TEST_F(CheckerStandInsTest, UsersCancelWhatHasLongestToGo) {
  UserJob& shorter = world.users.jobs["wk-000002"];
  shorter.spec = job("wk-000002");
  shorter.run_s = 50;
  world.checker.submitted(0, shorter.spec);
  order();
  machine->direct(1, 1, {{CommandKind::start, "wk-000002", 0, 2, 0}});
  world.clock.run(6);
  world.users.cancel_longest_running(1, 5);
  EXPECT_TRUE(machine->hung);
  world.clock.run(6.3);
  EXPECT_TRUE(world.users.jobs["wk-000001"].abort_asked);
  EXPECT_FALSE(world.users.jobs["wk-000002"].abort_asked);
}

TEST_F(CheckerStandInsTest, UsersCancelAtTheLastTasksEnd) {
  UserJob& j = world.users.jobs["wk-000001"];
  j.run_s = 2;
  world.faults.cancel_at_end = 1;
  order();
  world.clock.run(9);
  EXPECT_EQ(j.done.size(), 1u);
  EXPECT_FALSE(j.abort_asked) << "one of two has ended";
  machine->direct(1, 1, {{CommandKind::start, "wk-000001", 1, 2, 0}});
  world.clock.run(12);
  EXPECT_TRUE(j.abort_asked);
}

// A leader that answers: nothing that users do oddly changes what they are told.
TEST_F(CheckerStandInsTest, OddRequestsAreAnswered) {
  world.store.outage = false;
  JobSpec s = job("wk-000003");
  s.tasks = 1;
  world.users.submit(s, 5, false);
  world.users.send_unexpected_requests(60);
  world.clock.run(70);
  EXPECT_EQ(world.users.jobs["wk-000003"].told, "done");
  EXPECT_TRUE(world.users.jobs["wk-000003"].abort_asked) << "they cancel what is done";
  EXPECT_TRUE(world.checker.broken().empty());
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

// What a node has said itself it knows, in whatever order its answers are heard.
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

// No start may be ordered from the moment on at which the cancellation was confirmed.
TEST_F(CheckerTest, StartsOrderedWhileTheConfirmationIsOnItsWay) {
  checker.told(5, "wk-000001", "aborted", true, {3, 4.5});
  checker.starts(6, "wk-000001", 0, at("m1"), 4.7);
  EXPECT_TRUE(checker.is_broken("started_cancelled"));
}

TEST_F(CheckerTest, CancelledByNobody) {
  checker.told(1, "wk-000001", "aborted", false);
  EXPECT_TRUE(checker.is_broken("went_back"));
}

}  // namespace
}  // namespace rookdyke::test
