#pragma once
// The simulated cloud: machines that can be rented, with their workers, until they are returned or
// taken back. The World owns one; controllers reach it over the network.

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "model/types.h"
#include "scheduler/scheduler.h"
#include "simulation/worker.h"

namespace rookdyke::test {

class Cloud {
 public:
  struct RentalAnswer {
    CloudOutcome outcome = CloudOutcome::refused;
    std::vector<std::string> names;
  };
  explicit Cloud(World& world);

  // Idempotent by the request's name: a repeated request is answered with the same machines.
  RentalAnswer rent(const RentalRequest& request);
  void return_machines(const std::vector<std::string>& names);
  // The machines as of list_lag_s ago, or a multiple of that (Faults::late_list).
  std::vector<ListedMachine> list() const;
  // Machines that are rented, whether they have booted or not.
  size_t machine_count() const;

  bool outage = false;
  std::map<std::pair<std::string, bool>, int> capacity;  // by zone and whether spot
  std::map<std::string, std::unique_ptr<Worker>> workers;
  size_t rentals = 0, returns = 0;

 private:
  std::string add_machine(const RentalRequest& request, const MachineType& type);

  World& world_;
  std::map<std::string, std::vector<std::string>> rented_;  // by request name
  uint64_t next_machine_ = 0;
};

}  // namespace rookdyke::test
