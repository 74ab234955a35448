// Distinguishing a faulty job, which fails on every machine, from a faulty machine, on which the
// tasks of every job fail.

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
  const size_t initial_starts = starts["wk-000001"];
  submit("wk-000002", 48, 4, -2);  // two failing jobs in a row would cordon a machine
  run_until(300);
  EXPECT_GE(starts["wk-000001"], initial_starts + 3);  // retried: the cause may be fixed meanwhile
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

// Once an array is known to be faulty, a single task tests whether it still fails, and the next
// task waits for the back-off.
TEST_F(SmallDeployment, AFaultyArrayRunsOneTaskAtATime) {
  add_machines(6);
  submit("wk-000001", 48, 4, -2);
  run_until(60);
  const size_t initial_starts = starts["wk-000001"];
  size_t peak_running = 0;
  while (now < 300) {
    run_until(now + 1);
    peak_running = std::max(peak_running, running("wk-000001"));
  }
  EXPECT_EQ(peak_running, 1u);
  EXPECT_LE(starts["wk-000001"] - initial_starts, 5u);  // the back-off has reached one minute
}

TEST_F(SmallDeployment, AFaultyArrayAddsDemandForOneTaskOnly) {
  add_machines(6);
  submit("wk-000001", 48, 4, -2);
  run_until(2);
  EXPECT_GE(scheduler.summary(now).target, 40);  // the array is not known to be faulty yet
  run_until(180);
  EXPECT_LE(scheduler.summary(now).target, 2);
}

TEST_F(SmallDeployment, AFaultyArrayDoesNotBlockOtherJobs) {
  add_machines(6);
  submit("wk-000001", 48, 4, -2);
  run_until(60);
  submit("wk-000002", 6, 4, 5);
  run_until(64);
  EXPECT_GE(running("wk-000002"), 5u);
  run_until(80);
  EXPECT_EQ(completions["wk-000002"], 6u);
}

// The machine on which a job failed may be well again, and nothing else may ever run there that
// would show it. Avoided for good, it would stay idle beside the waiting job.
TEST_F(SmallDeployment, AJobReturnsToTheOnlyMachineOnWhichItFailed) {
  add_machine(1);
  submit("wk-000001", 1, 4, -2);
  run_until(20);
  EXPECT_EQ(starts["wk-000001"], 1u);  // a machine that is still faulty must not use up retries
  run_until(45);
  EXPECT_EQ(starts["wk-000001"], 2u);
  run_until(80);
  EXPECT_EQ(starts["wk-000001"], 2u);  // it failed again and is avoided for longer
  repair("wk-000001", 2);
  run_until(110);
  EXPECT_EQ(completions["wk-000001"], 1u);
}

// Tasks that fail on a machine together show no more than one that fails.
TEST_F(SmallDeployment, TasksThatFailTogetherCountOnceAgainstTheirMachine) {
  add_machine(1);
  submit("wk-000001", 4, 1, -2);
  run_until(45);
  EXPECT_EQ(starts["wk-000001"], 8u);
}

}  // namespace
}  // namespace rookdyke
