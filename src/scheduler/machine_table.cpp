#include "scheduler/machine_table.h"

#include <spdlog/spdlog.h>

namespace rookdyke {

Machine& MachineTable::get_or_add(const std::string& name, double now) {
  const Index index = names_.intern(name);
  if (index >= machines_.size()) machines_.resize(index + 1);
  if (!machines_[index]) {
    machines_[index] = std::make_unique<Machine>();
    Machine& machine = *machines_[index];
    machine.index = index;
    machine.name = name;
    machine.rented_at = machine.last_heartbeat = now;
    mark_changed(machine);
  }
  return *machines_[index];
}

void MachineTable::set_attributes(Machine& machine, const MachineAttributes& attributes) {
  const MachineAttributes before = machine.attributes();
  const bool replaces_type = attributes.type != kNone || machine.type == kNone;
  if (replaces_type) {
    machine.type = attributes.type;
    machine.spot = attributes.spot;
  }
  if (attributes.zone != kNone && (replaces_type || machine.zone == kNone))
    machine.zone = attributes.zone;
  if (machine.attributes() == before) return;
  mark_changed(machine);
  if (before.zone == kNone && !machine.tasks.empty())
    spdlog::info("machine {}: the zone of its {} attempts is known", machine.name,
                 machine.tasks.size());
}

bool MachineTable::set_state(Machine& machine, MachineState to, const char* reason) {
  if (machine.state == to) return true;
  if (!is_transition_allowed(machine.state, to)) {
    spdlog::error("machine {}: invalid state transition from {} to {} ({})", machine.name,
                  to_string(machine.state), to_string(to), reason);
    return false;
  }
  spdlog::info("machine {}: {} -> {} ({})", machine.name, to_string(machine.state), to_string(to),
               reason);
  machine.state = to;
  return true;
}

void MachineTable::drain(Machine& machine, double now, const char* reason) {
  if (machine.state != MachineState::ready) return;
  if (set_state(machine, MachineState::draining, reason)) machine.draining_since = now;
}

}  // namespace rookdyke
