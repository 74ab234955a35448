#pragma once
// Messages between the leader and the cloud: machine types, rentals, returns and the list of rented
// machines. Used by src/cloud/. Decoding never throws.

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "model/scheduler_messages.h"
#include "model/types.h"

namespace rookdyke::wire {

using nlohmann::json;

// Decodes the machine types that can be rented. Returns nullopt if the list is missing or empty, or
// if any entry is invalid or has the name of an earlier one: jobs are admitted by this list, so
// jobs that could run would be refused if a type were left out.
std::optional<std::vector<MachineType>> parse_machine_types(const json& message);

// Encodes a request to rent machines.
json encode_rental_request(const RentalRequest& request);
// Decodes the names of the machines in the response to a rental request. Returns nullopt if there
// is no list; invalid names are left out.
std::optional<std::vector<std::string>> parse_rented_machines(const json& message);
// Whether a rental was refused because the cloud has no capacity.
bool is_no_capacity(const json& message);

// Encodes a request to return machines.
json encode_return_request(const std::vector<std::string>& names);

// A page of the list of rented machines, ordered by name.
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;  // whether more machines follow
};
// Returns the path and query that request the page of at most `max_count` machines whose names
// follow `after` (empty: the first page).
std::string machine_list_path(const std::string& after, int max_count);
// Returns nullopt if there is no list; machines without a valid name are left out.
std::optional<MachinePage> parse_machine_page(const json& message);

}  // namespace rookdyke::wire
