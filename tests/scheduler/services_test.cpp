// Services: replicas that run until their job is cancelled, and again wherever one ends.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "scheduler/scheduler.h"
#include "scheduler/scheduler_fixtures.h"

namespace rookdyke {
namespace {

using namespace test;
using ledger::Outcome;

constexpr const char* kService = "wk-000001";
constexpr const char* kOther = "wk-000002";

// A leader with a few machines whose heartbeats are written by the test.
class Services : public testing::Test {
 protected:
  Services() : scheduler(settings(), {bare_type()}, kLeaderToken, 0) {}

  // Machines that are nearly empty stay: moving off them is for scenarios.
  static Settings settings() {
    Settings s = bare_settings();
    s.tuning.scale_in_delay_s = 1e6;
    return s;
  }

  void submit(const std::string& id, uint32_t replicas, double now,
              JobShape shape = JobShape::service, Priority priority = Priority::critical) {
    CachedJob job = bare_job(replicas, {2, 0, 4}, ++revision);
    job.row.spec->shape = shape;
    job.row.spec->priority = priority;
    scheduler.on_job_row(job, id, now);
  }
  // A heartbeat of that machine with all its tasks as they are, but for the ones that are named.
  HeartbeatReply report(int machine, double now,
                        std::map<std::pair<std::string, uint32_t>, ExitCause> ends = {},
                        double notice_s = -1) {
    Heartbeat r = bare_heartbeat(machine, ++seq, kLeaderToken);
    r.notice_s = notice_s;
    for (const auto& m : scheduler.machines()) {
      if (m->name != r.machine) continue;
      for (const std::string id : {kService, kOther}) {
        const Job* job = scheduler.find_job(id);
        if (!job) continue;
        for (const auto& [task, a] : job->attempts) {
          if (a.machine != m->index || a.state == AttemptState::proposed) continue;
          const auto end = ends.find({id, task});
          const bool terminated = end != ends.end();
          r.tasks.push_back({id, task, a.number,
                             terminated ? TaskPhase::exited : TaskPhase::running,
                             terminated ? end->second : ExitCause::none, false});
        }
      }
    }
    return scheduler.on_heartbeat(r, now);
  }
  void commit_all(double now) {
    while (auto p = scheduler.next_transaction(now))
      scheduler.on_result(p->id, {Outcome::applied, ++revision, {}}, now);
  }
  void round(double now) {
    scheduler.round(now);
    commit_all(now);
  }
  // Machines send heartbeats, what waits is placed and made durable, and runs.
  void run_on(int machines, double now) {
    for (int i = 1; i <= machines; ++i) report(i, now);
    round(now);
    for (int i = 1; i <= machines; ++i) report(i, now + 0.5);
  }
  const Job& service() const { return *scheduler.find_job(kService); }
  size_t running() const {
    return static_cast<size_t>(
        std::count_if(service().attempts.begin(), service().attempts.end(),
                      [](const auto& a) { return a.second.state == AttemptState::running; }));
  }
  int machine_of(uint32_t replica) const {
    const std::string& name = scheduler.machines()[service().attempts.at(replica).machine]->name;
    return std::stoi(name.substr(2));
  }

