#pragma once
// The settings of one controller: the platform's settings file (JSON) and the operators' tuning
// (INI). main() reads and validates them once at startup; all other code gets a Config that does
// not change.

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

// A peer controller: another controller of this deployment.
struct PeerController {
  std::string label;
  Endpoint mesh;  // where it accepts connections from peer controllers
};

struct Config {
  Settings scheduler;

  Endpoint bind;   // where users, workers and health checks connect
  Endpoint mesh;   // where peer controllers connect
  Endpoint cloud;  // the cloud's API
  Endpoint state;  // the state service
  std::vector<PeerController> peers;
  int nodes = 1;  // controllers of the deployment, including this one

  // Limits of the whole deployment, shared by all controllers.
  double state_rps = 50;  // requests per second to the state service
  double write_rps = 20;  // changes per second in the state service
  double cloud_rps = 2;   // requests per second to the cloud

  // Resources available to this process.
  size_t max_sockets = 1000;
  double cores = 1;
  double memory_mb = 0;

  // [node] of the INI file
  double lease_ttl_s = 2.5;       // lifetime of the lease that the leader key is attached to
  double leader_watch_s = 0.2;    // interval at which a leader reads changes of the ledger
  double follower_watch_s = 0.5;  // the same for a follower
};

// Thrown if the settings are invalid. what() is a one-line message for the operator; the program
// ends with exit code 2.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// All functions that read settings throw ConfigError.

// Reads the settings file and, if a path is given, the INI file.
Config read_config(const std::string& json_path, const std::optional<std::string>& ini_path);
// Parses the text of a settings file.
Config parse_config(const std::string& json_text);
// Sets the values in `config` that the INI file contains; others keep their values.
void apply_ini(Config& config, const std::string& path);

// The maximum numbers of simultaneous connections from users, workers and health checks, and from
// peer controllers. The rest of `max_sockets` is reserved for sockets that this process opens
// itself and for connections that the kernel has accepted but the server has not.
size_t connections_from_outside(const Config& config);
size_t connections_from_peers(const Config& config);

}  // namespace rookdyke
