#pragma once
// What steers the scheduler: the platform's parameters and the operators' tuning (INI).

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "model/types.h"

namespace rookdyke {

// Every value can be set in the INI file ([forecast], [fleet], [rounds]); docs/operations.md
// explains them, docs/design.md says where each default comes from.
struct Tuning {
  // [forecast]
  double sample_s = 5;       // how often demand is summed
  double trend_s = 30;       // how far back the trend looks
  double percentile = 0.9;   // of the positive misses
  int history = 12;          // forecasts whose misses are kept
  double safe_fraction = 1;  // of a machine's size that is planned with
  double boot_window_s = 0;  // 0: the type's own boot time
  double start_spare = 1;    // machines, while no forecast has come due
  // [fleet]
  double scale_in_delay_s = 15;
  double drain_deadline_s = 600;
  double rental_interval_s = 0.35;

  double capacity_retry_s = 15;    // how long a refused (type, zone, kind) is left alone
  double boot_timeout_factor = 3;  // times boot_s until a machine that never came up is returned
  double heartbeat_timeout_s = 0;  // 0: derived from the report interval and the lease
  double short_job_preference_s =
      0.3;  // seconds a job stands back for each machine-second it still needs
  // [rounds]
  double round_s = 0.2;      // shortest interval between rounds
  double round_max_s = 1.5;  // widest interval under load
};

// What the operators promise for a class of jobs; here it only orders work of equal rank.
struct Objective {
  bool start = false;  // of starting; else of finishing
  std::string job_class;
  double within_s = 0;
};

// What the state service takes: bytes of a value, changes of a transaction, changes a second.
struct StateLimits {
  size_t value_bytes = 8192;
  size_t txn_ops = 8;
  double write_rps = 35;
};

struct Settings {
  std::string label;
  std::vector<Objective> objectives;
  std::vector<std::string> zones;
  std::vector<TeamQuota> teams;
  double heartbeat_interval_s = 3, lease_s = 20, gang_wait_s = 40, gang_peer_s = 6, cancel_s = 60;
  double list_lag_s = 3;
  size_t value_bytes = 8192;
  size_t txn_ops = 8;
  // The limits that the state service will have from some unknown moment on; empty: they stay.
  std::optional<StateLimits> next_limits;
  Tuning tuning;

  // The sizes that hold before and after that moment: what is laid out anew keeps to them.
  size_t min_value_bytes() const {
    return next_limits ? std::min(value_bytes, next_limits->value_bytes) : value_bytes;
  }
  size_t min_txn_ops() const {
    return next_limits ? std::min(txn_ops, next_limits->txn_ops) : txn_ops;
  }
};

}  // namespace rookdyke
