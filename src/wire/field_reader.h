#pragma once
// Reading typed fields out of messages that others sent. A field that is missing, null or of
// another type is never converted: the library would turn -1 into a huge count and true into 1.
// Used by the decoders of src/wire/ only. No function here throws.

#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace rookdyke::wire {

using nlohmann::json;

// Limits of what is believed.
inline constexpr size_t kMaxNameBytes = 200;
inline constexpr double kMaxAmount = 1e12;

// The field of that name; null if the message is no object, or the field missing or null.
const json* find_field(const json& message, const char* name);

// The field's value; the fallback if it is missing or of another type.
std::string text_or(const json& message, const char* name, const std::string& fallback = "");
double number_or(const json& message, const char* name, double fallback);  // finite
bool flag_or(const json& message, const char* name, bool fallback = false);

// A whole number of at least 0; empty if the field is missing or anything else.
std::optional<uint64_t> whole(const json& message, const char* name);

// Whether the value is a list.
bool is_list(const json* value);
// Whether the value is a finite number from 0 to kMaxAmount.
bool is_amount(const json& value);
// Whether the value is a text that can serve as a name: not empty, at most kMaxNameBytes, and UTF-8
// (siblings get names as JSON, which holds no other text).
bool is_name(const json& value);

// A value of the protocol and the enumerator that stands for it.
template <class Enum>
struct NamedValue {
  std::string_view name;
  Enum value;
};

// The enumerator of that name; empty: there is none.
template <class Enum, size_t N>
std::optional<Enum> value_named(const std::array<NamedValue<Enum>, N>& values,
                                std::string_view name) {
  for (const NamedValue<Enum>& candidate : values)
    if (candidate.name == name) return candidate.value;
  return std::nullopt;
}

// The name of that enumerator; empty: it has none.
template <class Enum, size_t N>
std::string_view name_of(const std::array<NamedValue<Enum>, N>& values, Enum value) {
  for (const NamedValue<Enum>& candidate : values)
    if (candidate.value == value) return candidate.name;
  return "";
}

}  // namespace rookdyke::wire
