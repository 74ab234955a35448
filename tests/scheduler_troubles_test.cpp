// The scheduler over minutes, with a few machines that report every second: jobs that fail
// everywhere, teams without a guarantee, machines that never come up, a burst that was not
// foreseen.

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "fleet/forecast.h"
#include "scheduler/scheduler.h"
#include "scheduler_fixtures.h"

namespace rookdyke {
namespace {

using namespace test;

constexpr uint64_t kToken = 7;

// A leader, machines of 4 GPUs that do what they are told, and a ledger that takes every write.
class Deployment : public testing::Test {
 protected:
  explicit Deployment(std::vector<TeamQuota> teams = {{"team", 0, 0, 0, 0}})
      : scheduler(settings(std::move(teams)), {bare_type()}, kToken, 0) {}
  static Settings settings(std::vector<TeamQuota> teams) {
    Settings s = bare_settings();
    s.heartbeat_interval_s = 1;
    s.teams = std::move(teams);
    s.tuning.scale_in_delay_s = 1e6;  // no machine is drained in these tests
    return s;
  }
  void add_machine(int number) { workers_.push_back({number, 0, {}}); }
  void add_machines(int n) {
    for (int i = 0; i < n; ++i) add_machine(i);
  }
  // A job whose tasks run for so long; negative: they fail.
  void submit(const std::string& id, uint32_t tasks, double gpus, double run_s,
              const std::string& team = "team") {
    CachedJob job;
    job.version = ++revision_;
    job.row.tasks = job.row.chunk_size = tasks;
    job.row.spec = JobSpec{};
    job.row.spec->team = team;
    job.row.spec->per_task = {1, gpus, 1};
    job.row.spec->expected_runtime_s = std::abs(run_s);
    run_s_[id] = run_s;
    rows_[id] = job;
    scheduler.on_job_row(job, id, now);
  }
  void cancel(const std::string& id) {
    CachedJob& job = rows_.at(id);
    job.version = ++revision_;
    job.row.status = ledger::JobStatus::cancelled;
    scheduler.on_job_row(job, id, now);
  }
  void run_until(double end) {
    while (now < end) {
      now += 1;
      for (Worker& w : workers_) report(w);
      scheduler.round(now);
      while (auto p = scheduler.next_transaction(now))
        scheduler.on_result(p->id, {ledger::Outcome::applied, ++revision_, {}}, now);
    }
  }
  size_t running(const std::string& id) const {
    size_t n = 0;
    for (const Worker& w : workers_)
      for (const auto& [k, t] : w.tasks)
        n += t.report.job == id && t.report.phase == TaskPhase::running;
    return n;
  }
  size_t most_at_once(const std::string& id) const {
    const auto it = most_.find(id);
    return it == most_.end() ? 0 : it->second;
  }

  Scheduler scheduler;
  double now = 0;
  std::map<std::string, size_t> starts, ends;

 private:
  struct Task {
    TaskStatus report;
    double ends_at = 0;
  };
  struct Worker {
    int number = 0;
    uint64_t seq = 0;
    std::map<std::tuple<std::string, uint32_t, uint64_t>, Task> tasks;
  };
  void report(Worker& w) {
    Heartbeat r = bare_heartbeat(w.number, ++w.seq, kToken);
    for (auto& [k, t] : w.tasks) {
      if (t.report.phase == TaskPhase::running && now >= t.ends_at) {
        t.report.phase = TaskPhase::exited;
        t.report.cause = run_s_.at(t.report.job) < 0 ? ExitCause::error : ExitCause::done;
        ends[t.report.job] += t.report.cause == ExitCause::done;
      }
      r.tasks.push_back(t.report);
    }
    for (const WorkerCommand& o : scheduler.on_heartbeat(r, now).commands) obey(w, o);
  }
  void obey(Worker& w, const WorkerCommand& o) {
    const auto key = std::make_tuple(o.job, o.task, o.attempt);
    if (o.verb == CommandKind::forget) {
      w.tasks.erase(key);
    } else if (o.verb == CommandKind::stop) {
      auto t = w.tasks.find(key);
      if (t == w.tasks.end() || t->second.report.phase == TaskPhase::exited) return;
      t->second.report.phase = TaskPhase::exited;
      t->second.report.cause = ExitCause::stopped;
    } else if (!w.tasks.count(key)) {
      w.tasks[key] = {{o.job, o.task, o.attempt, TaskPhase::running, ExitCause::none, false},
                      now + std::abs(run_s_.at(o.job))};
      ++starts[o.job];
      most_[o.job] = std::max(most_[o.job], running(o.job));
    }
  }

