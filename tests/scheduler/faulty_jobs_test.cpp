// A job that fails everywhere is told from a machine that fails everything.

#include <gtest/gtest.h>

#include <algorithm>

#include "scheduler/small_deployment_fixture.h"

namespace rookdyke {
namespace {

using namespace test;

TEST_F(SmallDeployment, AFaultyArrayCordonsNoMachineAndCanBeCancelled) {
  add_machines(6);
  submit("wk-000001", 48, 4, -2);
  run_until(60);
  const size_t at_first = starts["wk-000001"];
  submit("wk-000002", 48, 4, -2);  // errors of two jobs in a row terminate a machine otherwise
  run_until(300);
  EXPECT_GE(starts["wk-000001"], at_first + 3);  // its mistake may be mended any time
  for (const auto& m : scheduler.machines()) {
    EXPECT_FALSE(m->cordoned) << m->name;
    EXPECT_EQ(m->state, MachineState::ready) << m->name;
  }
  for (const char* id : {"wk-000001", "wk-000002"}) {
    ASSERT_TRUE(scheduler.find_job(id));
    cancel(id);
  }
  run_until(310);
  for (const char* id : {"wk-000001", "wk-000002"}) EXPECT_FALSE(scheduler.find_job(id));
}

// Once it is known, one task shows whether it still fails, and the next one waits for its back-off.
TEST_F(SmallDeployment, AFaultyArrayIsTriedWithOneTaskAtATime) {
  add_machines(6);
  submit("wk-000001", 48, 4, -2);
  run_until(60);
  const size_t at_first = starts["wk-000001"];
  size_t most = 0;
  while (now < 300) {
    run_until(now + 1);
    most = std::max(most, running("wk-000001"));
  }
  EXPECT_EQ(most, 1u);
  EXPECT_LE(starts["wk-000001"] - at_first, 5u);  // the back-off is a minute by then
}

TEST_F(SmallDeployment, AFaultyArrayAsksForOneTasksRoom) {
  add_machines(6);
  submit("wk-000001", 48, 4, -2);
  run_until(2);
  EXPECT_GE(scheduler.summary(now).target, 40);  // not known yet
  run_until(180);
  EXPECT_LE(scheduler.summary(now).target, 2);
}

TEST_F(SmallDeployment, AFaultyArrayLeavesTheMachinesToOthers) {
  add_machines(6);
  submit("wk-000001", 48, 4, -2);
  run_until(60);
  submit("wk-000002", 6, 4, 5);
  run_until(64);
  EXPECT_GE(running("wk-000002"), 5u);
  run_until(80);
  EXPECT_EQ(ends["wk-000002"], 6u);
}

}  // namespace
}  // namespace rookdyke
