// Case 1: a controller ends and starts again, and a repeat of a direct command that it had sent and
// that was carried out follows. The controllers have told the worker to clear that attempt and have
// started the task elsewhere meanwhile. See claim.txt.

#include "../standin/rig.h"

using namespace rig;

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
  const std::pair<std::string, bool> ordinary{"terminal-west", false};
  cloud.capacity[ordinary] = 1;
  controllers.write_settings(state.address(), cloud.address());
  for (size_t i = 0; i < controllers.size(); ++i) controllers.start(i);
  if (!until(20, [&] { return !state.leader().empty(); })) finish(controllers, 2, "no leader");

  // A replay task of low priority runs on the only machine.
  json replay = job("wk-000101", "gate-replay", "gate-vision-00", "array", "idle", 1, 6, 1, 36);
  replay["marker_s"] = 20.0, replay["stow_s"] = 6.0;
  world.upload(replay, 600);
  const std::string task = "wk-000101/0";
  if (submit(controllers, replay) != 201) finish(controllers, 2, "not accepted");
  if (!until(30, [&] { return !world.machine_of(task).empty(); }))
    finish(controllers, 2, "the replay task did not start");
  const std::string first = world.machine_of(task);
  pause(4);

  // A training job needs the whole machine; the replay task makes room and starts on the next one.
  json training =
      job("wk-000102", "plate-training", "gate-vision-01", "ensemble", "standard", 1, 57, 8, 310);
  training["loaners"] = false, training["marker_s"] = 45.0, training["stow_s"] = 3.0;
  world.upload(training, 12);
  if (submit(controllers, training) != 201) finish(controllers, 2, "not accepted");
  if (!until(30, [&] { return world.machine_of("wk-000102/0") == first; }))
    finish(controllers, 2, "the training job did not get the machine");
  cloud.capacity[ordinary] += 1;
  if (!until(45, [&] { return !world.machine_of(task).empty() && world.is_done("wk-000102/0"); }))
    finish(controllers, 2, "the replay task did not start again");
  const std::string second = world.machine_of(task);
  Worker* a = cloud.machine(first);
  if (second == first || !a || a->gone) finish(controllers, 2, "it did not move");
  if (!until(10, [&] { return !a->lists(task) && a->has_room_for(replay); }))
    finish(controllers, 2, "the first attempt was not cleared");
  RECORD("%s is on %s; %s has room and lists nothing of it", task.c_str(), second.c_str(),
         first.c_str());

  // The direct command that started the first attempt, as it was carried out.
  std::string repeat;
  for (const Worker::Direct& d : a->executed()) {
    const json command = unpack(d.body);
    for (const json& o : command.at("orders"))
      if (o.at("verb") == "run" && o.at("shift") == task) repeat = d.body;
  }
  if (repeat.empty()) finish(controllers, 2, "no direct command started the first attempt");

  if (trouble()) {
    const auto leader = controllers.index_of(state.leader());
    if (!leader) finish(controllers, 2, "no leader");
    controllers.kill(*leader);
    pause(0.3);
    controllers.start(*leader);
    pause(0.5);
    RECORD("the repeat arrives at %s, whose highest token is %lu: %s", first.c_str(), a->warrant(),
           unpack(repeat).dump().c_str());
    httplib::Client c("127.0.0.1", a->port());
    const auto r = c.Post("/do", repeat, "application/msgpack");
    RECORD("answer to the repeat: %d", r ? r->status : 0);
  }
  pause(12);
  if (world.ran_twice() > 0)
    finish(controllers, 1, "a task started on one machine while it was on another");
  finish(controllers, 0, "no task ran on two machines");
}
