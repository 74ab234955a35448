#pragma once
// What tests of the core by itself share: a small deployment, reports written by hand, a ledger.

#include <string>

#include "core/core.h"

namespace rookdyke::test {

inline Settings bare_settings() {
  Settings s;
  s.label = "n0";
  s.zones = {"a"};
  s.teams = {{"team", 0, 0, 0, 0}};
  s.report_s = 5;
  s.lease_s = 29;
  s.list_lag_s = 3;
  return s;
}

inline TypeInfo bare_type() {
  TypeInfo t;
  t.name = "box";
  t.size = {16, 4, 64};
  t.cache_gb = 100;
  t.price = 4;
  t.spot_price = 1;
  t.boot_s = 50;
  t.zones = {"a"};
  return t;
}

// A job of the team as its row tells, in a single chunk.
inline MirrorJob bare_job(uint32_t tasks, const Amounts& each, uint64_t version) {
  MirrorJob job;
  job.version = version;
  job.row.tasks = job.row.per = tasks;
  job.row.spec = JobSpec{};
  job.row.spec->team = "team";
  job.row.spec->each = each;
  return job;
}

inline Report bare_report(int machine, uint64_t seq, uint64_t token) {
  Report r;
  r.machine = "m-" + std::to_string(machine);
  r.addr = "10.0.0.1:1";
  r.type = "box";
  r.zone = "a";
  r.session = 1;
  r.seq = seq;
  r.token = token;
  return r;
}

inline MachineState state_of(const Core& core, int machine) {
  for (const auto& m : core.machines())
    if (m->name == "m-" + std::to_string(machine)) return m->state;
  return MachineState::gone;
}

// A ledger with a job of seven tasks, cancelled or not, the first of them on m-1.
inline Mirror with_a_task_on_m1(ledger::Standing standing, double at_s) {
  Mirror m;
  ledger::JobRow row;
  row.standing = standing;
  row.tasks = 7;
  row.per = 3;
  row.at_s = at_s;
  row.spec = JobSpec{};
  row.spec->team = "team";
  row.spec->each = {1, 1, 1};
  m.put("rd/j/wk-000001", ledger::encode(row), 3);
  m.put("rd/t/0", nlohmann::json::parse(R"({"w":"x","e":[["wk-000001",0,1,[],[[0,1,"m-1",1]]]]})"),
        4);
  return m;
}

}  // namespace rookdyke::test
