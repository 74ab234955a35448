#include "ledger_writer/rented_list_writer.h"

#include <utility>

namespace rookdyke {

void RentedListWriter::load(const LedgerCache& ledger, double now) {
  for (const RentedMachine& rented :
       rented_list_.load(ledger.rented_list_rows(), catalog_.type_names, catalog_.zones)) {
    Machine& machine = machines_.get_or_add(rented.name, now);
    machines_.set_attributes(machine, rented.attributes);
    if (machine.zone != kNone) rented_list_.mark_durable(machine.index);
  }
}

// Returns empty if there is no machine with the given index or it is not to be listed.
std::optional<RentedMachine> RentedListWriter::listed_machine(Index index) const {
  if (index >= machines_.size()) return std::nullopt;
  const Machine& machine = machines_[index];
  if (machine.state == MachineState::terminated || machine.zone == kNone) return std::nullopt;
  return RentedMachine{machine.name, machine.attributes()};
}

LedgerWrite RentedListWriter::begin_write(ledger::Transaction transaction, double now) {
  const auto lookup = [this](Index index) { return listed_machine(index); };
  rented_list_.write(now, settings_.min_txn_ops(), lookup, catalog_.type_names, catalog_.zones,
                     transaction);
  return {std::move(transaction), {}, RentedListWrite{}};
}

}  // namespace rookdyke
