// What a leader leaves to its successor besides the ledger's pages.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "scheduler/scheduler.h"
#include "scheduler/scheduler_fixtures.h"

namespace rookdyke {
namespace {

using namespace test;

TEST(Scheduler, ImageHintsReachASuccessor) {
  const std::vector<ListedMachine> list = {
      {"m-1", "h:1", "box", "a", false, ListedMachine::State::running, 10}};
  Heartbeat report = heartbeat_of_m1();
  report.epoch = report.seq = 1;
  report.fencing_token = 7;
  const auto hints = nlohmann::json::parse(
      R"({"images":[["x",4.0],["y",6.0]],"machines":{"m-1":[1,0],"m-unknown":[0]}})");
  Scheduler scheduler = one_zone_scheduler();
  scheduler.on_machine_list(list, 0, 0);
  scheduler.load_image_locations(hints, 5);
  scheduler.on_heartbeat(report, 6);
  const nlohmann::json told = scheduler.image_locations();
  ASSERT_EQ(told.at("machines").size(), 1u);
  // The least recently used first: y, then x.
  std::vector<std::string> order;
  for (const auto& k : told.at("machines").at("m-1"))
    order.push_back(told.at("images").at(k.get<size_t>()).at(0).get<std::string>());
  EXPECT_EQ(order, (std::vector<std::string>{"y", "x"}));
  scheduler.load_image_locations({{"images", 3}}, 7);  // nonsense changes nothing
  EXPECT_EQ(scheduler.image_locations(), told);
}

// Under a load that never leaves the committer idle the rented list is written all the same: a
// successor that reads an old one counts machines that were returned, and rents none in their
// place.
TEST(Scheduler, TheRentedListIsWrittenUnderLoad) {
  Scheduler scheduler = one_zone_scheduler();
  Heartbeat r = heartbeat_of_m1();
  r.epoch = 1;
  r.fencing_token = 7;
  uint64_t revision = 7;
  size_t pages = 0, lists = 0;
  for (int step = 0; step < 150; ++step) {
    const double now = 0.1 * step;
    scheduler.on_job_row(one_task_job(++revision), "wk-" + std::to_string(100000 + step), now);
    if (step % 20 == 0) {
      ++r.seq;
      for (const WorkerCommand& o : scheduler.on_heartbeat(r, now).commands)
        if (o.kind == CommandKind::start)
          r.tasks.push_back({o.job, o.task, o.attempt, TaskPhase::running, ExitCause::none, false});
    }
    scheduler.round(now);
    // One transaction a step is less than there is to write.
    const auto p = scheduler.next_transaction(now);
    if (!p) continue;
    const std::string& key = p->transaction.changes.at(0).key;
    pages += key.rfind(ledger::kPagePrefix, 0) == 0;
    lists += key.rfind(ledger::kRentedListPrefix, 0) == 0;
    scheduler.on_result(p->id, {ledger::Outcome::applied, ++revision, {}}, now);
  }
  EXPECT_FALSE(scheduler.has_lost_leadership());
  EXPECT_GE(pages, 100u);
  EXPECT_GE(lists, 1u);
  EXPECT_LE(lists, 4u);  // no more often than every 4 s
}

}  // namespace
}  // namespace rookdyke
