// Starvation allowance: how many tasks a starved array may start.

#include <gtest/gtest.h>

#include "scheduler/scheduler_fixtures.h"

namespace rookdyke {
namespace {

using namespace test;

constexpr int kMachines = 64;
constexpr size_t kSlotsPerMachine = 4;
constexpr uint32_t kTasksBeyondTheFleet = 20'000;

LedgerCache ledger_with_array(uint32_t tasks, double accepted_at) {
  LedgerCache ledger_cache;
  ledger::JobRow row;
  row.tasks = tasks;
  row.chunk_size = 100;
  row.timestamp_s = accepted_at;
  row.spec = JobSpec{};
  row.spec->team = "team";
  row.spec->tasks = tasks;
  row.spec->per_task = {1, 1, 1};
  row.spec->image = "image";
  row.spec->image_gb = 1;
  ledger_cache.put("rd/j/wk-000001", ledger::encode(row), 3);
  return ledger_cache;
}

// Number of tasks that the array starts in a leader's first round, on an empty fleet.
size_t starts_in_first_round(uint32_t tasks, double waited_s) {
  constexpr double kNow = 500;
  Scheduler scheduler(bare_settings(), {bare_type()}, kLeaderToken, kNow);
  scheduler.set_time_of_day_offset(0);
  scheduler.load(ledger_with_array(tasks, kNow - waited_s), kNow);
  for (int i = 0; i < kMachines; ++i)
    scheduler.on_heartbeat(bare_heartbeat(i, 1, kLeaderToken), kNow);
  scheduler.round(kNow);
  return scheduler.find_job("wk-000001")->attempts.size();
}

// If the allowance depended on the number of tasks alone, a starved array much larger than the
// fleet would take every slot before jobs with a start-time objective.
TEST(Starvation, AnArrayLargerThanTheFleetStartsAShareOfTheFleet) {
  constexpr size_t kAllowance = kMachines * kSlotsPerMachine / 16;
  EXPECT_EQ(starts_in_first_round(kTasksBeyondTheFleet, 130), kAllowance);
}

TEST(Starvation, AnArraySmallerThanTheFleetStartsAShareOfItsTasks) {
  EXPECT_EQ(starts_in_first_round(160, 130), 10u);
  EXPECT_EQ(starts_in_first_round(16, 130), 4u) << "never fewer than four";
}

TEST(Starvation, AnArrayThatIsNotStarvedIsNotLimited) {
  EXPECT_GT(starts_in_first_round(160, 1), 10u);
}

}  // namespace
}  // namespace rookdyke
