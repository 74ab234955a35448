#pragma once
// What a scenario says before its first event: the deployment that it runs on.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "scenario/script.h"
#include "simulation/world.h"

namespace rookdyke::test {

class Setup {
 public:
  // Reads one line; throws ScriptError if it means nothing.
  void read(const Line& line);
  // The deployment, not yet started. Types and teams that are not given have defaults. `seed`
  // takes the place of the scenario's own.
  std::unique_ptr<World> build(std::optional<uint64_t> seed) const;

 private:
  void read_type(const Line& line);
  void read_team(const Line& line);
  void read_setting(const Line& line);
  bool read_limit(const Line& line);
  void read_capacity(const Line& line);
  void read_messages(const Line& line);
  void read_late_copies(const Line& line);
  void read_objective(const Line& line);
  StateLimits& next_limits();

  uint64_t seed_ = 1;
  size_t controllers_ = 3;
  std::vector<MachineType> types_;
  Settings settings_;
  std::map<std::pair<std::string, bool>, int> capacity_;  // by zone and whether spot
  Faults faults_;
};

}  // namespace rookdyke::test
