#include "wire/field_reader.h"

#include <cmath>

namespace rookdyke::wire {

const json* find_field(const json& message, const char* name) {
  if (!message.is_object()) return nullptr;
  const auto found = message.find(name);
  return found == message.end() || found->is_null() ? nullptr : &*found;
}

std::string text_or(const json& message, const char* name, const std::string& fallback) {
  const json* value = find_field(message, name);
  return value && value->is_string() ? value->get<std::string>() : fallback;
}

double number_or(const json& message, const char* name, double fallback) {
  const json* value = find_field(message, name);
  if (!value || !value->is_number()) return fallback;
  const auto number = value->get<double>();
  return std::isfinite(number) ? number : fallback;
}

bool flag_or(const json& message, const char* name, bool fallback) {
  const json* value = find_field(message, name);
  return value && value->is_boolean() ? value->get<bool>() : fallback;
}

std::optional<uint64_t> find_unsigned(const json& message, const char* name) {
  const json* value = find_field(message, name);
  if (!value || !value->is_number_integer()) return std::nullopt;
  if (!value->is_number_unsigned() && value->get<int64_t>() < 0) return std::nullopt;
  return value->get<uint64_t>();
}

bool is_list(const json* value) { return value && value->is_array(); }

bool is_amount(const json& value) {
  if (!value.is_number()) return false;
  const auto amount = value.get<double>();
  return std::isfinite(amount) && amount >= 0 && amount <= kMaxAmount;
}

bool is_name(const json& value) {
  if (!value.is_string()) return false;
  const auto& text = value.get_ref<const std::string&>();
  if (text.empty() || text.size() > kMaxNameBytes) return false;
  try {
    (void)value.dump();  // throws if the text is not UTF-8
  } catch (const json::exception&) {
    return false;
  }
  return true;
}

}  // namespace rookdyke::wire
