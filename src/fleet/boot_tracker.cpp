#include "fleet/boot_tracker.h"

namespace rookdyke {

namespace {
// Boot time assumed for a machine whose type is not known.
constexpr double kUnknownTypeBootS = 60;
}  // namespace

BootTracker::BootTracker(const Settings& settings, const Catalog& catalog,
                         const MachineTable& machines, double started)
    : machines_(machines),
      started_(started),
      unknown_type_(kUnknownTypeBootS, settings.tuning.boot_timeout_factor) {
  by_type_.reserve(catalog.types.size());
  for (const MachineType& type : catalog.types)
    by_type_.emplace_back(type.boot_s, settings.tuning.boot_timeout_factor);
}

void BootTracker::record_boot(const Machine& machine, double now) {
  if (machine.type == kNone || machine.rented_at <= started_) return;
  by_type_[machine.type].record(now, now - machine.rented_at);
}

const BootStatistics& BootTracker::statistics_of(const Machine& machine) const {
  return machine.type == kNone ? unknown_type_ : by_type_[machine.type];
}

bool BootTracker::is_overdue(const Machine& machine, double now) const {
  return machine.state == MachineState::booting && !machine.was_up && machine.type != kNone &&
         machine.rented_at > started_ &&
         now - machine.rented_at > statistics_of(machine).overdue_threshold_s();
}

void BootTracker::update(double now) {
  std::vector<size_t> overdue(by_type_.size());
  for (const auto& machine : machines_)
    if (is_overdue(*machine, now)) ++overdue[machine->type];
  for (Index type = 0; type < by_type_.size(); ++type) by_type_[type].update(now, overdue[type]);
}

}  // namespace rookdyke
