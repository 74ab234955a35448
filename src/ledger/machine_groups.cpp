#include "ledger/machine_groups.h"

#include <map>
#include <tuple>
#include <utility>

namespace rookdyke {

namespace {

std::string name_or_empty(const NameTable& names, Index index) {
  return index == kNone ? std::string() : names.name(index);
}

}  // namespace

std::vector<ledger::MachineGroup> group_machines(const std::vector<RentedMachine>& machines,
                                                 const NameTable& types, const NameTable& zones) {
  std::map<std::tuple<Index, Index, bool>, std::vector<std::string>> names;
  for (const RentedMachine& machine : machines) {
    const MachineAttributes& attributes = machine.attributes;
    names[{attributes.type, attributes.zone, attributes.spot}].push_back(machine.name);
  }
  std::vector<ledger::MachineGroup> groups;
  groups.reserve(names.size());
  for (auto& [key, members] : names) {
    const auto& [type, zone, spot] = key;
    groups.push_back(
        {name_or_empty(types, type), name_or_empty(zones, zone), spot, std::move(members)});
  }
  return groups;
}

std::vector<RentedMachine> machines_of_group(const ledger::MachineGroup& group,
                                             const NameTable& types, NameTable& zones) {
  const MachineAttributes attributes{types.find(group.type), zones.intern_unless_empty(group.zone),
                                     group.spot};
  std::vector<RentedMachine> machines;
  machines.reserve(group.names.size());
  for (const std::string& name : group.names) machines.push_back({name, attributes});
  return machines;
}

}  // namespace rookdyke
