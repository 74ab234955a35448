#pragma once
// Conversion between machines and the groups in which the ledger stores them: machines of the same
// type, zone and kind (spot or on-demand) share one group.

#include <string>
#include <vector>

#include "ledger/rows.h"
#include "model/types.h"

namespace rookdyke {

// A rented machine. `type` is kNone if the cloud no longer offers the machine's type, `zone` if its
// zone is unknown.
struct RentedMachine {
  std::string name;
  MachineAttributes attributes;
};

std::vector<ledger::MachineGroup> group_machines(const std::vector<RentedMachine>& machines,
                                                 const NameTable& types, const NameTable& zones);
// The machines of a group. New zones get an index.
std::vector<RentedMachine> machines_of_group(const ledger::MachineGroup& group,
                                             const NameTable& types, NameTable& zones);

}  // namespace rookdyke
