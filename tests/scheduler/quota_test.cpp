// A team without a guarantee that shares the fleet with a team that has one.

#include <gtest/gtest.h>

#include <string>

#include "scheduler/small_deployment_fixture.h"

namespace rookdyke {
namespace {

using namespace test;

class TeamWithoutGuarantee : public SmallDeployment {
 protected:
  TeamWithoutGuarantee() : SmallDeployment({{"team", 16, 0, 8, 0}, {"guests", 0, 0, 0, 0}}) {
    add_machines(4);
  }
  // Half of the fleet is guaranteed to the other team. Its job within the guarantee runs within a
  // few seconds, and the team without a guarantee keeps the rest.
  void expect_guarantee_is_met() {
    submit("wk-900000", 4, 2, 60);
    run_until(now + 8);
    EXPECT_EQ(running("wk-900000"), 4u);
    run_until(now + 10);
    EXPECT_EQ(running("wk-900000"), 4u);
  }
};

TEST_F(TeamWithoutGuarantee, AGiantArrayBorrowsIdleCapacityAndReturnsIt) {
  submit("wk-000001", 2000, 1, 300, "guests");
  run_until(20);
  EXPECT_EQ(running("wk-000001"), 16u);
  expect_guarantee_is_met();
  EXPECT_EQ(running("wk-000001"), 8u);
  run_until(now + 60);  // the guaranteed job is done
  EXPECT_EQ(running("wk-000001"), 16u);
}

TEST_F(TeamWithoutGuarantee, ManyJobsBorrowIdleCapacityAndReturnIt) {
  for (int i = 0; i < 200; ++i) submit("wk-" + std::to_string(100000 + i), 1, 1, 300, "guests");
  const auto running_jobs = [&] {
    size_t n = 0;
    for (int i = 0; i < 200; ++i) n += running("wk-" + std::to_string(100000 + i));
    return n;
  };
  run_until(20);
  EXPECT_EQ(running_jobs(), 16u);
  expect_guarantee_is_met();
  EXPECT_EQ(running_jobs(), 8u);
  run_until(now + 60);
  EXPECT_EQ(running_jobs(), 16u);
}

// The team with the guarantee submits enough jobs to fill all machines without end. The array of
// the team without a guarantee starts nevertheless.
TEST_F(TeamWithoutGuarantee, AGiantArrayDoesNotStarve) {
  for (int i = 0; i < 160; ++i) {
    for (int k = 0; k < 2; ++k) submit("wk-" + std::to_string(100000 + 2 * i + k), 1, 1, 10);
    if (i == 20) submit("wk-000001", 2000, 1, 5, "guests");
    run_until(now + 1);
  }
  EXPECT_GE(starts["wk-000001"], 1u);
}

// A starved array keeps its precedence until it has used its whole starvation allowance, however
// few slots become free at a time. The allowance is a sixteenth of its tasks or of the fleet's 16
// slots, whichever is less, and at least four.
TEST_F(TeamWithoutGuarantee, AStarvedArrayStartsItsWholeAllowance) {
  for (int i = 0; i < 180; ++i) {
    for (int k = 0; k < 2; ++k) submit("wk-" + std::to_string(100000 + 2 * i + k), 1, 1, 10);
    if (i == 20) submit("wk-000001", 320, 1, 5, "guests");
    run_until(now + 1);
  }
  EXPECT_GE(starts["wk-000001"], 4u);
}

}  // namespace
}  // namespace rookdyke
