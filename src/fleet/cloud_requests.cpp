#include "fleet/cloud_requests.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

namespace rookdyke {

namespace {

constexpr double kMaxRentalCount = 50;   // machines in one request
constexpr size_t kMaxReturnCount = 100;  // machines in one return call
constexpr double kReturnRetryS = 1;
// Added to two list lags: every list contains the machines that are older than this sum.
constexpr double kListMarginS = 1;

MachineKind kind_of(const RentalRequest& request) {
  return request.spot ? MachineKind::spot : MachineKind::on_demand;
}

}  // namespace

CloudRequests::CloudRequests(const Settings& settings, Catalog& catalog,
                             const LeadershipClaim& claim, JobTable& jobs, MachineTable& machines,
                             TaskLifecycle& lifecycle, const MachineMonitor& monitor)
    : settings_(settings),
      catalog_(catalog),
      claim_(claim),
      jobs_(jobs),
      machines_(machines),
      lifecycle_(lifecycle),
      monitor_(monitor),
      no_capacity_until_(catalog.types.size()) {}

// ---------------------------------------------------------------- rentals

bool CloudRequests::lacks_capacity(Index type, const ZoneAndKind& zone_and_kind, double now) const {
  const auto entry = no_capacity_until_[type].find(zone_and_kind);
  return entry != no_capacity_until_[type].end() && now < entry->second;
}

std::vector<CloudRequests::PendingRental> CloudRequests::pending_rentals(Index type) const {
  std::vector<PendingRental> pending;
  for (const RentalRequest& request : rental_requests_)
    if (request.type == catalog_.types[type].name)
      pending.push_back({{catalog_.zones.find(request.zone), kind_of(request)}, request.count});
  return pending;
}

bool CloudRequests::request_machines(Index type, const ZoneAndKind& zone_and_kind, double count,
                                     double now) {
  if (lacks_capacity(type, zone_and_kind, now)) return false;
  RentalRequest request;
  // Invariant 4: the fencing token makes the name unique among leaders, and the number makes it
  // unique among the requests of this leader.
  request.name =
      "h-" + std::to_string(claim_.fencing_token()) + "-" + std::to_string(++last_rental_number_);
  request.type = catalog_.types[type].name;
  request.zone = catalog_.zones.name(zone_and_kind.zone);
  request.spot = zone_and_kind.kind == MachineKind::spot;
  request.count = static_cast<int>(std::clamp(count, 1.0, kMaxRentalCount));
  rental_requests_.push_back(request);
  next_request_at_ = now + settings_.tuning.rental_interval_s;
  return true;
}

std::optional<RentalRequest> CloudRequests::next_rental_request(double now) {
  if (claim_.is_lost() || rental_in_flight_ || rental_requests_.empty() || now < retry_at_)
    return std::nullopt;
  rental_in_flight_ = true;
  return rental_requests_.front();
}

void CloudRequests::on_rental_result(const RentalRequest& request, CloudOutcome outcome,
                                     const std::vector<std::string>& names, double now) {
  rental_in_flight_ = false;
  if (rental_requests_.empty() || rental_requests_.front().name != request.name) return;
  const char* kind = request.spot ? "spot" : "on-demand";
  switch (outcome) {
    case CloudOutcome::done:
      add_rented(request, names, now);
      spdlog::info("rented {} of {} requested {} {} machines in {}", names.size(), request.count,
                   kind, request.type, request.zone);
      rental_requests_.pop_front();
      if (names.size() < static_cast<size_t>(request.count)) record_no_capacity(request, now);
      break;
    case CloudOutcome::no_capacity:
      spdlog::info("cloud has no capacity for {} {} machines in {}", kind, request.type,
                   request.zone);
      rental_requests_.pop_front();
      record_no_capacity(request, now);
      break;
    case CloudOutcome::refused:
      // The cloud did not execute this copy, but an earlier copy may still be in flight, so the
      // request is repeated under the same name.
    case CloudOutcome::indeterminate:
      retry_at_ = now + settings_.tuning.rental_interval_s;
      break;
  }
}

void CloudRequests::add_rented(const RentalRequest& request, const std::vector<std::string>& names,
                               double now) {
  for (const std::string& name : names) {
    Machine& machine = machines_.get_or_add(name, now);
    if (machine.state != MachineState::booting || machine.registered) continue;
    machines_.set_attributes(machine,
                             {catalog_.type_names.find(request.type),
                              catalog_.zones.intern_unless_empty(request.zone), request.spot});
    machine.rented_at = now;
  }
}

void CloudRequests::record_no_capacity(const RentalRequest& request, double now) {
  const Index type = catalog_.type_names.find(request.type);
  if (type == kNone) return;
  const ZoneAndKind zone_and_kind{catalog_.zones.intern(request.zone), kind_of(request)};
  no_capacity_until_[type][zone_and_kind] = now + settings_.tuning.capacity_retry_s;
}

// ---------------------------------------------------------------- returns

std::vector<std::string> CloudRequests::next_return(double now, bool cancelled_only) {
  std::vector<std::string> names;
  if (claim_.is_lost()) return names;
  for (const auto& machine : machines_) {
    if (machine->state != MachineState::terminating || machine->returning ||
        now < machine->return_after)
      continue;
    if (cancelled_only && !monitor_.holds_cancelled_tasks(*machine)) continue;
    machine->returning = true;
    names.push_back(machine->name);
    if (names.size() == kMaxReturnCount) break;
  }
  return names;
}

void CloudRequests::on_return_result(const std::vector<std::string>& names, CloudOutcome outcome,
                                     double now) {
  for (const std::string& name : names) {
    const Index index = machines_.index_of(name);
    if (index == kNone) continue;
    Machine& machine = machines_[index];
    machine.returning = false;
    if (outcome == CloudOutcome::done)
      mark_returned(machine, now);
    else
      machine.return_after = now + kReturnRetryS;
  }
}

// Invariant 3: the cloud's response proves that nothing runs on the machine any more.
void CloudRequests::mark_returned(Machine& machine, double now) {
  constexpr const char* kReason = "returned";
  if (!MachineTable::set_state(machine, MachineState::terminated, kReason)) return;
  const auto tasks = machine.tasks;  // a copy, since end() removes the entry
  for (const auto& [job, task] : tasks)
    lifecycle_.end(jobs_[job], task, ExitCause::none, now, kReason);
  machines_.mark_changed(machine);
}

// ---------------------------------------------------------------- reconciliation

void CloudRequests::update_from_list(Machine& machine, const ListedMachine& listed, double now) {
  machine.listed = true;
  machine.unlisted_at = -1;
  if (machine.type == kNone || machine.zone == kNone)
    machines_.set_attributes(machine,
                             {catalog_.type_names.find(listed.type),
                              catalog_.zones.intern_unless_empty(listed.zone), listed.spot});
  if (machine.addr.empty()) machine.addr = listed.addr;
  if (!machine.registered) machine.rented_at = std::min(machine.rented_at, now - listed.age_s);
  if (listed.state == ListedMachine::State::running && !machine.registered && !machine.was_up) {
    machine.was_up = true;
    machine.last_heartbeat = now;  // the heartbeat timeout starts now, not when it was rented
  }
  if (listed.state == ListedMachine::State::failed && machine.state != MachineState::terminating)
    MachineTable::terminate(machine, "reported as failed by the cloud");
}

void CloudRequests::on_machine_list(const std::vector<ListedMachine>& list, double requested_at,
                                    double now) {
  std::set<Index> listed_machines;
  for (const ListedMachine& listed : list) {
    Machine& machine = machines_.get_or_add(listed.name, now);
    listed_machines.insert(machine.index);
    if (machine.state == MachineState::terminated) continue;  // the list is older than the return
    update_from_list(machine, listed, now);
  }
  for (const auto& machine : machines_) {
    if (machine->state == MachineState::terminated || listed_machines.count(machine->index))
      continue;
    // A list may be older than the previous one. A machine's absence counts only if the machine was
    // listed before, or if it was rented longer ago than a list can be out of date.
    const bool in_every_list =
        requested_at - machine->rented_at > 2 * settings_.list_lag_s + kListMarginS;
    if ((machine->listed || in_every_list) && machine->unlisted_at < 0) machine->unlisted_at = now;
  }
}

}  // namespace rookdyke
