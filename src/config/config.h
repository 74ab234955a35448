#pragma once
// The platform's settings file (JSON) and the operators' own (INI), checked.

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "model/settings.h"

namespace rookdyke {

struct Endpoint {
  std::string host;
  int port = 0;
};

struct Sibling {
  std::string label;
  Endpoint mesh;
};

struct Config {
  Settings scheduler;
  Endpoint bind, mesh, cloud, state;
  std::vector<Sibling> siblings;
  double state_rps = 50, write_rps = 20, cloud_rps = 2;
  size_t max_sockets = 1000;
  double cores = 1;
  double memory_mb = 0;
  int nodes = 1;
  // [node] of the INI file
  double lease_ttl_s = 2.5;       // the leader key's lease
  double leader_watch_s = 0.2;    // the leader's interval between looks at the ledger
  double follower_watch_s = 0.5;  // a follower's
};

// One clear line for the operator; the program ends with exit code 2.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

Config read_config(const std::string& json_path, const std::optional<std::string>& ini_path);
// The same from text, for tests.
Config parse_config(const std::string& json_text);
void apply_ini(Config& config, const std::string& path);

// How the sockets of the settings are shared out: connections that users, workers and health checks
// may hold open at once, and siblings. The rest is for what this process opens itself, and for
// connections that wait to be taken in a rush.
size_t connections_from_outside(const Config& config);
size_t connections_from_siblings(const Config& config);

}  // namespace rookdyke
