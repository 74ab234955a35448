#pragma once
// Builders shared by the scheduler tests: settings and a machine type of a small deployment, jobs,
// heartbeats, and rows of the ledger.

#include <string>

#include "scheduler/scheduler.h"

namespace rookdyke::test {

// The fencing token of the leader in most of these tests.
inline constexpr uint64_t kLeaderToken = 7;

inline Settings bare_settings() {
  Settings settings;
  settings.label = "n0";
  settings.zones = {"a"};
  settings.teams = {{"team", 0, 0, 0, 0}};
  settings.heartbeat_interval_s = 5;
  settings.lease_s = 29;
  settings.list_lag_s = 3;
  return settings;
}

inline MachineType bare_type() {
  MachineType type;
  type.name = "box";
  type.size = {16, 4, 64};
  type.cache_gb = 100;
  type.price = 4;
  type.spot_price = 1;
  type.boot_s = 50;
  type.zones = {"a"};
  return type;
}

// A job of team "team" as read from its row, with all tasks in a single chunk.
inline CachedJob bare_job(uint32_t tasks, const Resources& per_task, uint64_t version) {
  CachedJob job;
  job.version = version;
  job.row.tasks = job.row.chunk_size = tasks;
  job.row.spec = JobSpec{};
  job.row.spec->team = "team";
  job.row.spec->per_task = per_task;
  return job;
}

inline Heartbeat bare_heartbeat(int machine, uint64_t seq, uint64_t fencing_token) {
  Heartbeat heartbeat;
  heartbeat.machine = "m-" + std::to_string(machine);
  heartbeat.addr = "10.0.0.1:1";
  heartbeat.type = "box";
  heartbeat.zone = "a";
  heartbeat.epoch = 1;
  heartbeat.seq = seq;
  heartbeat.fencing_token = fencing_token;
  return heartbeat;
}

inline MachineState state_of(const Scheduler& scheduler, int machine) {
  for (const auto& m : scheduler.machines())
    if (m->name == "m-" + std::to_string(machine)) return m->state;
  return MachineState::terminated;
}

// A ledger with one job of seven tasks, three per chunk, in the given status. Its first task has an
// attempt on m-1.
inline LedgerCache ledger_with_task_on_m1(ledger::JobStatus status, double timestamp_s) {
  LedgerCache ledger_cache;
  ledger::JobRow row;
  row.status = status;
  row.tasks = 7;
  row.chunk_size = 3;
  row.timestamp_s = timestamp_s;
  row.spec = JobSpec{};
  row.spec->team = "team";
  row.spec->per_task = {1, 1, 1};
  ledger_cache.put("rd/j/wk-000001", ledger::encode(row), 3);
  ledger_cache.put("rd/t/0",
                   nlohmann::json::parse(R"({"w":"x","e":[["wk-000001",0,1,[],[[0,1,"m-1",1]]]]})"),
                   4);
  return ledger_cache;
}

// The row of an open job of team "t" with seven tasks, three per chunk.
inline nlohmann::json open_job_row() {
  ledger::JobRow row;
  row.tasks = 7;
  row.chunk_size = 3;
  row.spec = JobSpec{};
  row.spec->team = "t";
  return ledger::encode(row);
}

// A leader that took over at time 0, with one zone, one machine type and team "t".
inline Scheduler one_zone_scheduler() {
  MachineType type;
  type.name = "box";
  type.size = {16, 4, 64};
  type.cache_gb = 100;
  type.zones = {"a"};
  Settings settings;
  settings.zones = {"a"};
  settings.teams = {{"t", 0, 0, 0, 0}};
  return Scheduler(settings, {type}, kLeaderToken, 0);
}

// A heartbeat of m-1 whose epoch, sequence number and fencing token are not set.
inline Heartbeat heartbeat_of_m1() {
  Heartbeat heartbeat;
  heartbeat.machine = "m-1";
  heartbeat.addr = "h:1";
  heartbeat.type = "box";
  heartbeat.zone = "a";
  return heartbeat;
}

// A job of team "t" with a single task, as read from its row.
inline CachedJob one_task_job(uint64_t version) {
  CachedJob job;
  job.version = version;
  job.row.tasks = job.row.chunk_size = 1;
  job.row.spec = JobSpec{};
  job.row.spec->team = "t";
  return job;
}

}  // namespace rookdyke::test
