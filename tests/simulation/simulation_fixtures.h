#pragma once
// What tests of the simulation share: a world with a single machine.

#include "checker/checker_fixtures.h"
#include "simulation/world.h"

namespace rookdyke::test {

// A machine with one task of a job that its user has been told is cancelled.
class CheckerOnMachinesTest : public testing::Test {
 protected:
  static Settings settings() {
    Settings s;
    s.zones = {"a"};
    s.teams = {{"t", 0, 0, 0, 0}};
    s.cancel_s = 30;
    s.lease_s = 20;
    return s;
  }
  static MachineType type() {
    MachineType t;
    t.name = "box";
    t.size = {16, 4, 64};
    t.boot_s = 1;
    t.zones = {"a"};
    return t;
  }
  CheckerOnMachinesTest() : world(settings(), {type()}, 1, 1) {
    world.store.outage = true;  // nobody leads, so nobody stops the task or returns the machine
    world.start();
    UserJob& j = world.users.jobs["wk-000001"];
    j.spec = job("wk-000001");
    j.run_s = 1000;
    world.checker.submitted(0, j.spec);
    RentalRequest h;
    h.name = "one";
    h.type = "box";
    h.zone = "a";
    h.count = 1;
    machine = world.cloud.workers.at(world.cloud.rent(h).names.at(0)).get();
    world.clock.run(5);
  }
  void cancelled() { world.checker.told(world.clock.now, "wk-000001", "aborted", true); }
  // As a leader's direct command.
  void send_start() {
    world.network.call(
        "n0", machine->name, 1,
        [this] {
          machine->direct(1, 1, {{CommandKind::start, "wk-000001", 0, 1, 0}});
        },
        [](bool) {});
  }
  bool broken(const std::string& rule) const { return world.checker.is_broken(rule); }
  World world;
  Worker* machine = nullptr;
};

}  // namespace rookdyke::test
