#pragma once
// The settings of one controller: the platform's settings file (JSON) and the operators' tuning
// (INI), read and checked once at the start by main(). Everything else gets a finished Config,
// which does not change.

#include <cstddef>
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

// Another replica of this deployment.
struct PeerController {
  std::string label;
  Endpoint mesh;  // where it answers its peer controllers
};

struct Config {
  Settings scheduler;

  Endpoint bind;   // where users, workers and health checks connect
  Endpoint mesh;   // where peer controllers connect
  Endpoint cloud;  // the cloud's API
  Endpoint state;  // the state service
  std::vector<PeerController> peers;
  int nodes = 1;  // replicas of the deployment, this one too

  // Limits that all replicas share.
  double state_rps = 50;  // requests a second to the state service
  double write_rps = 20;  // changes a second in the state service
  double cloud_rps = 2;   // requests a second to the cloud

  // What this process may use.
  size_t max_sockets = 1000;
  double cores = 1;
  double memory_mb = 0;

  // [node] of the INI file
  double lease_ttl_s = 2.5;       // of the lease that the leader key is attached to
  double leader_watch_s = 0.2;    // between a leader's reads of the ledger's changes
  double follower_watch_s = 0.5;  // between a follower's
};

// The settings cannot be used: what() is one line for the operator, and the program ends with exit
// code 2.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// All functions that read settings throw ConfigError.
Config read_config(const std::string& json_path, const std::optional<std::string>& ini_path);
// The settings file's text alone.
Config parse_config(const std::string& json_text);
// Applies the INI file over the defaults.
void apply_ini(Config& config, const std::string& path);

// How many connections may be open at once from users, workers and health checks, and from
// peer controllers. The rest of max_sockets is for what this process opens itself, and for
// connections that wait to be accepted.
size_t connections_from_outside(const Config& config);
size_t connections_from_peers(const Config& config);

}  // namespace rookdyke
