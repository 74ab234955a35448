#include "ledger_writer/unlisted_machines.h"

#include "ledger/machine_groups.h"

namespace rookdyke {

void UnlistedMachines::load(const LedgerCache& ledger) {
  for (const auto& [number, page] : ledger.pages())
    for (const ledger::MachineGroup& group : page.machines)
      for (const RentedMachine& stored :
           machines_of_group(group, catalog_.type_names, catalog_.zones)) {
        const Index index = machines_.index_of(stored.name);
        if (index != kNone && machines_[index].zone == kNone)
          machines_.set_attributes(machines_[index], stored.attributes);
      }
}

bool UnlistedMachines::is_unlisted(Index machine) const {
  return machines_[machine].zone != kNone && !rented_list_.is_durable(machine);
}

size_t UnlistedMachines::encoded_size(Index machine) const {
  return ledger::encoded_size(groups({machine}).front());
}

std::vector<ledger::MachineGroup> UnlistedMachines::groups(const std::set<Index>& machines) const {
  std::vector<RentedMachine> named;
  named.reserve(machines.size());
  for (const Index index : machines)
    named.push_back({machines_[index].name, machines_[index].attributes()});
  return group_machines(named, catalog_.type_names, catalog_.zones);
}

}  // namespace rookdyke
