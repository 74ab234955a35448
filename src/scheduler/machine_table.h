#pragma once
// The machines that the leader knows, by dense index. Owns them and their names, keeps the list of
// rented machines told of changes, and is the only place where a machine's state changes.

#include <memory>
#include <string>
#include <vector>

#include "ledger/rented_list.h"
#include "model/machine.h"
#include "model/types.h"

namespace rookdyke {

class MachineTable {
 public:
  using Machines = std::vector<std::unique_ptr<Machine>>;

  // `rented` must outlive the table.
  explicit MachineTable(RentedList& rented) : rented_(rented) {}

  // The machine of that name; a new one, booting since now, if there was none.
  Machine& get_or_add(const std::string& name, double now);
  // The index of a name that was ever added; else kNone.
  Index index_of(const std::string& name) const { return names_.find(name); }

  Machine& operator[](Index machine) { return *machines_[machine]; }
  const Machine& operator[](Index machine) const { return *machines_[machine]; }
  size_t size() const { return machines_.size(); }

  // By machine index, none empty. Terminated machines stay: late heartbeats and lagging lists still
  // name them, and must not bring them back.
  Machines::const_iterator begin() const { return machines_.begin(); }
  Machines::const_iterator end() const { return machines_.end(); }
  const Machines& all() const { return machines_; }

  // What the rented list says of the machine has changed.
  void mark_changed(const Machine& machine) { rented_.mark_changed(machine.index); }

  // False: the state machine has no such step, which is logged; nothing changes.
  static bool set_state(Machine& machine, MachineState to, const char* reason);
  // Takes no new work, and is returned once it is empty. Nothing happens unless it is ready.
  static void drain(Machine& machine, double now, const char* reason);
  // Is returned as soon as the cloud takes the call, whatever runs there.
  static void terminate(Machine& machine, const char* reason) {
    set_state(machine, MachineState::terminating, reason);
  }

 private:
  RentedList& rented_;
  NameTable names_;
  Machines machines_;
};

}  // namespace rookdyke
