#pragma once
// The scheduler's basic types: job specifications, machine types, heartbeats and commands. Names
// are mapped to dense indices on input (NameTable) and converted back to text only for logs and
// messages. Plain data, used by all modules.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rookdyke {

using Index = uint32_t;
inline constexpr Index kNone = UINT32_MAX;  // no index

// Maps names to dense indices. An index is never reused within a process.
class NameTable {
 public:
  // Returns the index of the name, which is added if it is new.
  Index intern(const std::string& name) {
    auto [it, fresh] = ids_.try_emplace(name, static_cast<Index>(names_.size()));
    if (fresh) names_.push_back(name);
    return it->second;
  }
  // Returns kNone if the name was never interned.
  Index find(const std::string& name) const {
    auto it = ids_.find(name);
    return it == ids_.end() ? kNone : it->second;
  }
  // As intern(); returns kNone for the empty name, which stands for an unknown one.
  Index intern_unless_empty(const std::string& name) { return name.empty() ? kNone : intern(name); }
  const std::string& name(Index index) const { return names_[index]; }
  size_t size() const { return names_.size(); }

 private:
  std::unordered_map<std::string, Index> ids_;
  std::vector<std::string> names_;
};

// What is decided when a machine is rented and never changes. kNone: unknown.
struct MachineAttributes {
  Index type = kNone, zone = kNone;
  bool spot = false;

  bool operator==(const MachineAttributes& other) const = default;
};

// How the tasks of a job are related. array: independent tasks; gang: all tasks run at the same
// time or none does; service: replicas that run until the job is cancelled.
enum class JobShape : uint8_t { array, gang, service };
// Lowest first.
enum class Priority : uint8_t { idle, standard, urgent, critical };

// Resources of a machine, or requested by a task.
struct Resources {
  double cpus = 0, gpus = 0, memory_gb = 0;

  Resources& operator+=(const Resources& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory_gb += other.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    memory_gb -= other.memory_gb;
    return *this;
  }
  Resources scaled(double factor) const {
    return {cpus * factor, gpus * factor, memory_gb * factor};
  }
  // Largest ratio of these resources to those of a machine of the given size. Resources that the
  // machine does not have are ignored.
  double dominant_share(const Resources& size) const {
    double share = 0;
    if (size.cpus > 0) share = std::max(share, cpus / size.cpus);
    if (size.gpus > 0) share = std::max(share, gpus / size.gpus);
    if (size.memory_gb > 0) share = std::max(share, memory_gb / size.memory_gb);
    return share;
  }
  // The slack absorbs rounding errors in sums of decimal amounts.
  bool fits_in(const Resources& available) const {
    constexpr double kRoundingSlack = 1e-6;
    return cpus <= available.cpus + kRoundingSlack && gpus <= available.gpus + kRoundingSlack &&
           memory_gb <= available.memory_gb + kRoundingSlack;
  }
};

// A job as submitted by its user and stored in the ledger.
struct JobSpec {
  std::string id, job_class, team, image;
  std::string zone;  // required zone; empty: any
  JobShape shape = JobShape::array;
  Priority priority = Priority::standard;
  uint32_t tasks = 1;
  Resources per_task;
  double image_gb = 0;
  std::vector<std::string> types;  // allowed machine types; empty: any
  bool single_zone = false;        // all tasks in one zone
  bool spread_zones = false;       // at most half of the tasks, rounded up, in the same zone
  bool spot = false;               // may use spot machines
  double expected_runtime_s = 0;
  double checkpoint_interval_s = 0;  // 0: its tasks cannot checkpoint
  double checkpoint_duration_s = 0;
  double deadline_s = 0;
};

// A machine type of the cloud. Prices are per hour.
struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0;  // size of the image cache; 0: unlimited
  double fetch_gb_per_s = 1;
  double price = 0, spot_price = 0;
  double boot_s = 0;
  std::vector<std::string> zones;

  // Time to fetch an image of the given size.
  double fetch_time_s(double gb) const {
    constexpr double kSlowestGbPerS = 0.01;
    return gb / std::max(kSlowestGbPerS, fetch_gb_per_s);
  }
};

// Whether the list has a type of that name. A duplicate would shift the indices of all later types.
inline bool has_type(const std::vector<MachineType>& types, const std::string& name) {
  return std::any_of(types.begin(), types.end(),
                     [&](const auto& type) { return type.name == name; });
}

// A team's guarantee (cpus, gpus) and limit (cpus_max, gpus_max). 0: no guarantee, no limit.
struct TeamQuota {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

// Why an attempt ended, as reported by its worker. none: not reported.
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

// Identifies an attempt in messages to and from workers.
struct AttemptRef {
  std::string job;
  uint32_t task = 0;
  uint64_t attempt = 0;
};

// Phase of an attempt on its worker, in order.
enum class TaskPhase : uint8_t { fetching, gang_waiting, running, checkpointing, exited };

// Status of an attempt in a heartbeat.
struct TaskStatus {
  std::string job;
  uint32_t task = 0;
  uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::fetching;
  ExitCause cause = ExitCause::none;
  bool checkpoint_saved = false;  // whether a checkpoint was saved before it ended

  bool is_of(const AttemptRef& ref) const {
    return task == ref.task && attempt == ref.attempt && job == ref.job;
  }
};

// Identifies a heartbeat among those of its machine.
struct HeartbeatId {
  uint64_t epoch = 0, seq = 0;

  bool is_later_than(const HeartbeatId& other) const {
    return std::tie(epoch, seq) > std::tie(other.epoch, other.seq);
  }
};

// A worker's message at every heartbeat interval, and its response to a direct command.
struct Heartbeat {
  std::string machine, addr, type, zone;
  bool spot = false;
  uint64_t epoch = 0;          // increases whenever the worker loses its lease or restarts
  uint64_t seq = 0;            // increases within an epoch
  uint64_t fencing_token = 0;  // highest fencing token that the worker has seen
  double notice_s = -1;  // time until the cloud reclaims the machine; negative: no reclaim notice
  std::vector<TaskStatus> tasks;

  HeartbeatId id() const { return {epoch, seq}; }
};

// start: run the attempt. stop: end it, with a checkpoint if the grace period is long enough.
// forget: remove an attempt that has exited from the worker's list of tasks.
enum class CommandKind : uint8_t { start, stop, forget };

struct WorkerCommand {
  CommandKind kind = CommandKind::start;
  std::string job;
  uint32_t task = 0;
  uint64_t attempt = 0;
  double grace_s = 0;  // of a stop: time for a checkpoint

  AttemptRef attempt_ref() const { return {job, task, attempt}; }
};

// An entry of the cloud's list of machines.
struct ListedMachine {
  std::string name, addr, type, zone;
  bool spot = false;
  enum class State : uint8_t { booting, running, failed } state = State::booting;
  double age_s = 0;  // time since it was rented
};

}  // namespace rookdyke
