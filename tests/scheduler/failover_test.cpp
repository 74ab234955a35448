// State other than the ledger's pages that a leader hands over to its successor.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "scheduler/scheduler.h"
#include "scheduler/scheduler_fixtures.h"

namespace rookdyke {
namespace {

using namespace test;

TEST(Scheduler, ImageLocationsReachASuccessor) {
  const std::vector<ListedMachine> list = {
      {"m-1", "h:1", "box", "a", false, ListedMachine::State::running, 10}};
  Heartbeat heartbeat = heartbeat_of_m1();
  heartbeat.epoch = heartbeat.seq = 1;
  heartbeat.fencing_token = 7;
  const auto stored_locations = nlohmann::json::parse(
      R"({"images":[["x",4.0],["y",6.0]],"machines":{"m-1":[1,0],"m-unknown":[0]}})");
  Scheduler scheduler = one_zone_scheduler();
  scheduler.on_machine_list(list, 0, 0);
  scheduler.load_image_locations(stored_locations, 5);
  scheduler.on_heartbeat(heartbeat, 6);
  const nlohmann::json locations = scheduler.image_locations();
  ASSERT_EQ(locations.at("machines").size(), 1u);
  // Least recently used first: y, then x.
  std::vector<std::string> order;
  for (const auto& image : locations.at("machines").at("m-1"))
    order.push_back(locations.at("images").at(image.get<size_t>()).at(0).get<std::string>());
  EXPECT_EQ(order, (std::vector<std::string>{"y", "x"}));
  scheduler.load_image_locations({{"images", 3}}, 7);  // a malformed value is ignored
  EXPECT_EQ(scheduler.image_locations(), locations);
}

// The rented list is written even if page writes never leave the committer idle. A successor that
// read an outdated list would count machines that were returned, and would not rent replacements.
TEST(Scheduler, TheRentedListIsWrittenUnderLoad) {
  Scheduler scheduler = one_zone_scheduler();
  Heartbeat heartbeat = heartbeat_of_m1();
  heartbeat.epoch = 1;
  heartbeat.fencing_token = 7;
  uint64_t revision = 7;
  size_t page_writes = 0, list_writes = 0;
  for (int step = 0; step < 150; ++step) {
    const double now = 0.1 * step;
    scheduler.on_job_row(one_task_job(++revision), "wk-" + std::to_string(100000 + step), now);
    if (step % 20 == 0) {
      ++heartbeat.seq;
      for (const WorkerCommand& command : scheduler.on_heartbeat(heartbeat, now).commands)
        if (command.kind == CommandKind::start)
          heartbeat.tasks.push_back({command.job, command.task, command.attempt, TaskPhase::running,
                                     ExitCause::none, false});
    }
    scheduler.round(now);
    // One transaction per step is too few for the pending writes.
    const auto p = scheduler.next_transaction(now);
    if (!p) continue;
    const std::string& key = p->transaction.changes.at(0).key;
    page_writes += key.rfind(ledger::kPagePrefix, 0) == 0;
    list_writes += key.rfind(ledger::kRentedListPrefix, 0) == 0;
    scheduler.on_result(p->id, {ledger::Outcome::applied, ++revision, {}}, now);
  }
  EXPECT_FALSE(scheduler.has_lost_leadership());
  EXPECT_GE(page_writes, 100u);
  EXPECT_GE(list_writes, 1u);
  EXPECT_LE(list_writes, 4u);  // at most one every 4 s
}

}  // namespace
}  // namespace rookdyke
