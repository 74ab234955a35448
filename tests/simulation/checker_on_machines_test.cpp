// The simulation tells the checker what really runs where: rules that are broken on its machines
// are caught.

#include "simulation/simulation_fixtures.h"

namespace rookdyke::test {
namespace {

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
  send_start();
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
  send_start();
  world.clock.run(6);
  cancelled();
  world.clock.run(100);
  EXPECT_FALSE(broken("ran_cancelled"));
  EXPECT_FALSE(broken("started_cancelled"));
}

TEST_F(CheckerOnMachinesTest, ACommandInFlightMayStartIt) {
  machine->hang(3);
  send_start();
  world.clock.run(6);
  cancelled();
  world.clock.run(9);
  ASSERT_EQ(machine->tasks.size(), 1u);
  EXPECT_FALSE(broken("started_cancelled"));
}

TEST_F(CheckerOnMachinesTest, ALaterCommandMayNot) {
  cancelled();
  world.clock.run(6);
  send_start();
  world.clock.run(7);
  EXPECT_TRUE(broken("started_cancelled"));
}

}  // namespace
}  // namespace rookdyke::test
