#include "simulation/cloud.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "simulation/world.h"

namespace rookdyke::test {

namespace {
constexpr int kDefaultCapacity = 100;
// Boots take between so many times the type's boot time.
constexpr double kFastestBoot = 0.6, kBootSpread = 0.9;
}  // namespace

Cloud::Cloud(World& world) : world_(world) {
  for (const MachineType& type : world.types)
    for (const std::string& zone : type.zones) {
      capacity[{zone, false}] = kDefaultCapacity;
      capacity[{zone, true}] = kDefaultCapacity;
    }
}

Cloud::RentalAnswer Cloud::rent(const RentalRequest& request) {
  if (outage) return {};
  if (auto it = rented_.find(request.name); it != rented_.end())
    return {CloudOutcome::done, it->second};
  int& left = capacity[{request.zone, request.spot}];
  const int n = std::min(left, request.count);
  if (n <= 0) return {CloudOutcome::no_capacity, {}};
  left -= n;
  ++rentals;
  const MachineType* type = nullptr;
  for (const MachineType& t : world_.types)
    if (t.name == request.type) type = &t;
  std::vector<std::string>& names = rented_[request.name];
  for (int i = 0; i < n; ++i) names.push_back(add_machine(request, *type));
  return {CloudOutcome::done, names};
}

std::string Cloud::add_machine(const RentalRequest& request, const MachineType& type) {
  std::array<char, 16> digits{};
  std::snprintf(digits.data(), digits.size(), "m-%06u", static_cast<unsigned>(next_machine_++));
  std::string name = digits.data();
  auto worker = std::make_unique<Worker>(world_, name, type, request.zone, request.spot);
  if (world_.chance() >= world_.faults.never_boots) {
    const double boot_s =
        world_.faults.slow_boots * type.boot_s * (kFastestBoot + kBootSpread * world_.chance());
    world_.clock.after(boot_s, [machine = worker.get()] { machine->boot(); });
  }
  workers[name] = std::move(worker);
  return name;
}

void Cloud::return_machines(const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    auto it = workers.find(name);
    if (it == workers.end() || it->second->terminated) continue;
    ++returns;
    it->second->vanish();
    ++capacity[{it->second->zone, it->second->spot}];
  }
}

std::vector<ListedMachine> Cloud::list() const {
  const double now = world_.clock.now;
  const double lag_s = world_.faults.late_list * world_.settings.list_lag_s;
  std::vector<ListedMachine> out;
  for (const auto& [name, w] : workers) {
    if (w->terminated || now - w->rented_at < lag_s) continue;
    out.push_back({name, "worker-" + name, w->type.name, w->zone, w->spot,
                   w->up ? ListedMachine::State::running : ListedMachine::State::booting,
                   now - w->rented_at});
  }
  return out;
}

size_t Cloud::machine_count() const {
  return static_cast<size_t>(std::count_if(workers.begin(), workers.end(),
                                           [](const auto& w) { return !w.second->terminated; }));
}

}  // namespace rookdyke::test
