#include "scenario/actions.h"

#include <algorithm>
#include <cstdint>
#include <map>

#include "scenario/submissions.h"

namespace rookdyke::test {

namespace {

constexpr double kDefaultDuration = 10;  // seconds
constexpr double kDefaultRestart = 3;    // seconds until a crashed controller comes back

double event_time(const Line& line) { return line.number(1); }
double duration(const Line& line) { return line.option("for", kDefaultDuration); }

// ---- controllers

// `who`: "leader" or a controller's number. Empty: it is not there.
std::vector<size_t> named_controllers(World& world, const std::string& who) {
  const SimController* leader = world.leader();
  std::vector<size_t> named;
  for (size_t i = 0; i < world.controllers.size(); ++i) {
    const bool is_named =
        who == "leader" ? world.controllers[i].get() == leader : who == std::to_string(i);
    if (is_named) named.push_back(i);
  }
  return named;
}

void crash_controller(World& world, size_t index, double restart_s) {
  SimController* controller = world.controllers[index].get();
  if (!controller->alive) return;
  controller->crash();
  world.clock.after(restart_s, [controller] {
    if (!controller->alive) controller->boot();
  });
}

void crash(const Line& line, World& world) {
  const std::string& who = line.word(3);
  const double restart_s = line.option("for", kDefaultRestart);
  world.clock.at(event_time(line), [&world, who, restart_s] {
    if (who == "all")
      for (size_t i = 0; i < world.controllers.size(); ++i) crash_controller(world, i, restart_s);
    else
      for (const size_t i : named_controllers(world, who)) crash_controller(world, i, restart_s);
  });
}

void freeze(const Line& line, World& world) {
  const std::string& who = line.word(3);
  world.clock.at(event_time(line), [&world, who, s = duration(line)] {
    for (const size_t i : named_controllers(world, who))
      if (world.controllers[i]->alive) world.controllers[i]->freeze(s);
  });
}

void cut_controller(World& world, size_t index, const std::string& from, double s, bool hold) {
  const std::string place = controller_place(index);
  if (from == "all") {
    world.network.cut(place, kEverywhere, s, hold);
  } else if (from == "siblings") {
    for (size_t i = 0; i < world.controllers.size(); ++i)
      if (i != index) world.network.cut(place, controller_place(i), s, hold);
  } else if (from == "workers") {
    for (const auto& [name, worker] : world.cloud.workers) world.network.cut(place, name, s, hold);
  } else {
    world.network.cut(place, from, s, hold);
  }
}

void cut(const Line& line, World& world) {
  const std::string& who = line.word(3);
  const std::string& from = line.word(5);
  const double s = duration(line);
  const bool hold = line.has("hold");
  world.clock.at(event_time(line), [&world, who, from, s, hold] {
    for (const size_t i : named_controllers(world, who)) cut_controller(world, i, from, s, hold);
  });
}

void refuse(const Line& line, World& world) {
  const std::string& who = line.word(3);
  world.clock.at(event_time(line), [&world, who, s = duration(line)] {
    for (const size_t i : named_controllers(world, who))
      world.network.refuse(controller_place(i), s);
  });
}

// ---- faults that are injected at random

// Changes one of the faults for a while.
void change_for_a_while(const Line& line, World& world, double Faults::*fault, double value) {
  world.clock.at(event_time(line), [&world, fault, value, s = duration(line)] {
    const double before = world.faults.*fault;
    world.clock.after(s, [&world, fault, before] { world.faults.*fault = before; });
    world.faults.*fault = value;
  });
}

void slow_state(const Line& line, World& world) {
  change_for_a_while(line, world, &Faults::slow_state_s, line.number(3));
}

void late_writes(const Line& line, World& world) {
  change_for_a_while(line, world,
                     line.has("at_once") ? &Faults::lost_answers : &Faults::late_writes,
                     line.number(3));
}

void late_copies(const Line& line, World& world) {
  change_for_a_while(line, world, &Faults::late_heartbeats, line.number(3));
  change_for_a_while(line, world, &Faults::late_heartbeats_s, line.number(4));
}

void keep_copies(const Line& line, World& world) {
  change_for_a_while(line, world, &Faults::kept_heartbeats, line.number(3));
}

void repeat_commands(const Line& line, World& world) {
  change_for_a_while(line, world, &Faults::repeated_commands, line.number(3));
  change_for_a_while(line, world, &Faults::repeated_commands_s, line.number(4));
}

void hold_commands(const Line& line, World& world) {
  change_for_a_while(line, world, &Faults::held_commands, line.number(3));
  change_for_a_while(line, world, &Faults::held_commands_s, line.number(4));
}

void late_list(const Line& line, World& world) {
  change_for_a_while(line, world, &Faults::late_list, line.number(3));
}

void cancel_at_end(const Line& line, World& world) {
  change_for_a_while(line, world, &Faults::cancel_at_end, line.number(3));
}

// ---- the state service, the cloud and zones

void state_outage(const Line& line, World& world) {
  world.clock.at(event_time(line), [&world, s = line.number(3)] {
    world.store.outage = true;
    world.clock.after(s, [&world] { world.store.end_outage(); });
  });
}

void cloud_outage(const Line& line, World& world) {
  world.clock.at(event_time(line), [&world, s = line.number(3)] {
    world.cloud.outage = true;
    world.clock.after(s, [&world] { world.cloud.outage = false; });
  });
}

void lower_limits(const Line& line, World& world) {
  world.clock.at(event_time(line),
                 [&world] { world.store.apply_lowered_limits(*world.settings.next_limits); });
}

void zone_cut(const Line& line, World& world) {
  const std::string& zone = line.word(3);
  const auto& zones = world.settings.zones;
  if (std::find(zones.begin(), zones.end(), zone) == zones.end()) line.fail("no such zone");
  const double s = duration(line);
  const bool hold = line.has("hold");
  world.clock.at(event_time(line),
                 [&world, zone, s, hold] { world.network.cut_zone(zone, s, hold); });
}

// ---- users

void abort_job(const Line& line, World& world) {
  world.clock.at(event_time(line), [&world, id = line.word(3)] { world.users.abort(id); });
}

void ask(const Line& line, World& world) {
  JobSpec spec;
  spec.id = line.word(3);
  world.clock.at(event_time(line),
                 [&world, spec] { world.users.ask_all(spec, UserRequest::poll); });
}

void old_rows(const Line& line, World& world) {
  world.clock.at(event_time(line),
                 [&world, s = duration(line)] { world.old_rows_until = world.clock.now + s; });
}

void close_looks(const Line& line, World& world) {
  world.clock.at(event_time(line), [&world, s = duration(line)] {
    world.users.concurrent_requests_until = world.clock.now + s;
  });
}

void odd_requests(const Line& line, World& world) {
  world.clock.at(event_time(line),
                 [&world, s = duration(line)] { world.users.send_unexpected_requests(s); });
}

void cancel_now(const Line& line, World& world) {
  const size_t jobs = line.count(3);
  const double hang_s = line.option("hang", 0);
  world.clock.at(event_time(line),
                 [&world, jobs, hang_s] { world.users.cancel_longest_running(jobs, hang_s); });
}

// ---- machines

// The first so many machines that are up, of one zone or (empty) of all.
std::vector<Worker*> first_machines(World& world, size_t most, const std::string& zone) {
  std::vector<Worker*> machines;
  for (const auto& [name, worker] : world.cloud.workers) {
    if (machines.size() == most) break;
    const bool in_zone = zone.empty() || worker->zone == zone;
    if (!worker->terminated && worker->up && in_zone) machines.push_back(worker.get());
  }
  return machines;
}

// The so many machines rented last that are up and have tasks; names ascend.
std::vector<Worker*> newest_machines(World& world, size_t most) {
  std::vector<Worker*> machines;
  const auto& workers = world.cloud.workers;
  for (auto it = workers.rbegin(); it != workers.rend() && machines.size() < most; ++it)
    if (!it->second->terminated && it->second->up && !it->second->tasks.empty())
      machines.push_back(it->second.get());
  return machines;
}

void unplug(const Line& line, World& world) {
  const size_t most = line.count(3);
  const double s = duration(line);
  const bool hold = line.has("hold");
  const std::string zone = line.text_option("in", "");
  const bool newest = line.has("newest");
  world.clock.at(event_time(line), [&world, most, s, hold, zone, newest] {
    const auto machines = newest ? newest_machines(world, most) : first_machines(world, most, zone);
    for (const Worker* worker : machines)
      for (size_t i = 0; i < world.controllers.size(); ++i)
        world.network.cut(controller_place(i), worker->name, s, hold);
  });
}

void cut_one_way(const Line& line, World& world, double Worker::*until) {
  const size_t most = line.count(3);
  const std::string zone = line.text_option("in", "");
  world.clock.at(event_time(line), [&world, most, zone, until, s = duration(line)] {
    for (Worker* worker : first_machines(world, most, zone)) worker->*until = world.clock.now + s;
  });
}

void mute(const Line& line, World& world) { cut_one_way(line, world, &Worker::mute_until); }
void deafen(const Line& line, World& world) { cut_one_way(line, world, &Worker::deaf_until); }

// Does something to machines that are up and do not hang: a count of them, `all`, or all `busy`.
void for_machines(const Line& line, World& world, const std::function<void(Worker&)>& act) {
  world.clock.at(event_time(line), [&world, which = line.word(3), act] {
    size_t left = which == "all" || which == "busy" ? SIZE_MAX : std::stoul(which);
    for (auto& [name, worker] : world.cloud.workers) {
      if (left == 0) break;
      if (worker->terminated || !worker->up || worker->hung) continue;
      if (which == "busy" && worker->tasks.empty()) continue;
      --left;
      act(*worker);
    }
  });
}

void hang(const Line& line, World& world) {
  for_machines(line, world, [s = duration(line)](Worker& worker) { worker.hang(s); });
}

void restart(const Line& line, World& world) {
  const bool forgets_token = line.has("forgetful");
  for_machines(line, world, [s = duration(line), forgets_token](Worker& worker) {
    worker.restart(s, forgets_token);
  });
}

void sicken(const Line& line, World& world) {
  for_machines(line, world, [&world, s = duration(line)](Worker& worker) {
    worker.sick = true;
    world.clock.after(s, [&worker] { worker.sick = false; });
  });
}

void take(const Line& line, World& world) {
  for_machines(line, world, [notice_s = line.option("notice", -1)](Worker& worker) {
    if (notice_s > 0)
      worker.notice(notice_s);
    else
      worker.vanish();
  });
}

}  // namespace

void schedule(const Line& line, World& world) {
  using Action = void (*)(const Line&, World&);
  static const std::map<std::string, Action> actions = {
      {"submit", schedule_submission},
      {"stream", schedule_stream},
      {"abort", abort_job},
      {"lower_limits", lower_limits},
      {"old_rows", old_rows},
      {"ask", ask},
      {"crash", crash},
      {"freeze", freeze},
      {"cut", cut},
      {"refuse", refuse},
      {"slow_state", slow_state},
      {"late_writes", late_writes},
      {"late_copies", late_copies},
      {"keep_copies", keep_copies},
      {"close_looks", close_looks},
      {"hold_commands", hold_commands},
      {"repeat_commands", repeat_commands},
      {"late_list", late_list},
      {"cancel_at_end", cancel_at_end},
      {"odd_requests", odd_requests},
      {"cancel_now", cancel_now},
      {"zone_cut", zone_cut},
      {"state_outage", state_outage},
      {"cloud_outage", cloud_outage},
      {"unplug", unplug},
      {"deafen", deafen},
      {"mute", mute},
      {"hang", hang},
      {"restart", restart},
      {"sick", sicken},
      {"take", take},
  };
  auto action = actions.find(line.word(2));
  if (action == actions.end()) line.fail_unknown(line.word(2));
  action->second(line, world);
}

}  // namespace rookdyke::test
