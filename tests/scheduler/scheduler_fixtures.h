#pragma once
// What tests of the scheduler by itself share: a small deployment, heartbeats written by hand, rows
// of a ledger.

#include <string>

#include "scheduler/scheduler.h"

namespace rookdyke::test {

// The fencing token of the leader in most of these tests.
inline constexpr uint64_t kLeaderToken = 7;

inline Settings bare_settings() {
  Settings s;
  s.label = "n0";
  s.zones = {"a"};
  s.teams = {{"team", 0, 0, 0, 0}};
  s.heartbeat_interval_s = 5;
  s.lease_s = 29;
  s.list_lag_s = 3;
  return s;
}

inline MachineType bare_type() {
  MachineType t;
  t.name = "box";
  t.size = {16, 4, 64};
  t.cache_gb = 100;
  t.price = 4;
  t.spot_price = 1;
  t.boot_s = 50;
  t.zones = {"a"};
  return t;
}

// A job of the team "team" as its row tells, in a single chunk.
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
  Heartbeat r;
  r.machine = "m-" + std::to_string(machine);
  r.addr = "10.0.0.1:1";
  r.type = "box";
  r.zone = "a";
  r.epoch = 1;
  r.seq = seq;
  r.fencing_token = fencing_token;
  return r;
}

inline MachineState state_of(const Scheduler& scheduler, int machine) {
  for (const auto& m : scheduler.machines())
    if (m->name == "m-" + std::to_string(machine)) return m->state;
  return MachineState::terminated;
}

// A ledger with a job of seven tasks, cancelled or not, the first of them on m-1.
inline LedgerCache ledger_with_a_task_on_m1(ledger::JobStatus status, double timestamp_s) {
  LedgerCache m;
  ledger::JobRow row;
  row.status = status;
  row.tasks = 7;
  row.chunk_size = 3;
  row.timestamp_s = timestamp_s;
  row.spec = JobSpec{};
  row.spec->team = "team";
  row.spec->per_task = {1, 1, 1};
  m.put("rd/j/wk-000001", ledger::encode(row), 3);
  m.put("rd/t/0", nlohmann::json::parse(R"({"w":"x","e":[["wk-000001",0,1,[],[[0,1,"m-1",1]]]]})"),
        4);
  return m;
}

// The row of an open job of seven tasks, three a chunk, of the team "t".
inline nlohmann::json open_job_row() {
  ledger::JobRow row;
  row.tasks = 7;
  row.chunk_size = 3;
  row.spec = JobSpec{};
  row.spec->team = "t";
  return ledger::encode(row);
}

// A leader with that token at time 0, for teams named "t".
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

// A heartbeat of m-1 without epoch, number and token.
inline Heartbeat heartbeat_of_m1() {
  Heartbeat r;
  r.machine = "m-1";
  r.addr = "h:1";
  r.type = "box";
  r.zone = "a";
  return r;
}

// A job with a single task, as its row tells.
inline CachedJob one_task_job(uint64_t version) {
  CachedJob job;
  job.version = version;
  job.row.tasks = job.row.chunk_size = 1;
  job.row.spec = JobSpec{};
  job.row.spec->team = "t";
  return job;
}

}  // namespace rookdyke::test
