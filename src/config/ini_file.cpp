// Reads the operators' settings (INI).

#include <ini.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <string>
#include <string_view>

#include "config/config.h"
#include "config/number_settings.h"

namespace rookdyke {

namespace {

struct IniSetting {
  const char* section;
  NumberSetting number;
};

constexpr std::array<IniSetting, 19> kIniSettings{{
    {"forecast", {"sample_s", &Tuning::sample_s, {0.5, 600}}},
    {"forecast", {"trend_s", &Tuning::trend_s, {0, 3600}}},
    {"forecast", {"percentile", &Tuning::percentile, {0.01, 1}}},
    {"forecast", {"history", &Tuning::history, {1, 100000}}},
    {"forecast", {"safe_fraction", &Tuning::safe_fraction, {0.05, 1}}},
    {"forecast", {"boot_window_s", &Tuning::boot_window_s, {0, 3600}}},
    {"forecast", {"start_spare", &Tuning::start_spare, {0, 1000}}},
    {"fleet", {"lull_s", &Tuning::scale_in_delay_s, {0, 86400}}},
    {"fleet", {"drain_deadline_s", &Tuning::drain_deadline_s, {1, 86400}}},
    {"fleet", {"hire_every_s", &Tuning::rental_interval_s, {0.2, 600}}},
    {"fleet", {"refusal_s", &Tuning::capacity_retry_s, {1, 3600}}},
    {"fleet", {"boot_patience", &Tuning::boot_timeout_factor, {1, 100}}},
    {"fleet", {"silence_s", &Tuning::heartbeat_timeout_s, {0, 3600}}},
    {"rounds", {"small_first", &Tuning::short_job_preference_s, {0, 100}}},
    {"rounds", {"round_s", &Tuning::round_s, {0.02, 60}}},
    {"rounds", {"round_max_s", &Tuning::round_max_s, {0.02, 60}}},
    {"node", {"lease_ttl_s", &Config::lease_ttl_s, {0.5, 60}}},
    {"node", {"watch_s", &Config::leader_watch_s, {0.02, 10}}},
    {"node", {"follow_s", &Config::follower_watch_s, {0.02, 10}}},
}};

// Returns the number that the text represents, or empty if the text is not a number or the setting
// does not accept it.
std::optional<double> parse_value(const std::string& text, const NumberSetting& setting) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || parsed_to != end) return std::nullopt;
  if (!std::isfinite(value) || !setting.range.contains(value)) return std::nullopt;
  if (is_integer(setting.target) && value != std::floor(value)) return std::nullopt;
  return value;
}

// Applies the lines of an INI file until the first invalid one.
class IniReader {
 public:
  explicit IniReader(Config& config) : config_(config) {}

  void read_line(const std::string& section, const std::string& key, const std::string& text) {
    if (!error_.empty()) return;
    const NumberSetting* setting = find(section, key);
    if (!setting) {
      error_ = has_section(section) ? "unknown key " + key + " in [" + section + "]"
                                    : "unknown section [" + section + "]";
      return;
    }
    const auto value = parse_value(text, *setting);
    if (value)
      assign(config_, setting->target, *value);
    else
      error_ = "bad value for " + key + " in [" + section + "]";
  }

  // Describes the first invalid line; empty if there was none.
  const std::string& error() const { return error_; }

 private:
  static bool has_section(std::string_view section) {
    return std::any_of(kIniSettings.begin(), kIniSettings.end(),
                       [&](const IniSetting& setting) { return setting.section == section; });
  }
  static const NumberSetting* find(std::string_view section, std::string_view key) {
    for (const IniSetting& setting : kIniSettings)
      if (setting.section == section && setting.number.key == key) return &setting.number;
    return nullptr;
  }

  Config& config_;
  std::string error_;
};

// Callback of the INI library for each setting. Returns 1, which reports to the library that the
// line was well-formed; invalid settings are reported by IniReader::error().
int on_line(void* reader, const char* section, const char* key, const char* value) {
  static_cast<IniReader*>(reader)->read_line(section, key, value);
  return 1;
}

}  // namespace

void apply_ini(Config& config, const std::string& path) {
  IniReader reader(config);
  const int result = ini_parse(path.c_str(), on_line, &reader);
  if (result < 0) throw ConfigError("ini: cannot read " + path);
  if (!reader.error().empty()) throw ConfigError("ini: " + reader.error());
  if (result > 0)
    throw ConfigError("ini: " + path + " line " + std::to_string(result) + " cannot be understood");
  const Tuning& tuning = config.scheduler.tuning;
  if (tuning.round_max_s < tuning.round_s) throw ConfigError("ini: round_max_s is below round_s");
}

}  // namespace rookdyke
