#pragma once
// The vocabulary of the scheduler. Names are mapped to dense indices at the door (Names) and stay
// indices inside; only logs and messages turn them back into text.

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rookdyke {

using Index = uint32_t;
inline constexpr Index kNone = UINT32_MAX;

// A table of names; an index is never reused within a process.
class NameTable {
 public:
  Index intern(const std::string& name) {
    auto [it, fresh] = ids_.try_emplace(name, static_cast<Index>(names_.size()));
    if (fresh) names_.push_back(name);
    return it->second;
  }
  Index find(const std::string& name) const {
    auto it = ids_.find(name);
    return it == ids_.end() ? kNone : it->second;
  }
  const std::string& name(Index i) const { return names_[i]; }
  size_t size() const { return names_.size(); }

 private:
  std::unordered_map<std::string, Index> ids_;
  std::vector<std::string> names_;
};

// array: independent tasks; gang: all run at the same time or none does; service: replicas that run
// until the job is cancelled.
enum class JobShape : uint8_t { array, gang, service };
enum class Priority : uint8_t { idle, standard, urgent, critical };

struct Resources {
  double cpus = 0, gpus = 0, memory_gb = 0;

  Resources& operator+=(const Resources& o) {
    cpus += o.cpus, gpus += o.gpus, memory_gb += o.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& o) {
    cpus -= o.cpus, gpus -= o.gpus, memory_gb -= o.memory_gb;
    return *this;
  }
  Resources scaled(double k) const { return {cpus * k, gpus * k, memory_gb * k}; }
  // The largest ratio over the resources that a machine of that size has.
  double dominant_share(const Resources& size) const {
    double r = 0;
    if (size.cpus > 0) r = std::max(r, cpus / size.cpus);
    if (size.gpus > 0) r = std::max(r, gpus / size.gpus);
    if (size.memory_gb > 0) r = std::max(r, memory_gb / size.memory_gb);
    return r;
  }
  // The slack absorbs the rounding of sums of decimal amounts.
  bool fits_in(const Resources& room) const {
    constexpr double kSlack = 1e-6;
    return cpus <= room.cpus + kSlack && gpus <= room.gpus + kSlack &&
           memory_gb <= room.memory_gb + kSlack;
  }
};

// A job as its user described it, in text; what the ledger stores.
struct JobSpec {
  std::string id, job_class, team, image, zone;  // zone empty: any
  JobShape shape = JobShape::array;
  Priority priority = Priority::standard;
  uint32_t tasks = 1;
  Resources per_task;
  double image_gb = 0;
  std::vector<std::string> types;  // empty: any
  bool single_zone = false, spread_zones = false, spot = false;
  double expected_runtime_s = 0, checkpoint_interval_s = 0, checkpoint_duration_s = 0,
         deadline_s = 0;
};

struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0, fetch_gb_per_s = 1, price = 0, spot_price = 0, boot_s = 0;
  std::vector<std::string> zones;

  double fetch_time_s(double gb) const { return gb / std::max(0.01, fetch_gb_per_s); }
};

// Whether a type of that name is there: a second one would shift the indices of all that follow.
inline bool has_type(const std::vector<MachineType>& types, const std::string& name) {
  return std::any_of(types.begin(), types.end(), [&](const auto& t) { return t.name == name; });
}

struct TeamQuota {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  // 0: no guarantee, no limit
};

// Why a report's task ended.
enum class ExitCause : uint8_t {
  none,
  done,
  stopped,
  gang_peer_lost,
  gang_timeout,
  error,
  insufficient_resources,
  already_present,
  unknown_task
};

// What a worker says of a task.
enum class TaskPhase : uint8_t { fetching, gang_waiting, running, checkpointing, exited };

struct TaskStatus {
  std::string job;
  uint32_t task = 0;
  uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::fetching;
  ExitCause cause = ExitCause::none;
  bool saved = false;
};

struct Heartbeat {
  std::string machine, addr, type, zone;
  bool spot = false;
  uint64_t epoch = 0, seq = 0, fencing_token = 0;
  double notice_s = -1;  // negative: none
  std::vector<TaskStatus> tasks;
};

enum class CommandKind : uint8_t { start, stop, forget };
struct WorkerCommand {
  CommandKind verb = CommandKind::start;
  std::string job;
  uint32_t task = 0;
  uint64_t attempt = 0;
  double grace_s = 0;
};

struct ListedMachine {
  std::string name, addr, type, zone;
  bool spot = false;
  enum class State : uint8_t { booting, running, failed } state = State::booting;
  double age_s = 0;
};

}  // namespace rookdyke
