#pragma once
// A whole simulated deployment in one process: the clock, the state service, the cloud and its
// workers, the network, the users, and controllers that run the real scheduler, with a checker that
// watches all of it from outside. Scenarios (scenario/) and the tests of the checker own one.
//
// Everything random is drawn from one generator, in the order of events: the same seed gives the
// same run.

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "checker/checker.h"
#include "simulation/clock.h"
#include "simulation/cloud.h"
#include "simulation/controller.h"
#include "simulation/faults.h"
#include "simulation/gangs.h"
#include "simulation/network.h"
#include "simulation/state_service.h"
#include "simulation/users.h"
#include "simulation/worker.h"

namespace rookdyke::test {

class World {
 public:
  World(Settings settings, std::vector<MachineType> types, size_t controllers, uint64_t seed);
  // Boots the controllers. Nothing happens before the clock runs.
  void start();

  Clock clock;
  Store store;
  Settings settings;
  std::vector<MachineType> types;
  std::mt19937_64 random;
  Checker checker;
  Faults faults;
  Network network;
  Cloud cloud;
  Gangs gangs;
  Users users;
  std::vector<std::unique_ptr<SimController>> controllers;
  // Until then submissions are written as version 0.1 does, which knows of no lowered limits.
  double old_rows_until = -1;

  // The one with the highest fencing token of those that believe they lead; null: none.
  SimController* leader();
  // Seconds since a leader was elected last.
  double leading_for() const { return clock.now - led_since_; }
  // Delivers the heartbeats that were kept.
  void on_leader_elected();
  // By its chance, a copy of the heartbeat is kept for the next leader.
  void keep_copy(const Heartbeat& heartbeat);

  // Counts how often injected faults coincided with what they are to disturb: by this a scenario
  // demands that it brings about what it is for.
  void record_event(const std::string& what);
  std::map<std::string, size_t> event_counts;
  // Counts a heartbeat and the attempts that it lists.
  void count_heartbeat(const Heartbeat& heartbeat);

  // Never the same twice: a step scheduled for a forgotten attempt must not fire for the next one.
  uint64_t new_step() { return ++steps_; }
  // Drawn evenly from [0, 1).
  double chance() { return std::uniform_real_distribution<double>(0, 1)(random); }

 private:
  void inject_store_faults();
  void tick();
  void tell_checker_of_room();

  std::vector<Heartbeat> kept_heartbeats_;
  double led_since_ = -1;
  uint64_t steps_ = 0;
  double next_room_check_ = 0;
};

}  // namespace rookdyke::test
