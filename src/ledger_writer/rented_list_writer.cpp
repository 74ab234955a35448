#include "ledger_writer/rented_list_writer.h"

#include <utility>

namespace rookdyke {

void RentedListWriter::load(const LedgerCache& ledger, double now) {
  for (const RentedMachine& rented :
       rented_list_.load(ledger.rented_list_rows(), catalog_.type_names, catalog_.zones)) {
    Machine& machine = machines_.get_or_add(rented.name, now);
    machine.type = rented.type;
    machine.zone = rented.zone;
    machine.spot = rented.spot;
  }
}

// Returns empty if there is no machine with the given index or it is not to be listed.
std::optional<RentedMachine> RentedListWriter::listed_machine(Index index) const {
  if (index >= machines_.size()) return std::nullopt;
  const Machine& machine = machines_[index];
  if (machine.state == MachineState::terminated || machine.type == kNone) return std::nullopt;
  return RentedMachine{machine.name, machine.type, machine.zone, machine.spot};
}

LedgerWrite RentedListWriter::begin_write(ledger::Transaction transaction, double now) {
  const auto lookup = [this](Index index) { return listed_machine(index); };
  rented_list_.write(now, settings_.min_txn_ops(), lookup, catalog_.type_names, catalog_.zones,
                     transaction);
  return {std::move(transaction), {}, RentedListWrite{}};
}

}  // namespace rookdyke
