// Case 3: the answer to one direct command is held up for some seconds. The machine goes on, its
// tasks complete, and the rest of the array is left waiting although the machine has room. See
// claim.txt.

#include "../standin/rig.h"

using namespace rig;

namespace {
constexpr double kHoldS = 4;          // the answer is held up for so long
constexpr double kLeftWaitingS = 90;  // "no job is left waiting for 90 s"
constexpr int kTasks = 24;
}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  const std::string folder = argv[1];
  Record::get().open(argv[2]);
  const Site site = kpa();
  StateService state(site);
  World world;
  Cloud cloud(site, world);
  Controllers controllers(site, folder);
  cloud.nodes = controllers.addresses();
  cloud.capacity[{"terminal-west", false}] = 1;
  const std::string id = "wk-000301";
  std::atomic<int> held{0};
  std::atomic<double> trouble_over{0};
  cloud.hold_answer = [&](const json& command) {
    if (!trouble() || held > 0) return 0.0;
    bool starts = false;
    for (const json& o : command.at("orders"))
      starts = starts ||
               (o.at("verb") == "run" && o.at("shift").get<std::string>().rfind(id + "/", 0) == 0);
    if (!starts || held++ > 0) return 0.0;
    trouble_over = now() + kHoldS;
    return kHoldS;
  };
  controllers.write_settings(state.address(), cloud.address());
  for (size_t i = 0; i < controllers.size(); ++i) controllers.start(i);
  if (!until(20, [&] { return !state.leader().empty(); })) finish(controllers, 2, "no leader");

  json replay = job(id, "gate-replay", "gate-vision-00", "array", "idle", kTasks, 6, 1, 36);
  replay["expected_s"] = 3.0;
  world.upload(replay, 3);
  if (submit(controllers, replay) != 201) finish(controllers, 2, "not accepted");
  if (!until(15, [&] { return world.starts_of_job(id) > 0; }))
    finish(controllers, 2, "nothing started");
  if (trouble() && !until(5, [&] { return held > 0 && now() > trouble_over; }))
    finish(controllers, 2, "no answer was held up");

  // The longest time for which the job has had waiting tasks, nothing of it on a machine and a
  // machine that fits with room, without any start.
  double waiting_since = now(), longest = 0, next_poll = now();
  size_t starts = world.starts_of_job(id);
  json other = job("wk-000302", "gate-replay", "gate-vision-00", "array", "idle", 1, 6, 1, 36);
  world.upload(other, 3);
  bool other_sent = false;
  while (now() < 112 && longest <= kLeftWaitingS) {
    pause(0.1);
    const size_t started = world.starts_of_job(id);
    bool room = false;
    for (Worker* w : cloud.machines()) room = room || (w->up && w->has_room_for(replay));
    if (started != starts || !room || started >= kTasks) waiting_since = now();
    starts = started;
    longest = std::max(longest, now() - waiting_since);
    // The machine takes work: a job like it, submitted later, runs there.
    if (!other_sent && now() - waiting_since > 30) {
      other_sent = true;
      submit(controllers, other);
    }
    if (now() >= next_poll) {
      next_poll = now() + 5;
      const Answer a = poll(controllers, 0, id);
      RECORD("user: GET %s -> %d %s; left waiting with room for %.1f s", id.c_str(), a.status,
             a.body.dump().c_str(), now() - waiting_since);
      if (a.status == 200 && a.body.value("standing", "") == "done") break;
    }
  }
  if (other_sent)
    RECORD("the job of the same size that was submitted later: %zu start(s), %zu of 1 task done",
           world.starts_of_job("wk-000302"), world.done_of_job("wk-000302"));
  RECORD("%zu starts, %zu of %d tasks done; longest wait beside a machine with room %.1f s",
         world.starts_of_job(id), world.done_of_job(id), kTasks, longest);
  if (longest > kLeftWaitingS)
    finish(controllers, 1, "a job was left waiting for 90 s beside a machine that has room");
  if (world.done_of_job(id) < kTasks) finish(controllers, 2, "neither left waiting nor done");
  finish(controllers, 0, "the job is done");
}
