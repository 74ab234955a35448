#pragma once
// Reads the fields of a JSON object of the platform's settings file.

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/number_settings.h"

namespace rookdyke {

// Throws ConfigError with this message.
[[noreturn]] void reject_settings(const std::string& message);

// A view of a JSON object. The functions that read a field throw ConfigError with a one-line
// message that contains the field's path if the field is missing or invalid.
class SettingsObject {
 public:
  // `value` must outlive this object. `path` is the prefix of field names in error messages, such
  // as "params.workers."; empty for the top-level object.
  SettingsObject(const nlohmann::json& value, std::string path);

  // Whether the field exists. Its value may be null.
  bool has(const char* key) const;

  // A non-empty string.
  std::string string(const char* key) const;
  double number(const char* key, const Range& range) const;
  // A string of the form HOST:PORT.
  Endpoint endpoint(const char* key) const;
  // Any value; whether it is an object is checked when one of its fields is read.
  SettingsObject object(const char* key) const;
  // An object, or empty if the field is missing or null.
  std::optional<SettingsObject> optional_object(const char* key) const;
  std::vector<SettingsObject> objects(const char* key) const;
  std::vector<std::string> strings(const char* key) const;

 private:
  const nlohmann::json& require(const char* key) const;
  const nlohmann::json& require_list(const char* key) const;
  [[noreturn]] void reject(const char* key, const char* problem) const;

  const nlohmann::json& value_;
  std::string path_;
};

}  // namespace rookdyke
