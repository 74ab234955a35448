#pragma once
// Messages between the leader and the cloud: machine types, rentals, returns and the list of rented
// machines. Called by src/cloud/. Decoding never throws.

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "model/scheduler_messages.h"
#include "model/types.h"

namespace rookdyke::wire {

using nlohmann::json;

// The machine types that can be rented. Empty if one of them is invalid: jobs are admitted by this
// list, and without one type, jobs that could run would be refused.
std::optional<std::vector<MachineType>> parse_types(const json& message);

// The request for machines, and the names of those that were rented (empty: invalid).
json rent(const RentalRequest& request);
std::optional<std::vector<std::string>> parse_rented(const json& message);
// Whether a refused rental failed for want of capacity.
bool is_no_capacity(const json& message);

// The request to return these machines.
json return_machines(const std::vector<std::string>& names);

// A page of the list of rented machines, in the order of their names.
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;  // the list goes on after the last of them
};
// The path of the page that begins after that name (empty: the first page).
std::string list_path(const std::string& after, int max_count);
// Empty: invalid. Entries without a valid name are left out.
std::optional<MachinePage> parse_machines(const json& message);

}  // namespace rookdyke::wire
