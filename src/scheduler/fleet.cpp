// The list of rented machines, as the ledger has it.

#include "scheduler/scheduler.h"

namespace rookdyke {

std::optional<PendingTransaction> Scheduler::fleet_transaction(double now) {
  if (!rented_list_.can_write(now)) return std::nullopt;
  const auto listed = [this](Index i) -> std::optional<RentedMachine> {
    if (i >= machines_.size()) return std::nullopt;
    const Machine& m = machines_[i];
    if (m.state == MachineState::terminated || m.type == kNone) return std::nullopt;
    return RentedMachine{m.name, m.type, m.zone, m.spot};
  };
  const uint64_t id = ++next_txn_;
  InFlightTransaction f;
  f.kind = InFlightTransaction::Kind::fleet;
  f.txn.transaction_id = transaction_id_of(id);
  f.txn.conditions = {{ledger::kLeaderKey, claim_.fencing_token()}};
  rented_list_.write(now, settings_.lasting_txn_ops(), listed, catalog_.type_names, catalog_.zones,
                     f.txn);
  PendingTransaction p{id, f.txn, false};
  in_flight_transactions_[id] = std::move(f);
  return p;
}

// The rented list as a predecessor left it.
void Scheduler::load_fleet(const LedgerCache& ledger_cache, double now) {
  for (const RentedMachine& rented :
       rented_list_.load(ledger_cache.fleet(), catalog_.type_names, catalog_.zones)) {
    Machine& m = machines_.get_or_add(rented.name, now);
    m.type = rented.type;
    m.zone = rented.zone;
    m.spot = rented.spot;
  }
}

}  // namespace rookdyke
