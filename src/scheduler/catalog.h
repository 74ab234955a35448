#pragma once
// The catalog of machine types, zones, teams, images and job classes. It maps each name to a dense
// index, which stays the same for the life of the process.

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "model/settings.h"
#include "model/types.h"

namespace rookdyke {

struct Catalog {
  // The zones and teams of the settings get the first indices, in the order of the settings; zones
  // that only machine types name follow.
  Catalog(const Settings& settings, std::vector<MachineType> machine_types)
      : types(std::move(machine_types)) {
    for (const std::string& zone : settings.zones) zones.intern(zone);
    for (const TeamQuota& team : settings.teams) teams.intern(team.name);
    for (const MachineType& type : types) {
      type_names.intern(type.name);
      for (const std::string& zone : type.zones) zones.intern(zone);
    }
  }

  // Updates the prices per hour. Unknown types are ignored.
  void set_prices(const std::vector<MachineType>& current) {
    for (const MachineType& type : current) {
      const Index i = type_names.find(type.name);
      if (i == kNone) continue;
      types[i].price = type.price;
      types[i].spot_price = type.spot_price;
    }
  }

  // The shortest boot time of any machine type, in seconds; 1e9 if there are no types.
  double shortest_boot_s() const {
    double boot_s = 1e9;
    for (const MachineType& type : types) boot_s = std::min(boot_s, type.boot_s);
    return boot_s;
  }

  std::vector<MachineType> types;  // by type index
  NameTable type_names, zones, teams, images, job_classes;
  std::set<Index> prompt_start_images;  // images of jobs with Job::needs_prompt_start set
};

}  // namespace rookdyke
