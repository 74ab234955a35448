// Rented machines that never boot.

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "scheduler/small_deployment_fixture.h"

namespace rookdyke {
namespace {

using namespace test;

TEST_F(SmallDeployment, MachinesThatNeverBootAreReplacedAsNeededAndReturned) {
  submit("wk-000001", 4, 4, 1000);
  std::set<std::string> returned;
  size_t rented = 0, initially_rented = 0;
  const std::set<std::string> never_booting = {"m-1", "m-2"};
  while (now < 400) {
    run_until(now + 1);
    while (auto request = scheduler.next_rental_request(now)) {
      std::vector<std::string> names;
      names.reserve(static_cast<size_t>(request->count));
      for (int i = 0; i < request->count; ++i) names.push_back("m-" + std::to_string(rented++));
      scheduler.on_rental_result(*request, CloudOutcome::done, names, now);
    }
    const auto names = scheduler.next_return(now);
    returned.insert(names.begin(), names.end());
    if (!names.empty()) scheduler.on_return_result(names, CloudOutcome::done, now);
    // All other machines boot after the boot time that the cloud publishes.
    if (now == 60) initially_rented = rented;
    if (now == 60 || now == 180)
      for (const auto& m : scheduler.machines())
        if (!never_booting.count(m->name) && !m->registered)
          add_machine(std::stoi(m->name.substr(2)));
  }
  EXPECT_EQ(initially_rented, 5u);  // four for the job and one spare
  EXPECT_EQ(rented, 6u);
  EXPECT_EQ(running("wk-000001"), 4u);
  EXPECT_EQ(returned, never_booting);
}

}  // namespace
}  // namespace rookdyke
