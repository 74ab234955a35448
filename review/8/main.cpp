// A job whose only task failed once on a machine that was sick for a few seconds. See claim.txt.

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

  // Long work on all machines but one.
  constexpr int kLongJobs = 22;
  const auto plate_training = [](int number) {
    json j = job("wk-" + std::to_string(100000 + number), "plate-training",
                 "gate-vision-0" + std::to_string(number % 6), "ensemble", 1, 57, 8, 310);
    j["marker_s"] = 45.0;
    j["stow_s"] = 3.0;
    return j;
  };
  std::vector<std::thread> submissions;
  for (int i = 0; i < kLongJobs; ++i) {
    const json j = plate_training(i);
    floor.add_job(j, 600);
    submissions.emplace_back([&users, j] { users.submit(j); });
    pause_s(0.05);
  }
  for (std::thread& t : submissions) t.join();
  Worker* idle = nullptr;
  const bool ready = wait_until(20, [&] {
    int busy = 0;
    idle = nullptr;
    for (Worker* w : cloud.workers()) {
      if (!w->tasks_present().empty())
        ++busy;
      else
        idle = w;
    }
    return busy == kLongJobs && idle && idle->warrant() > 0;
  });
  if (!ready) finish(kCannotRun, "the fleet did not fill up in time", &platform);
  pause_s(1);

  if (trouble()) idle->set_sick(true);
  const json one = plate_training(50);
  const std::string id = one["id"];
  floor.add_job(one, 10);
  const Answer accepted = users.submit(one);
  if (accepted.status != 201 && accepted.status != 200)
    finish(kCannotRun, "the job was not accepted", &platform);
  const auto runs_of_job = [&] {
    std::vector<TaskRun> runs;
    for (const TaskRun& r : floor.runs())
      if (r.job == id) runs.push_back(r);
    return runs;
  };
  if (trouble()) {
    const bool failed = wait_until(now() + 12, [&] {
      const auto runs = runs_of_job();
      return !runs.empty() && runs[0].end == "error";
    });
    if (!failed) finish(kCannotRun, "the job's task did not start on the sick machine", &platform);
    idle->set_sick(false);
  }

  // The check: from the end of the trouble on, is the job left waiting for 90 s while a machine
  // that fits has room? (No team has a limit.)
  const size_t runs_before = runs_of_job().size();
  const double healed_at = now();
  double next_poll_at = now();
  double room_since = -1;
  while (now() < healed_at + 92) {
    if (runs_of_job().size() > runs_before || (!trouble() && runs_before > 0))
      finish(kHeld, "the job started " + std::to_string(now() - healed_at) + " s later", &platform);
    bool room = false;
    for (Worker* w : cloud.workers())
      room = room || (w->has_room_for(one) && now() - w->answered_sent_at() < 8);
    if (!room) room_since = -1;
    if (room && room_since < 0) room_since = now();
    if (now() >= next_poll_at) {
      const Answer a = users.poll(id);
      record().line("poll %s at %s: %d %s; a machine has room since %.1f", id.c_str(),
                    a.node.c_str(), a.status, a.standing().c_str(), room_since);
      next_poll_at = now() + 5;
    }
    if (room_since >= 0 && now() - room_since >= 90)
      finish(kBroken,
             "the job waits for 90 s while a machine that fits has room; that machine is healthy "
             "and answered",
             &platform);
    pause_s(0.1);
  }
  finish(kHeld, "no machine had room for 90 s", &platform);
}
