// The simulation injects the faults that the scenarios ask for.

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "simulation/simulation_fixtures.h"

namespace rookdyke::test {
namespace {

// The simulation injects the faults that the scenarios name.
class SimulationTest : public CheckerOnMachinesTest {
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

TEST_F(SimulationTest, LateWritesAreCarriedOutAfterNewerOnes) {
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

TEST_F(SimulationTest, OnlyTheAnswerIsLost) {
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

TEST_F(SimulationTest, OneIsRefusedAndOthersAreServed) {
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
  EXPECT_EQ(mine, ledger::Outcome::not_executed);
  EXPECT_EQ(other, ledger::Outcome::applied);
  EXPECT_FALSE(world.store.outage);
  world.clock.run(16);
  commit("n0", mine);
  world.clock.run(17);
  EXPECT_EQ(mine, ledger::Outcome::applied);
}

TEST_F(SimulationTest, HeldCommandsOrAnswersGoOn) {
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
TEST_F(SimulationTest, AControllerRefusesAnAnswerThatTookTooLong) {
  world.store.outage = false;
  std::string answer;
  const auto poll = [&](double frozen_s) {
    answer = "none";
    world.controllers[0]->on_user_request(UserRequest::poll, job("wk-000009"),
                                          [&](const std::string& a) { answer = a; });
    world.controllers[0]->freeze(frozen_s);
    world.clock.run(world.clock.now + 8);
  };
  poll(1);
  EXPECT_EQ(answer, "404");
  poll(3);
  EXPECT_EQ(answer, "");
}

TEST_F(SimulationTest, UsersAskAllControllersAtOnce) {
  world.store.outage = false;
  world.users.concurrent_requests_until = 60;
  JobSpec s = job("wk-000003");
  world.users.submit(s, 5, false);
  world.clock.run(60);
  EXPECT_GE(world.event_counts["close_looks"], 2u) << "once accepted, and at the end";
  EXPECT_TRUE(world.checker.broken().empty());
}

// A copy that was kept arrives at the controllers once one of them is elected, and not again.
TEST_F(SimulationTest, KeptHeartbeatsReachTheNextLeader) {
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

TEST_F(SimulationTest, TheStateServiceAnswersSlowly) {
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

TEST_F(SimulationTest, AMuteMachineHearsCommandsAndItsLeaseRunsOut) {
  machine->mute_until = 60;
  send_start();
  world.clock.run(6);
  EXPECT_EQ(machine->tasks.size(), 1u);
  world.clock.run(30);
  EXPECT_TRUE(machine->tasks.empty());
}

TEST_F(SimulationTest, ACutZoneHearsItselfAlone) {
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
TEST_F(SimulationTest, UsersCancelWhatHasLongestToGo) {
  UserJob& shorter = world.users.jobs["wk-000002"];
  shorter.spec = job("wk-000002");
  shorter.run_s = 50;
  world.checker.submitted(0, shorter.spec);
  send_start();
  machine->direct(1, 1, {{CommandKind::start, "wk-000002", 0, 2, 0}});
  world.clock.run(6);
  world.users.cancel_longest_running(1, 5);
  EXPECT_TRUE(machine->hung);
  world.clock.run(6.3);
  EXPECT_TRUE(world.users.jobs["wk-000001"].abort_asked);
  EXPECT_FALSE(world.users.jobs["wk-000002"].abort_asked);
}

TEST_F(SimulationTest, UsersCancelAtTheLastTasksEnd) {
  UserJob& j = world.users.jobs["wk-000001"];
  j.run_s = 2;
  world.faults.cancel_at_end = 1;
  send_start();
  world.clock.run(9);
  EXPECT_EQ(j.done.size(), 1u);
  EXPECT_FALSE(j.abort_asked) << "one of two has ended";
  machine->direct(1, 1, {{CommandKind::start, "wk-000001", 1, 2, 0}});
  world.clock.run(12);
  EXPECT_TRUE(j.abort_asked);
}

// A leader that answers: no unexpected request changes what users are told.
TEST_F(SimulationTest, UnexpectedRequestsAreAnswered) {
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

}  // namespace
}  // namespace rookdyke::test
