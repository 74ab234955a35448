#pragma once
// The scheduler's settings: the platform's parameters (JSON) and the operators' tuning (INI).

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "model/types.h"

namespace rookdyke {

// Values that operators can set in the INI file, by section. docs/operations.md describes them,
// docs/design.md explains the defaults.
struct Tuning {
  // [forecast]
  double sample_s = 5;       // interval between demand samples
  double trend_s = 30;       // window of the samples that the trend is computed from
  double percentile = 0.9;   // of all recorded misses, including those that are 0
  int history = 12;          // number of recorded misses
  double safe_fraction = 1;  // share of a machine's size that is planned to be used
  double boot_window_s = 0;  // forecast horizon; 0: the boot time of the machine type
  double start_spare = 1;    // additional machines until the first forecast has come due
  // [fleet]
  double scale_in_delay_s = 15;     // how long a surplus must last before machines are drained
  double drain_deadline_s = 600;    // time that the tasks of a draining machine have to finish
  double rental_interval_s = 0.35;  // shortest interval between rental requests
  double capacity_retry_s = 15;     // back-off after the cloud had no capacity
  double boot_timeout_factor = 3;   // boot timeout, as a multiple of boot_s
  double heartbeat_timeout_s = 0;   // 0: derived from the heartbeat interval and the lease
  // Added to a job's queue key, in seconds, for each machine-second of work that it has left.
  double short_job_preference_s = 0.3;
  // [rounds]
  double round_s = 0.2;      // shortest interval between scheduling rounds
  double round_max_s = 1.5;  // longest interval between scheduling rounds, under load
};

// An operator's target for a class of jobs. It affects the order of jobs of equal priority, and
// which jobs need a prompt start (Job::needs_prompt_start).
struct Objective {
  bool is_start_objective = false;  // target of the time until the start, else until the end
  std::string job_class;
  double within_s = 0;
};

// Limits of the state service.
struct StateLimits {
  size_t value_bytes = 8192;  // largest size of a value
  size_t txn_ops = 8;         // most changes in a transaction
  double write_rps = 35;      // changes per second
};

struct Settings {
  std::string label;  // of this controller
  std::vector<Objective> objectives;
  std::vector<std::string> zones;
  std::vector<TeamQuota> teams;
  // Of the workers. Tasks of a cancelled job have to stop within cancel_s.
  double heartbeat_interval_s = 3, lease_s = 20, gang_wait_s = 40, gang_peer_s = 6, cancel_s = 60;
  double list_lag_s = 3;      // how far the cloud's list of machines may be out of date
  size_t value_bytes = 8192;  // current limits of the state service, see StateLimits
  size_t txn_ops = 8;
  // Limits that the state service will switch to at an unknown time; empty: no change is announced.
  std::optional<StateLimits> next_limits;
  Tuning tuning;

  // Size limits that hold before and after the switch. New rows are written within them.
  size_t min_value_bytes() const {
    return next_limits ? std::min(value_bytes, next_limits->value_bytes) : value_bytes;
  }
  size_t min_txn_ops() const {
    return next_limits ? std::min(txn_ops, next_limits->txn_ops) : txn_ops;
  }
};

}  // namespace rookdyke