  Scheduler scheduler;
  uint64_t revision = 100;
  uint64_t seq = 0;
};

TEST_F(Services, ReplicasRunOnDifferentMachines) {
  submit(kService, 4, 1);
  run_on(4, 1);
  EXPECT_EQ(running(), 4u);
  std::set<int> machines;
  for (uint32_t r = 0; r < 4; ++r) machines.insert(machine_of(r));
  EXPECT_EQ(machines.size(), 4u);
}

// Whatever its replicas say, a service is not over until its user cancels it.
TEST_F(Services, AReplicaThatEndsRunsAgainUnderANewAttempt) {
  submit(kService, 2, 1);
  run_on(2, 1);
  for (const ExitCause cause :
       {ExitCause::done, ExitCause::error, ExitCause::insufficient_resources}) {
    const auto now = static_cast<double>(100 * (1 + static_cast<int>(cause)));
    const uint64_t before = service().attempts.at(0).number;
    const int machine = machine_of(0);
    for (int i = 1; i <= 2; ++i) report(i, now);
    report(machine, now + 1, {{{kService, 0}, cause}});
    commit_all(now + 1);
    for (double t = now + 1; t < now + 70; t += 2) {
      for (int i = 1; i <= 2; ++i) report(i, t);
      round(t);
    }
    ASSERT_EQ(service().state, JobState::open);
    EXPECT_EQ(service().done_count, 0u);
    ASSERT_TRUE(service().attempts.count(0)) << static_cast<int>(cause);
    EXPECT_GT(service().attempts.at(0).number, before);
  }
}

// Never two at once: the end of the first is durable before the next one is proposed.
TEST_F(Services, NoReplicaRunsAgainBeforeItsEndIsReported) {
  submit(kService, 1, 1);
  run_on(2, 1);
  const int machine = machine_of(0);
  const int other = 3 - machine;
  for (double now = 2; now < 10; now += 1) {  // it is silent
    report(other, now);
    round(now);
    EXPECT_EQ(machine_of(0), machine);
  }
  report(machine, 10, {{{kService, 0}, ExitCause::done}});
  scheduler.round(10);
  EXPECT_EQ(service().attempts.at(0).state, AttemptState::ended);
}

// One whose replicas end at once each time is started ever less often.
TEST_F(Services, ReplicasThatEndAtOnceBackOff) {
  submit(kService, 1, 1);
  run_on(1, 1);
  size_t starts = 1;
  uint64_t number = service().attempts.at(0).number;
  for (double now = 2; now < 122; now += 0.5) {
    if (running() > 0)
      report(1, now, {{{kService, 0}, ExitCause::done}});
    else
      report(1, now);
    round(now);
    if (!service().attempts.count(0) || service().attempts.at(0).number == number) continue;
    number = service().attempts.at(0).number;
    ++starts;
  }
  EXPECT_GE(starts, 4u) << "it is never given up";
  EXPECT_LE(starts, 9u);
}

// Replicas never exit with success, by which other jobs show that neither they nor their machines
// are faulty: that they run on does.
TEST_F(Services, AReplicaThatRunsOnClearsEarlierErrors) {
  submit(kService, 3, 1);
  run_on(4, 1);
  double now = 20;
  for (int k = 0; k < 3; ++k) {
    for (int i = 1; i <= 4; ++i) report(i, now);
    report(machine_of(0), now + 1, {{{kService, 0}, ExitCause::error}});
    commit_all(now + 1);
    for (double t = now + 1; t < now + 40; t += 1) {
      for (int i = 1; i <= 4; ++i) report(i, t);
      round(t);
    }
    ASSERT_EQ(running(), 3u) << "after " << k + 1 << " errors far apart";
    EXPECT_TRUE(service().failed_machines.empty());
    now += 60;
  }
}

TEST_F(Services, AReplicaMovesOffAMachineThatIsRecalled) {
  submit(kService, 4, 1);
  run_on(4, 1);
  const int machine = machine_of(0);
  for (int i = 1; i <= 4; ++i) report(i, 20);
  const HeartbeatReply reply = report(machine, 21, {}, 12);
  EXPECT_TRUE(std::any_of(reply.commands.begin(), reply.commands.end(), [](const WorkerCommand& o) {
    return o.kind == CommandKind::stop && o.job == kService && o.task == 0;
  }));
}

// Of one service few at a time, as long as the notice leaves time for the others.
TEST_F(Services, ManyRecallsAtOnceLeaveMostOfAServiceUp) {
  submit(kService, 4, 1);
  run_on(4, 1);
  for (int i = 1; i <= 4; ++i) report(i, 20);
  for (int i = 1; i <= 4; ++i) report(i, 21, {}, 60);
  const auto stopped = std::count_if(service().attempts.begin(), service().attempts.end(),
                                     [](const auto& a) { return a.second.stop_requested; });
  EXPECT_EQ(stopped, 1);
  for (int i = 1; i <= 4; ++i) report(i, 26, {}, 3);
  EXPECT_TRUE(std::all_of(service().attempts.begin(), service().attempts.end(),
                          [](const auto& a) { return a.second.stop_requested; }));
}

// A lost replica goes before work of equal rank that came long after its service.
TEST_F(Services, AMissingReplicaGoesFirst) {
  submit(kService, 1, 1);
  run_on(1, 1);
  submit(kOther, 100, 30, JobShape::array);
  report(1, 30);
  report(1, 31, {{{kService, 0}, ExitCause::none}});
  scheduler.on_heartbeat(bare_heartbeat(1, ++seq, kLeaderToken), 32);  // it lists no task
  commit_all(45);
  report(1, 45);
  round(45);
  ASSERT_TRUE(service().attempts.count(0));
}

// Version 0.1 takes a service for an array and may have written that a replica is done.
TEST_F(Services, WhatALeaderOfVersion01TookForDoneRunsAgain) {
  LedgerCache m;
  ledger::JobRow row;
  row.tasks = row.chunk_size = 2;
  row.spec = JobSpec{};
  row.spec->team = "team";
  row.spec->shape = JobShape::service;
  row.spec->per_task = {1, 1, 1};
  m.put(ledger::job_key(kService), ledger::encode(row), 3);
  m.put("rd/t/0", nlohmann::json::parse(R"({"w":"x","e":[["wk-000001",0,1,[0,1],[]]]})"), 4);
  scheduler.load(m, 0);
  EXPECT_EQ(service().waiting.size(), 2u);
  EXPECT_EQ(service().done_count, 0u);
}

}  // namespace
}  // namespace rookdyke
