#pragma once
// Fixture for scheduler tests that span minutes: machines send a heartbeat every second and execute
// their commands, and the ledger accepts every write.

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

// A leader, machines with 4 GPUs each, and a ledger.
class SmallDeployment : public testing::Test {
 protected:
  explicit SmallDeployment(std::vector<TeamQuota> teams = {{"team", 0, 0, 0, 0}})
      : scheduler(settings(std::move(teams)), {bare_type()}, kLeaderToken, 0) {}
  static Settings settings(std::vector<TeamQuota> teams) {
    Settings settings = bare_settings();
    settings.heartbeat_interval_s = 1;
    settings.teams = std::move(teams);
    settings.tuning.scale_in_delay_s = 1e6;  // no machine is drained in these tests
    return settings;
  }
  void add_machine(int number) { workers_.push_back({number, 0, {}}); }
  void add_machines(int n) {
    for (int i = 0; i < n; ++i) add_machine(i);
  }
  // Submits a job whose tasks succeed after `run_s` seconds or, if it is negative, fail after
  // `-run_s` seconds.
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
  // From now on, tasks of the job that start succeed after `run_s` seconds.
  void repair(const std::string& id, double run_s) { run_s_.at(id) = run_s; }
  void cancel(const std::string& id) {
    CachedJob& job = rows_.at(id);
    job.version = ++revision_;
    job.row.status = ledger::JobStatus::cancelled;
    scheduler.on_job_row(job, id, now);
  }
  void run_until(double end) {
    while (now < end) {
      now += 1;
      for (Worker& worker : workers_) send_heartbeat(worker);
      scheduler.round(now);
      while (auto p = scheduler.next_transaction(now))
        scheduler.on_result(p->id, {ledger::Outcome::applied, ++revision_, {}}, now);
    }
  }
  size_t running(const std::string& id) const {
    size_t n = 0;
    for (const Worker& worker : workers_)
      for (const auto& [key, task] : worker.tasks)
        n += task.status.job == id && task.status.phase == TaskPhase::running;
    return n;
  }
  size_t max_running(const std::string& id) const {
    const auto it = max_running_.find(id);
    return it == max_running_.end() ? 0 : it->second;
  }

  Scheduler scheduler;
  double now = 0;
  std::map<std::string, size_t> starts, completions;

 private:
  struct Task {
    TaskStatus status;
    double ends_at = 0;
  };
  struct Worker {
    int number = 0;
    uint64_t seq = 0;
    std::map<std::tuple<std::string, uint32_t, uint64_t>, Task> tasks;
  };
  void send_heartbeat(Worker& worker) {
    Heartbeat heartbeat = bare_heartbeat(worker.number, ++worker.seq, kLeaderToken);
    for (auto& [key, task] : worker.tasks) {
      if (task.status.phase == TaskPhase::running && now >= task.ends_at) {
        task.status.phase = TaskPhase::exited;
        task.status.cause = run_s_.at(task.status.job) < 0 ? ExitCause::error : ExitCause::done;
        completions[task.status.job] += task.status.cause == ExitCause::done;
      }
      heartbeat.tasks.push_back(task.status);
    }
    for (const WorkerCommand& command : scheduler.on_heartbeat(heartbeat, now).commands)
      execute(worker, command);
  }
  void execute(Worker& worker, const WorkerCommand& command) {
    const auto key = std::make_tuple(command.job, command.task, command.attempt);
    if (command.kind == CommandKind::forget) {
      worker.tasks.erase(key);
    } else if (command.kind == CommandKind::stop) {
      auto task = worker.tasks.find(key);
      if (task == worker.tasks.end() || task->second.status.phase == TaskPhase::exited) return;
      task->second.status.phase = TaskPhase::exited;
      task->second.status.cause = ExitCause::stopped;
    } else if (!worker.tasks.count(key)) {
      worker.tasks[key] = {
          {command.job, command.task, command.attempt, TaskPhase::running, ExitCause::none, false},
          now + std::abs(run_s_.at(command.job))};
      ++starts[command.job];
      max_running_[command.job] = std::max(max_running_[command.job], running(command.job));
    }
  }

  std::vector<Worker> workers_;
  std::map<std::string, double> run_s_;
  std::map<std::string, CachedJob> rows_;
  std::map<std::string, size_t> max_running_;
  uint64_t revision_ = 100;
};

}  // namespace rookdyke::test
