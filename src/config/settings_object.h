#pragma once
// An object of the platform's settings file, read field by field. Used by settings_file.cpp. Every
// function throws ConfigError with one line that names the field by its path.

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/number_settings.h"

namespace rookdyke {

// Ends the reading of the settings file with this message.
[[noreturn]] void reject_settings(const std::string& message);

class SettingsObject {
 public:
  // `value` must outlive this object. `path`: what messages write before the names of its fields,
  // such as "params.workers."; empty for the file itself.
  SettingsObject(const nlohmann::json& value, std::string path);

  // Whether the field is there; it may be null.
  bool has(const char* key) const;

  // A text that is not empty.
  std::string text(const char* key) const;
  double number(const char* key, const Range& range) const;
  // A text HOST:PORT.
  Endpoint endpoint(const char* key) const;
  // An object; that it is one shows when a field of it is read.
  SettingsObject object(const char* key) const;
  // The field if it is an object, empty if it is missing or null.
  std::optional<SettingsObject> optional_object(const char* key) const;
  std::vector<SettingsObject> objects(const char* key) const;
  std::vector<std::string> texts(const char* key) const;

 private:
  const nlohmann::json& require(const char* key) const;
  const nlohmann::json& require_list(const char* key) const;
  [[noreturn]] void reject(const char* key, const char* problem) const;

  const nlohmann::json& value_;
  std::string path_;
};

}  // namespace rookdyke