  std::vector<Worker> workers_;
  std::map<std::string, double> run_s_;
  std::map<std::string, CachedJob> rows_;
  std::map<std::string, size_t> most_;
  uint64_t revision_ = 100;
};

// ---- a job that fails everywhere is told from a machine that fails everything

TEST_F(Deployment, AFaultyArrayCondemnsNoMachineAndCanBeCancelled) {
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
TEST_F(Deployment, AFaultyArrayIsTriedWithOneTaskAtATime) {
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

TEST_F(Deployment, AFaultyArrayAsksForOneTasksRoom) {
  add_machines(6);
  submit("wk-000001", 48, 4, -2);
  run_until(2);
  EXPECT_GE(scheduler.summary(now).target, 40);  // not known yet
  run_until(180);
  EXPECT_LE(scheduler.summary(now).target, 2);
}

TEST_F(Deployment, AFaultyArrayLeavesTheMachinesToOthers) {
  add_machines(6);
  submit("wk-000001", 48, 4, -2);
  run_until(60);
  submit("wk-000002", 6, 4, 5);
  run_until(64);
  EXPECT_GE(running("wk-000002"), 5u);
  run_until(80);
  EXPECT_EQ(ends["wk-000002"], 6u);
}

// ---- a team without a guarantee, next to one that has one

class Guests : public Deployment {
 protected:
  Guests() : Deployment({{"team", 16, 0, 8, 0}, {"guests", 0, 0, 0, 0}}) { add_machines(4); }
  // Half of the machines are guaranteed: work within that has them in a few seconds, and the rest
  // stays with the guests.
  void expect_guarantee_is_kept() {
    submit("wk-900000", 4, 2, 60);
    run_until(now + 8);
    EXPECT_EQ(running("wk-900000"), 4u);
    run_until(now + 10);
    EXPECT_EQ(running("wk-900000"), 4u);
  }
};

TEST_F(Guests, AGiantArrayBorrowsWhatIsUnusedAndGivesItBack) {
  submit("wk-000001", 2000, 1, 300, "guests");
  run_until(20);
  EXPECT_EQ(running("wk-000001"), 16u);
  expect_guarantee_is_kept();
  EXPECT_EQ(running("wk-000001"), 8u);
  run_until(now + 60);  // the guaranteed job is done
  EXPECT_EQ(running("wk-000001"), 16u);
}

TEST_F(Guests, ASwarmOfJobsBorrowsWhatIsUnusedAndGivesItBack) {
  for (int i = 0; i < 200; ++i) submit("wk-" + std::to_string(100000 + i), 1, 1, 300, "guests");
  const auto swarm = [&] {
    size_t n = 0;
    for (int i = 0; i < 200; ++i) n += running("wk-" + std::to_string(100000 + i));
    return n;
  };
  run_until(20);
  EXPECT_EQ(swarm(), 16u);
  expect_guarantee_is_kept();
  EXPECT_EQ(swarm(), 8u);
  run_until(now + 60);
  EXPECT_EQ(swarm(), 16u);
}

// Guaranteed work without end that would fill all machines: the guests' array begins all the same.
TEST_F(Guests, AGiantArrayDoesNotStarve) {
  for (int i = 0; i < 160; ++i) {
    for (int k = 0; k < 2; ++k) submit("wk-" + std::to_string(100000 + 2 * i + k), 1, 1, 10);
    if (i == 20) submit("wk-000001", 2000, 1, 5, "guests");
    run_until(now + 1);
  }
  EXPECT_GE(starts["wk-000001"], 1u);
}

// The turn of a starved array lasts until its share has begun, however few places are free at a
// time. The share is a sixteenth of its tasks or of the fleet's 24 places, four at least.
TEST_F(Guests, AStarvedArraysTurnIsNotOverWithItsFirstTasks) {
  for (int i = 0; i < 180; ++i) {
    for (int k = 0; k < 2; ++k) submit("wk-" + std::to_string(100000 + 2 * i + k), 1, 1, 10);
    if (i == 20) submit("wk-000001", 320, 1, 5, "guests");
    run_until(now + 1);
  }
  EXPECT_GE(starts["wk-000001"], 4u);
}

// ---- machines that never come up

TEST_F(Deployment, MachinesThatNeverComeUpAreReplacedAsNeededAndReturned) {
  submit("wk-000001", 4, 4, 1000);
  std::set<std::string> returned;
  size_t rented = 0, at_first = 0;
  const std::set<std::string> never_up = {"m-1", "m-2"};
  while (now < 400) {
    run_until(now + 1);
    while (auto h = scheduler.next_rental_request(now)) {
      std::vector<std::string> names;
      names.reserve(static_cast<size_t>(h->count));
      for (int i = 0; i < h->count; ++i) names.push_back("m-" + std::to_string(rented++));
      scheduler.on_rental_result(*h, CloudOutcome::done, names, now);
    }
    const auto names = scheduler.next_return(now);
    returned.insert(names.begin(), names.end());
    if (!names.empty()) scheduler.on_return(names, CloudOutcome::done, now);
    // All others come up after the time that the cloud publishes.
    if (now == 60) at_first = rented;
    if (now == 60 || now == 180)
      for (const auto& m : scheduler.machines())
        if (!never_up.count(m->name) && !m->registered) add_machine(std::stoi(m->name.substr(2)));
  }
  EXPECT_EQ(at_first, 5u);  // one to spare
  EXPECT_EQ(rented, 6u);
  EXPECT_EQ(running("wk-000001"), 4u);
  EXPECT_EQ(returned, never_up);
}

// ---- a burst that was not foreseen

// One giant miss counts for as long as misses are kept, a minute, and then holds nothing up.
TEST(Forecast, AGiantMissIsForgottenAfterAMinute) {
  const Tuning tuning;
  Forecast f(tuning, 50);
  const Resources machine = {16, 4, 64};
  double last_high = 0, high = 0;
  for (double t = 0; t <= 400; t += tuning.sample_s) {
    const bool burst = t >= 200 && t < 250;
    f.sample(t, burst ? Resources{1600, 400, 6400} : Resources{16, 4, 64});
    if (f.target(machine) > 2) last_high = t;
    if (t == 220) high = f.target(machine);
  }
  EXPECT_LE(last_high, 250 + tuning.history * tuning.sample_s);
  EXPECT_GE(last_high, 250);
  EXPECT_GE(high, 100);
}

}  // namespace
}  // namespace rookdyke
