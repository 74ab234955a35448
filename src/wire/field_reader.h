#pragma once
// Typed access to the fields of received messages, for the decoders of src/wire/ only. Values of
// another type are never converted: the library would convert -1 to a huge unsigned number and true
// to 1. No function throws.

#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace rookdyke::wire {

using nlohmann::json;

// Limits of received values.
inline constexpr size_t kMaxNameBytes = 200;
inline constexpr double kMaxAmount = 1e12;

// Returns the named field, or nullptr if it is missing or null, or if the message is not an object.
const json* find_field(const json& message, const char* name);

// Return the value of the field, or the fallback if it is missing, null or of another type. Numbers
// that are not finite count as missing.
std::string text_or(const json& message, const char* name, const std::string& fallback = "");
double number_or(const json& message, const char* name, double fallback);
bool flag_or(const json& message, const char* name, bool fallback = false);

// Returns the value of the field, or nullopt if it is not a non-negative integer.
std::optional<uint64_t> find_unsigned(const json& message, const char* name);

bool is_list(const json* value);
// Whether the value is a finite number from 0 to kMaxAmount.
bool is_amount(const json& value);
// Whether the value is a valid name: a string that is not empty, not longer than kMaxNameBytes, and
// valid UTF-8. Names are sent to peer controllers in JSON, which requires UTF-8.
bool is_name(const json& value);

// An enumerator (`value`) and the string that represents it in the protocol (`name`).
template <class Enum>
struct NamedValue {
  std::string_view name;
  Enum value;
};

// Returns the enumerator of that name, or nullopt if there is none.
template <class Enum, size_t N>
std::optional<Enum> enum_from_name(const std::array<NamedValue<Enum>, N>& values,
                                   std::string_view name) {
  for (const NamedValue<Enum>& candidate : values)
    if (candidate.name == name) return candidate.value;
  return std::nullopt;
}

// Returns the name of the enumerator, or an empty string if it has none.
template <class Enum, size_t N>
std::string_view enum_to_name(const std::array<NamedValue<Enum>, N>& values, Enum value) {
  for (const NamedValue<Enum>& candidate : values)
    if (candidate.value == value) return candidate.name;
  return "";
}

}  // namespace rookdyke::wire
