// Six of 32 machines lose the network for longer than a lease; what was on its way arrives late.
// See claim.txt.

#include "rig.h"

using namespace rig;

int main(int, char** argv) {
  const char* folder = argv[1];
  begin_case(folder);
  Floor floor;
  StateService state(katunayake_state());
  Platform platform(3, katunayake_params(), {"terminal-west"}, 8);
  CloudSettings cloud_settings{
      4, 0.2, {negombo()}, {{{"terminal-west", false}, 23}, {{"terminal-west", true}, 9}}};
  Cloud cloud(cloud_settings, {3, 18, platform.nodes()}, floor);
  cloud.boot_s = [](int) { return random_in(1, 2); };
  cloud.list_lag_s = [] { return 6.0; };
  platform.start(state.port(), cloud.port());
  Users users(platform.nodes());
  if (!wait_until(15, [&] { return users.any_healthy(); }))
    finish(kCannotRun, "no controller is healthy", &platform);

  // More work than the machines hold: gangs on the 23 ordinary machines, arrays on the 9 spot ones.
  std::vector<json> gangs;
  std::vector<std::thread> submissions;
  for (int i = 0; i < 30; ++i) {
    json j = job("wk-" + std::to_string(100000 + i), "plate-training",
                 "gate-vision-0" + std::to_string(i % 6), "ensemble", 1, 57, 8, 310);
    j["marker_s"] = 45.0;
    j["stow_s"] = 3.0;
    floor.add_job(j, 600);
    gangs.push_back(j);
    submissions.emplace_back([&users, j] { users.submit(j); });
  }
  pause_s(1);
  for (int i = 0; i < 3; ++i) {
    json j = job("wk-" + std::to_string(200000 + i), "gate-replay",
                 "gate-vision-0" + std::to_string(i), "array", 40, 6, 1, 36);
    j["rank"] = "idle";
    j["loaners"] = true;
    j["marker_s"] = 20.0;
    j["stow_s"] = 6.0;
    floor.add_job(j, 120);
    submissions.emplace_back([&users, j] { users.submit(j); });
  }
  for (std::thread& t : submissions) t.join();

  const auto busy_ordinary = [&] {
    std::vector<Worker*> busy;
    for (Worker* w : cloud.workers())
      if (!w->spot() && !w->tasks_present().empty()) busy.push_back(w);
    return busy;
  };
  if (!wait_until(20, [&] { return busy_ordinary().size() >= 9; }))
    finish(kCannotRun, "the machines did not get their work in time", &platform);

  std::vector<Worker*> victims = busy_ordinary();
  victims.resize(6);
  if (trouble()) {
    const double cut_at = now();
    for (Worker* w : victims) w->cut();
    // Until all leases have run out, and a moment more.
    wait_until(cut_at + 25, [&] {
      return std::all_of(victims.begin(), victims.end(),
                         [](Worker* w) { return w->is_gone() || w->tenure() > 1; });
    });
    pause_s(0.2);
    std::vector<std::thread> heals;
    for (Worker* w : victims) heals.emplace_back([w] { w->heal(); });
    for (std::thread& t : heals) t.join();
    record().line("the cut lasted %.1f s", now() - cut_at);
  }

  // The check: from the end of the trouble on, is a job left waiting for 90 s while a machine that
  // fits has room? (No team has a limit.)
  const double healed_at = now();
  std::map<std::string, double> waits_since;
  double room_since = -1, next_line_at = now();
  while (now() < healed_at + 93) {
    std::map<std::string, bool> on_machine, done;
    for (const TaskRun& r : floor.runs()) {
      on_machine[r.job] = on_machine[r.job] || r.ends_at < 0;
      done[r.job] = done[r.job] || r.end == "done";
    }
    double longest = -1;
    std::string waiting_job;
    for (const json& j : gangs) {
      const std::string id = j["id"];
      if (on_machine[id] || done[id]) {
        waits_since.erase(id);
        continue;
      }
      waits_since.try_emplace(id, now());
      if (now() - waits_since[id] <= longest) continue;
      longest = now() - waits_since[id];
      waiting_job = id;
    }
    int with_room = 0;
    for (Worker* w : cloud.workers())
      with_room += !w->spot() && w->has_room_for(gangs[0]) && now() - w->answered_sent_at() < 8;
    if (with_room == 0) room_since = -1;
    if (with_room > 0 && room_since < 0) room_since = now();
    if (now() >= next_line_at) {
      const Answer a = waiting_job.empty() ? Answer() : users.poll(waiting_job);
      record().line("%zu gangs wait; ordinary machines with room: %d; poll %s: %d %s",
                    waits_since.size(), with_room, waiting_job.c_str(), a.status,
                    a.standing().c_str());
      next_line_at = now() + 5;
    }
    if (room_since >= 0 && longest >= 90 && now() - room_since >= 90)
      finish(kBroken,
             std::to_string(waits_since.size()) + " jobs wait, " + waiting_job +
                 " for 90 s, while " + std::to_string(with_room) +
                 " machines that fit are healthy, answered and have room",
             &platform);
    // Without the trouble no machine has room; that need not be watched to the end.
    if (!trouble() && now() > healed_at + 40 && with_room == 0)
      finish(kHeld, "no machine has room while jobs wait", &platform);
    if (trouble() && waits_since.empty()) finish(kHeld, "no job waits", &platform);
    pause_s(0.1);
  }
  finish(kHeld, "no job waited for 90 s while a machine had room", &platform);
}
