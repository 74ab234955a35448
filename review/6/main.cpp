// A gang that is one machine larger than the room has waited for five minutes when the controllers
// are restarted. See claim.txt.

#include "rig.h"

using namespace rig;

int main(int, char** argv) {
  const char* folder = argv[1];
  begin_case(folder);
  Floor floor;
  StateService state(katunayake_state());
  // The gang was accepted five minutes ago: its row, in the form in which the project writes it.
  const json gang = [] {
    json j = job("wk-100000", "plate-training", "gate-vision-00", "ensemble", 4, 57, 8, 310);
    j["marker_s"] = 45.0;
    j["stow_s"] = 3.0;
    return j;
  }();
  if (trouble()) {
    const double clock =
        std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
    state.preload("rd/j/wk-100000", {{"at", clock - 300},
                                     {"per", 249},
                                     {"spec",
                                      {{"checkpoint", 45.0},
                                       {"cpus", 57.0},
                                       {"due", 0.0},
                                       {"estimate", 120.0},
                                       {"gang", true},
                                       {"gpus", 8.0},
                                       {"image", "img-01"},
                                       {"image_gb", 0.2},
                                       {"lot", "plate-training"},
                                       {"mem", 310.0},
                                       {"one_zone", false},
                                       {"rank", 1},
                                       {"save", 3.0},
                                       {"scatter", false},
                                       {"spot", false},
                                       {"team", "gate-vision-00"},
                                       {"types", json::array()},
                                       {"zone", ""}}},
                                     {"standing", 0},
                                     {"tasks", 4},
                                     {"w", "croft-1.1796441531156165772.2826386571.2"}});
    floor.add_job(gang, 600);
  }
  Platform platform(3, katunayake_params(), {"terminal-west"}, 8);
  // The cloud has three machines.
  CloudSettings cloud_settings{4, 0.2, {negombo()}, {{{"terminal-west", false}, 3}}};
  Cloud cloud(cloud_settings, {3, 18, platform.nodes()}, floor);
  cloud.boot_s = [](int) { return random_in(1, 2); };
  cloud.list_lag_s = [] { return 6.0; };
  platform.start(state.port(), cloud.port());
  Users users(platform.nodes());
  if (!wait_until(15, [&] { return users.any_healthy(); }))
    finish(kCannotRun, "no controller is healthy", &platform);
  if (trouble()) {
    Answer a;
    wait_until(15, [&] { return (a = users.poll("wk-100000")).status == 200; });
    record().line("poll wk-100000: %d %s", a.status, a.standing().c_str());
    if (a.status != 200) finish(kCannotRun, "the gang is not known", &platform);
    const bool up = wait_until(20, [&] {
      const auto workers = cloud.workers();
      return workers.size() == 3 && std::all_of(workers.begin(), workers.end(),
                                                [](Worker* w) { return w->warrant() > 0; });
    });
    if (!up) finish(kCannotRun, "the machines did not come up in time", &platform);
    pause_s(1);
  }

  // Other teams' work: four trainings of one machine, and an urgent array of 12 small tasks.
  std::vector<json> others;
  for (int i = 1; i <= 4; ++i) {
    json j = job("wk-20000" + std::to_string(i), "plate-training",
                 "gate-vision-0" + std::to_string(i), "ensemble", 1, 57, 8, 310);
    j["marker_s"] = 45.0;
    j["stow_s"] = 3.0;
    floor.add_job(j, 10);
    others.push_back(j);
  }
  json array = job("wk-200005", "gate-replay", "gate-vision-05", "array", 12, 6, 1, 36);
  array["rank"] = "urgent";
  floor.add_job(array, 5);
  others.push_back(array);
  for (const json& j : others) {
    const Answer a = users.submit(j);
    if (a.status != 201 && a.status != 200) finish(kCannotRun, "a job was not accepted", &platform);
  }

  // The check: is a job left waiting for 90 s while a machine that fits has room? (No team has a
  // limit.) The gang itself fits on no three machines; it is not judged.
  const double accepted_at = now();
  double room_since = -1, next_line_at = now();
  while (now() < accepted_at + 93) {
    std::set<std::string> started;
    for (const TaskRun& r : floor.runs()) started.insert(r.job);
    int with_room = 0;
    for (Worker* w : cloud.workers())
      with_room += w->has_room_for(others[0]) && now() - w->answered_sent_at() < 8;
    if (with_room == 0) room_since = -1;
    if (with_room > 0 && room_since < 0) room_since = now();
    if (now() >= next_line_at) {
      const Answer a = users.poll("wk-200005");
      const Answer b = users.poll("wk-200001");
      record().line("machines with room: %d; poll wk-200005 (urgent): %s; poll wk-200001: %s",
                    with_room, a.standing().c_str(), b.standing().c_str());
      next_line_at = now() + 5;
    }
    if (started.size() == others.size())
      finish(kHeld, "all of the other jobs were started", &platform);
    if (room_since >= 0 && now() - std::max(room_since, accepted_at) >= 90)
      finish(kBroken,
             std::to_string(others.size() - started.size()) +
                 " jobs, an urgent one among them, wait for 90 s while " +
                 std::to_string(with_room) + " machines are empty",
             &platform);
    pause_s(0.1);
  }
  finish(kHeld, "no machine had room for 90 s", &platform);
}
