#pragma once
// The machines that the leader knows, by dense index. Owns the machines and their names, and marks
// changes in the list of rented machines. Only this class changes a machine's state.

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

  // Returns the machine with that name. Adds it in state booting, rented at `now`, if it is
  // missing.
  Machine& get_or_add(const std::string& name, double now);
  // The index of the machine with that name; kNone if it was never added.
  Index index_of(const std::string& name) const { return names_.find(name); }

  Machine& operator[](Index machine) { return *machines_[machine]; }
  const Machine& operator[](Index machine) const { return *machines_[machine]; }
  size_t size() const { return machines_.size(); }

  // Iterates by machine index; no element is null. Terminated machines stay in the table, because
  // late heartbeats and outdated machine lists still name them and must not add them again.
  Machines::const_iterator begin() const { return machines_.begin(); }
  Machines::const_iterator end() const { return machines_.end(); }
  const Machines& all() const { return machines_; }

  // Marks the machine's entry in the rented list as changed.
  void mark_changed(const Machine& machine) { rented_.mark_changed(machine.index); }

  // Sets what is known of the machine's type, zone and kind. What is unknown in `attributes`, and a
  // type that is not in the catalog, replaces nothing.
  void set_attributes(Machine& machine, const MachineAttributes& attributes);

  // Changes the machine's state and logs the transition with its reason. If the state machine does
  // not allow the transition, returns false, changes nothing and logs an error.
  static bool set_state(Machine& machine, MachineState to, const char* reason);
  // Drains the machine: it gets no new tasks and is returned once it is empty. Does nothing unless
  // the machine is ready.
  static void drain(Machine& machine, double now, const char* reason);
  // Marks the machine to be returned to the cloud as soon as possible, whatever runs on it.
  static void terminate(Machine& machine, const char* reason) {
    set_state(machine, MachineState::terminating, reason);
  }

 private:
  RentedList& rented_;
  NameTable names_;
  Machines machines_;
};

}  // namespace rookdyke
