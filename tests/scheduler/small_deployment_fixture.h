#pragma once
// What tests of the scheduler over minutes share: machines that send a heartbeat every second and
// execute their commands, and a ledger that accepts every write.

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "scheduler/scheduler.h"
#include "scheduler/scheduler_fixtures.h"

namespace rookdyke::test {

// A leader, machines of 4 GPUs that execute their commands, and a ledger that accepts every write.
class SmallDeployment : public testing::Test {
 protected:
  explicit SmallDeployment(std::vector<TeamQuota> teams = {{"team", 0, 0, 0, 0}})
      : scheduler(settings(std::move(teams)), {bare_type()}, kLeaderToken, 0) {}
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
      for (const auto& [key, task] : w.tasks)
        n += task.report.job == id && task.report.phase == TaskPhase::running;
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
    Heartbeat r = bare_heartbeat(w.number, ++w.seq, kLeaderToken);
    for (auto& [key, task] : w.tasks) {
      if (task.report.phase == TaskPhase::running && now >= task.ends_at) {
        task.report.phase = TaskPhase::exited;
        task.report.cause = run_s_.at(task.report.job) < 0 ? ExitCause::error : ExitCause::done;
        ends[task.report.job] += task.report.cause == ExitCause::done;
      }
      r.tasks.push_back(task.report);
    }
    for (const WorkerCommand& o : scheduler.on_heartbeat(r, now).commands) execute(w, o);
  }
  void execute(Worker& w, const WorkerCommand& o) {
    const auto key = std::make_tuple(o.job, o.task, o.attempt);
    if (o.kind == CommandKind::forget) {
      w.tasks.erase(key);
    } else if (o.kind == CommandKind::stop) {
      auto task = w.tasks.find(key);
      if (task == w.tasks.end() || task->second.report.phase == TaskPhase::exited) return;
      task->second.report.phase = TaskPhase::exited;
      task->second.report.cause = ExitCause::stopped;
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

}  // namespace rookdyke::test
