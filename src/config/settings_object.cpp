#include "config/settings_object.h"

#include <charconv>
#include <cmath>
#include <utility>

namespace rookdyke {

using nlohmann::json;

namespace {

constexpr int kMinPort = 1;
constexpr int kMaxPort = 65535;

}  // namespace

void reject_settings(const std::string& message) { throw ConfigError("settings: " + message); }

SettingsObject::SettingsObject(const json& value, std::string path)
    : value_(value), path_(std::move(path)) {}

bool SettingsObject::has(const char* key) const {
  return value_.is_object() && value_.contains(key);
}

std::string SettingsObject::string(const char* key) const {
  const json& value = require(key);
  if (!value.is_string() || value.get_ref<const std::string&>().empty())
    reject(key, "must be a text");
  return value.get<std::string>();
}

double SettingsObject::number(const char* key, const Range& range) const {
  const json& value = require(key);
  if (!value.is_number()) reject(key, "must be a number");
  const auto number = value.get<double>();
  if (!std::isfinite(number) || !range.contains(number)) reject(key, "is out of range");
  return number;
}

Endpoint SettingsObject::endpoint(const char* key) const {
  const std::string address = string(key);
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) reject(key, "must be HOST:PORT");
  Endpoint endpoint;
  endpoint.host = address.substr(0, colon);
  const char* end = address.data() + address.size();
  const auto [parsed_to, error] = std::from_chars(address.data() + colon + 1, end, endpoint.port);
  if (error != std::errc() || parsed_to != end || endpoint.port < kMinPort ||
      endpoint.port > kMaxPort)
    reject(key, "has a bad port");
  return endpoint;
}

SettingsObject SettingsObject::object(const char* key) const {
  return {require(key), path_ + key + "."};
}

std::optional<SettingsObject> SettingsObject::optional_object(const char* key) const {
  if (!has(key) || value_.at(key).is_null()) return std::nullopt;
  if (!value_.at(key).is_object()) reject(key, "must be an object");
  return object(key);
}

std::vector<SettingsObject> SettingsObject::objects(const char* key) const {
  std::vector<SettingsObject> objects;
  for (const json& value : require_list(key)) objects.emplace_back(value, path_ + key + ".");
  return objects;
}

std::vector<std::string> SettingsObject::strings(const char* key) const {
  std::vector<std::string> texts;
  for (const json& value : require_list(key)) {
    if (!value.is_string()) reject(key, "must hold texts");
    texts.push_back(value.get<std::string>());
  }
  return texts;
}

const json& SettingsObject::require(const char* key) const {
  if (!has(key)) reject_settings("missing " + path_ + key);
  return value_.at(key);
}

const json& SettingsObject::require_list(const char* key) const {
  const json& value = require(key);
  if (!value.is_array()) reject(key, "must be a list");
  return value;
}

void SettingsObject::reject(const char* key, const char* problem) const {
  reject_settings(path_ + key + " " + problem);
}

}  // namespace rookdyke
