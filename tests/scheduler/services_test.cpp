// Services: replicas that run until their job is cancelled, and are restarted whenever they end.

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
constexpr const char* kOtherJob = "wk-000002";

// A leader with a few machines whose heartbeats the test writes by hand.
class Services : public testing::Test {
 protected:
  Services() : scheduler(settings(), {bare_type()}, kLeaderToken, 0) {}

  // No machine is drained: moving replicas off nearly empty machines is tested by scenarios.
  static Settings settings() {
    Settings settings = bare_settings();
    settings.tuning.scale_in_delay_s = 1e6;
    return settings;
  }

  void submit(const std::string& id, uint32_t replicas, double now,
              JobShape shape = JobShape::service, Priority priority = Priority::critical) {
    CachedJob job = bare_job(replicas, {2, 0, 4}, ++revision);
    job.row.spec->shape = shape;
    job.row.spec->priority = priority;
    scheduler.on_job_row(job, id, now);
  }
  // Sends a heartbeat of the machine that lists all its tasks as running, except those in `ends`,
  // which it lists as exited.
  HeartbeatReply send_heartbeat(int machine, double now,
                                std::map<std::pair<std::string, uint32_t>, ExitCause> ends = {},
                                double notice_s = -1) {
    Heartbeat heartbeat = bare_heartbeat(machine, ++seq, kLeaderToken);
    heartbeat.notice_s = notice_s;
    for (const auto& m : scheduler.machines()) {
      if (m->name != heartbeat.machine) continue;
      for (const std::string id : {kService, kOtherJob}) {
        const Job* job = scheduler.find_job(id);
        if (!job) continue;
        for (const auto& [task, a] : job->attempts) {
          if (a.machine != m->index || a.state == AttemptState::proposed) continue;
          const auto end = ends.find({id, task});
          const bool has_ended = end != ends.end();
          heartbeat.tasks.push_back({id, task, a.number,
                                     has_ended ? TaskPhase::exited : TaskPhase::running,
                                     has_ended ? end->second : ExitCause::none, false});
        }
      }
    }
    return scheduler.on_heartbeat(heartbeat, now);
  }
  void commit_all(double now) {
    while (auto p = scheduler.next_transaction(now))
      scheduler.on_result(p->id, {Outcome::applied, ++revision, {}}, now);
  }
  void round(double now) {
    scheduler.round(now);
    commit_all(now);
  }
  // Places the waiting tasks on the machines, makes their starts durable and runs them.
  void start_on(int machines, double now) {
    for (int i = 1; i <= machines; ++i) send_heartbeat(i, now);
    round(now);
    for (int i = 1; i <= machines; ++i) send_heartbeat(i, now + 0.5);
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
  start_on(4, 1);
  EXPECT_EQ(running(), 4u);
  std::set<int> machines;
  for (uint32_t r = 0; r < 4; ++r) machines.insert(machine_of(r));
  EXPECT_EQ(machines.size(), 4u);
}

// However its replicas exit, a service is not finished until its user cancels it.
TEST_F(Services, AReplicaThatEndsRunsAgainUnderANewAttempt) {
  submit(kService, 2, 1);
  start_on(2, 1);
  for (const ExitCause cause :
       {ExitCause::done, ExitCause::error, ExitCause::insufficient_resources}) {
    const auto now = static_cast<double>(100 * (1 + static_cast<int>(cause)));
    const uint64_t before = service().attempts.at(0).number;
    const int machine = machine_of(0);
    for (int i = 1; i <= 2; ++i) send_heartbeat(i, now);
    send_heartbeat(machine, now + 1, {{{kService, 0}, cause}});
    commit_all(now + 1);
    for (double t = now + 1; t < now + 70; t += 2) {
      for (int i = 1; i <= 2; ++i) send_heartbeat(i, t);
      round(t);
    }
    ASSERT_EQ(service().state, JobState::open);
    EXPECT_EQ(service().done_count, 0u);
    ASSERT_TRUE(service().attempts.count(0)) << static_cast<int>(cause);
    EXPECT_GT(service().attempts.at(0).number, before);
  }
}

// Two attempts of a replica never run at the same time: the end of the first is durable before the
// next one is proposed.
TEST_F(Services, NoReplicaRunsAgainBeforeItsEndIsReported) {
  submit(kService, 1, 1);
  start_on(2, 1);
  const int machine = machine_of(0);
  const int other = 3 - machine;
  for (double now = 2; now < 10; now += 1) {  // `machine` sends no heartbeats
    send_heartbeat(other, now);
    round(now);
    EXPECT_EQ(machine_of(0), machine);
  }
  send_heartbeat(machine, 10, {{{kService, 0}, ExitCause::done}});
  scheduler.round(10);
  EXPECT_EQ(service().attempts.at(0).state, AttemptState::ended);
}

// A service whose replicas always end immediately is restarted with an increasing back-off.
TEST_F(Services, ReplicasThatEndAtOnceBackOff) {
  submit(kService, 1, 1);
  start_on(1, 1);
  size_t starts = 1;
  uint64_t number = service().attempts.at(0).number;
  for (double now = 2; now < 122; now += 0.5) {
    if (running() > 0)
      send_heartbeat(1, now, {{{kService, 0}, ExitCause::done}});
    else
      send_heartbeat(1, now);
    round(now);
    if (!service().attempts.count(0) || service().attempts.at(0).number == number) continue;
    number = service().attempts.at(0).number;
    ++starts;
  }
  EXPECT_GE(starts, 4u) << "the service must be retried indefinitely";
  EXPECT_LE(starts, 9u);
}

// Other jobs show by tasks that succeed that neither they nor their machines are faulty. Replicas
// never succeed, so a replica that keeps running counts as a success.
TEST_F(Services, AReplicaThatKeepsRunningClearsEarlierErrors) {
  submit(kService, 3, 1);
  start_on(4, 1);
  double now = 20;
  for (int k = 0; k < 3; ++k) {
    for (int i = 1; i <= 4; ++i) send_heartbeat(i, now);
    send_heartbeat(machine_of(0), now + 1, {{{kService, 0}, ExitCause::error}});
    commit_all(now + 1);
    for (double t = now + 1; t < now + 40; t += 1) {
      for (int i = 1; i <= 4; ++i) send_heartbeat(i, t);
      round(t);
    }
    ASSERT_EQ(running(), 3u) << "after " << k + 1 << " errors far apart";
    EXPECT_TRUE(service().failed_machines.empty());
    now += 60;
  }
}

TEST_F(Services, AReplicaMovesOffAMachineWithAReclaimNotice) {
  submit(kService, 4, 1);
  start_on(4, 1);
  const int machine = machine_of(0);
  for (int i = 1; i <= 4; ++i) send_heartbeat(i, 20);
  const HeartbeatReply reply = send_heartbeat(machine, 21, {}, 12);
  EXPECT_TRUE(
      std::any_of(reply.commands.begin(), reply.commands.end(), [](const WorkerCommand& command) {
        return command.kind == CommandKind::stop && command.job == kService && command.task == 0;
      }));
}

// Only a few replicas of a service are stopped at a time, as long as the reclaim notice leaves time
// to move the others later.
TEST_F(Services, SimultaneousReclaimNoticesLeaveMostOfAServiceRunning) {
  submit(kService, 4, 1);
  start_on(4, 1);
  for (int i = 1; i <= 4; ++i) send_heartbeat(i, 20);
  for (int i = 1; i <= 4; ++i) send_heartbeat(i, 21, {}, 60);
  const auto stopped = std::count_if(service().attempts.begin(), service().attempts.end(),
                                     [](const auto& a) { return a.second.stop_requested; });
  EXPECT_EQ(stopped, 1);
  for (int i = 1; i <= 4; ++i) send_heartbeat(i, 26, {}, 3);
  EXPECT_TRUE(std::all_of(service().attempts.begin(), service().attempts.end(),
                          [](const auto& a) { return a.second.stop_requested; }));
}

// A missing replica is placed before tasks of equal priority that were submitted long after its
// service.
TEST_F(Services, AMissingReplicaIsPlacedBeforeLaterJobs) {
  submit(kService, 1, 1);
  start_on(1, 1);
  submit(kOtherJob, 100, 30, JobShape::array);
  send_heartbeat(1, 30);
  send_heartbeat(1, 31, {{{kService, 0}, ExitCause::none}});
  scheduler.on_heartbeat(bare_heartbeat(1, ++seq, kLeaderToken), 32);  // without tasks
  commit_all(45);
  send_heartbeat(1, 45);
  round(45);
  ASSERT_TRUE(service().attempts.count(0));
}

// Version 0.1 treats a service as an array and may have recorded a replica as done.
TEST_F(Services, ReplicasThatVersion01RecordedAsDoneRunAgain) {
  LedgerCache ledger_cache;
  ledger::JobRow row;
  row.tasks = row.chunk_size = 2;
  row.spec = JobSpec{};
  row.spec->team = "team";
  row.spec->shape = JobShape::service;
  row.spec->per_task = {1, 1, 1};
  ledger_cache.put(ledger::job_key(kService), ledger::encode(row), 3);
  ledger_cache.put("rd/t/0", nlohmann::json::parse(R"({"w":"x","e":[["wk-000001",0,1,[0,1],[]]]})"),
                   4);
  scheduler.load(ledger_cache, 0);
  EXPECT_EQ(service().waiting.size(), 2u);
  EXPECT_EQ(service().done_count, 0u);
}

}  // namespace
}  // namespace rookdyke
