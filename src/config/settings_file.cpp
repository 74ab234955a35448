// Reads the platform's settings file (JSON).

#include <array>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/config.h"
#include "config/number_settings.h"
#include "config/settings_object.h"

namespace rookdyke {

using nlohmann::json;

namespace {

constexpr double kBytesPerKb = 1024;
constexpr Range kValueKbRange{0.25, 1e6};
constexpr Range kTransactionChangesRange{1, 1e6};
constexpr Range kWriteRateRange{0.5, 1e9};  // changes per second
constexpr Range kQuotaRange{0, 1e9};
constexpr Range kObjectiveSecondsRange{0, 1e9};

constexpr std::array<NumberSetting, 1> kDeploymentSettings{{
    {"nodes", &Config::nodes, {1, 1000}},
}};

constexpr std::array<NumberSetting, 5> kWorkerSettings{{
    {"report_s", &Settings::heartbeat_interval_s, {0.1, 3600}},
    {"lease_s", &Settings::lease_s, {0.5, 86400}},
    {"gang_wait_s", &Settings::gang_wait_s, {0, 86400}},
    {"gang_peer_s", &Settings::gang_peer_s, {0, 86400}},
    {"cancel_s", &Settings::cancel_s, {0, 86400}},
}};

constexpr std::array<NumberSetting, 2> kStateRateSettings{{
    {"rps", &Config::state_rps, {1, 1e9}},
    {"write_rps", &Config::write_rps, kWriteRateRange},
}};

constexpr std::array<NumberSetting, 2> kCloudSettings{{
    {"rps", &Config::cloud_rps, {0.1, 1e9}},
    {"list_lag_s", &Settings::list_lag_s, {0, 3600}},
}};

constexpr std::array<NumberSetting, 3> kResourceSettings{{
    {"cores", &Config::cores, {0.001, 1e6}},
    {"memory_mb", &Config::memory_mb, {1, 1e9}},
    {"max_sockets", &Config::max_sockets, {16, 1e9}},
}};

template <size_t N>
void read_numbers(const SettingsObject& object, const std::array<NumberSetting, N>& settings,
                  Config& config) {
  for (const NumberSetting& setting : settings)
    assign(config, setting.target, object.number(setting.key, setting.range));
}

void read_addresses(const SettingsObject& file, Config& config) {
  config.scheduler.label = file.string("label");
  config.bind = file.endpoint("bind");
  config.mesh = file.endpoint("mesh_addr");
  for (const SettingsObject& peer : file.objects("siblings"))
    config.peers.push_back({peer.string("label"), peer.endpoint("endpoint")});
  const SettingsObject external = file.object("external");
  config.cloud = external.endpoint("cloud");
  config.state = external.endpoint("state");
}

TeamQuota read_team(const SettingsObject& team) {
  TeamQuota quota;
  quota.name = team.string("name");
  quota.cpus = team.number("cpus", kQuotaRange);
  quota.cpus_max = team.number("cpus_max", kQuotaRange);
  quota.gpus = team.number("gpus", kQuotaRange);
  quota.gpus_max = team.number("gpus_max", kQuotaRange);
  return quota;
}

void read_objectives(const SettingsObject& params, std::vector<Objective>& objectives) {
  if (!params.has("objectives")) return;
  for (const SettingsObject& entry : params.objects("objectives")) {
    const std::string kind = entry.string("kind");
    // The platform may add other kinds, which do not affect the order of work.
    if (kind != "wait" && kind != "finished") continue;
    Objective objective;
    objective.is_start_objective = kind == "wait";
    objective.job_class = entry.string("class");
    objective.within_s = entry.number("within_s", kObjectiveSecondsRange);
    objectives.push_back(std::move(objective));
  }
}

size_t read_value_bytes(const SettingsObject& state) {
  return static_cast<size_t>(state.number("value_kb", kValueKbRange) * kBytesPerKb);
}

size_t read_transaction_changes(const SettingsObject& state) {
  return static_cast<size_t>(state.number("txn_ops", kTransactionChangesRange));
}

// Returns the limits that the state service will have after lowering them at an unannounced time,
// or empty if the file does not contain any.
std::optional<StateLimits> read_next_limits(const SettingsObject& state) {
  const auto next = state.optional_object("next");
  if (!next) return std::nullopt;
  StateLimits limits;
  limits.value_bytes = read_value_bytes(*next);
  limits.txn_ops = read_transaction_changes(*next);
  limits.write_rps = next->number("write_rps", kWriteRateRange);
  return limits;
}

void read_state(const SettingsObject& state, Config& config) {
  read_numbers(state, kStateRateSettings, config);
  config.scheduler.value_bytes = read_value_bytes(state);
  config.scheduler.txn_ops = read_transaction_changes(state);
  config.scheduler.next_limits = read_next_limits(state);
}

void read_params(const SettingsObject& params, Config& config) {
  read_numbers(params, kDeploymentSettings, config);
  config.scheduler.zones = params.strings("zones");
  for (const SettingsObject& team : params.objects("teams"))
    config.scheduler.teams.push_back(read_team(team));
  read_objectives(params, config.scheduler.objectives);
  read_numbers(params.object("workers"), kWorkerSettings, config);
  read_state(params.object("state"), config);
  read_numbers(params.object("cloud"), kCloudSettings, config);
  read_numbers(params.object("resources"), kResourceSettings, config);
}

}  // namespace

Config parse_config(const std::string& json_text) {
  const json body = json::parse(json_text, nullptr, false);
  if (body.is_discarded() || !body.is_object()) reject_settings("not a JSON object");
  const SettingsObject file(body, "");
  Config config;
  read_addresses(file, config);
  read_params(file.object("params"), config);
  return config;
}

Config read_config(const std::string& json_path, const std::optional<std::string>& ini_path) {
  std::ifstream file(json_path);
  if (!file) reject_settings("cannot read " + json_path);
  std::stringstream text;
  text << file.rdbuf();
  Config config = parse_config(text.str());
  if (ini_path) apply_ini(config, *ini_path);
  return config;
}

}  // namespace rookdyke
