#include "wire/cloud_messages.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <utility>

#include "wire/field_names.h"
#include "wire/field_reader.h"
#include "wire/paths.h"
#include "wire/percent_encoding.h"

namespace rookdyke::wire {

namespace {

// Defaults for machine types without these fields.
constexpr double kDefaultFetchGbPerS = 1;
constexpr double kDefaultBootS = 60;
// Lower bounds, which prevent division by zero.
constexpr double kMinFetchGbPerS = 1e-3;
constexpr double kMinBootS = 1;

constexpr std::array<NamedValue<ListedMachine::State>, 2> kMachineStates{{
    {value::machine_state::kRunning, ListedMachine::State::running},
    {value::machine_state::kFailed, ListedMachine::State::failed},
}};

bool has_amount(const json& message, const char* name) {
  const json* value = find_field(message, name);
  return value && is_amount(*value);
}

bool is_absent_or_amount(const json& message, const char* name) {
  const json* value = find_field(message, name);
  return !value || is_amount(*value);
}

bool is_machine_type(const json& message) {
  namespace names = field::machine_type;
  const json* name = find_field(message, names::kName);
  if (!name || !is_name(*name)) return false;
  for (const char* required : {names::kCpus, names::kGpus, names::kMemoryGb})
    if (!has_amount(message, required)) return false;
  for (const char* optional : {names::kCacheGb, names::kFetchGbPerS, names::kPricePerHour,
                               names::kSpotPricePerHour, names::kBootS})
    if (!is_absent_or_amount(message, optional)) return false;
  const json* zones = find_field(message, names::kZones);
  return is_list(zones) && std::all_of(zones->begin(), zones->end(), is_name);
}

std::optional<MachineType> parse_machine_type(const json& message) {
  namespace names = field::machine_type;
  if (!is_machine_type(message)) return std::nullopt;
  MachineType type;
  type.name = text_or(message, names::kName);
  type.size.cpus = number_or(message, names::kCpus, 0);
  type.size.gpus = number_or(message, names::kGpus, 0);
  type.size.memory_gb = number_or(message, names::kMemoryGb, 0);
  type.cache_gb = number_or(message, names::kCacheGb, 0);
  type.fetch_gb_per_s =
      std::max(kMinFetchGbPerS, number_or(message, names::kFetchGbPerS, kDefaultFetchGbPerS));
  type.price = number_or(message, names::kPricePerHour, 0);
  type.spot_price = number_or(message, names::kSpotPricePerHour, type.price);
  type.boot_s = std::max(kMinBootS, number_or(message, names::kBootS, kDefaultBootS));
  find_field(message, names::kZones)->get_to(type.zones);
  return type;
}

std::optional<ListedMachine> parse_listed_machine(const json& message) {
  const json* name = find_field(message, field::machine_list::kName);
  if (!name || !is_name(*name)) return std::nullopt;
  ListedMachine machine;
  machine.name = name->get<std::string>();
  machine.addr = text_or(message, field::machine_list::kAddress);
  machine.type = text_or(message, field::machine_list::kType);
  machine.zone = text_or(message, field::machine_list::kZone);
  machine.spot = flag_or(message, field::machine_list::kSpot);
  machine.state = enum_from_name(kMachineStates, text_or(message, field::machine_list::kState))
                      .value_or(ListedMachine::State::booting);
  machine.age_s = number_or(message, field::machine_list::kAgeS, 0);
  return machine;
}

}  // namespace

std::optional<std::vector<MachineType>> parse_machine_types(const json& message) {
  const json* list = find_field(message, field::machine_type::kTypes);
  if (!is_list(list)) return std::nullopt;
  std::vector<MachineType> types;
  for (const json& entry : *list) {
    auto type = parse_machine_type(entry);
    if (!type || has_type(types, type->name)) {
      spdlog::error("cloud: machine types refused: an entry of the list is invalid or duplicate");
      return std::nullopt;
    }
    types.push_back(std::move(*type));
  }
  if (types.empty()) return std::nullopt;
  return types;
}

json encode_rental_request(const RentalRequest& request) {
  return {{field::rental::kRequestId, request.name},
          {field::rental::kType, request.type},
          {field::rental::kZone, request.zone},
          {field::rental::kSpot, request.spot},
          {field::rental::kCount, request.count}};
}

std::optional<std::vector<std::string>> parse_rented_machines(const json& message) {
  const json* list = find_field(message, field::rental::kMachines);
  if (!is_list(list)) return std::nullopt;
  std::vector<std::string> names;
  for (const json& name : *list)
    if (is_name(name)) names.push_back(name.get<std::string>());
  return names;
}

bool is_no_capacity(const json& message) {
  return text_or(message, field::error_response::kReason) == value::error_response::kNoCapacity;
}

json encode_return_request(const std::vector<std::string>& names) {
  return {{field::rental::kMachines, names}};
}

std::string machine_list_path(const std::string& after, int max_count) {
  std::string path = std::string(kMachinesPath) + "?most=" + std::to_string(max_count);
  if (!after.empty()) path += "&after=" + percent_encode(after);
  return path;
}

std::optional<MachinePage> parse_machine_page(const json& message) {
  const json* list = find_field(message, field::machine_list::kMachines);
  if (!is_list(list)) return std::nullopt;
  MachinePage page;
  page.more = flag_or(message, field::machine_list::kMore);
  for (const json& entry : *list)
    if (auto machine = parse_listed_machine(entry)) page.machines.push_back(std::move(*machine));
  return page;
}

}  // namespace rookdyke::wire
