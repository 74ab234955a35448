#pragma once
// The vocabulary of the core. Names are mapped to dense indices at the door (Names) and stay
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
class Names {
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
enum class Shape : uint8_t { array, gang, service };
enum class Rank : uint8_t { idle, standard, urgent, critical };

struct Amounts {
  double cpus = 0, gpus = 0, mem = 0;

  Amounts& operator+=(const Amounts& o) {
    cpus += o.cpus, gpus += o.gpus, mem += o.mem;
    return *this;
  }
  Amounts& operator-=(const Amounts& o) {
    cpus -= o.cpus, gpus -= o.gpus, mem -= o.mem;
    return *this;
  }
  Amounts times(double k) const { return {cpus * k, gpus * k, mem * k}; }
  // The largest ratio over the resources that a machine of that size has.
  double share_of(const Amounts& size) const {
    double r = 0;
    if (size.cpus > 0) r = std::max(r, cpus / size.cpus);
    if (size.gpus > 0) r = std::max(r, gpus / size.gpus);
    if (size.mem > 0) r = std::max(r, mem / size.mem);
    return r;
  }
  // The slack absorbs the rounding of sums of decimal amounts.
  bool fits(const Amounts& room) const {
    constexpr double kSlack = 1e-6;
    return cpus <= room.cpus + kSlack && gpus <= room.gpus + kSlack && mem <= room.mem + kSlack;
  }
};

// A job as its user described it, in text; what the ledger stores.
struct JobSpec {
  std::string id, job_class, team, image, zone;  // zone empty: any
  Shape shape = Shape::array;
  Rank rank = Rank::standard;
  uint32_t tasks = 1;
  Amounts each;
  double image_gb = 0;
  std::vector<std::string> types;  // empty: any
  bool one_zone = false, scatter = false, spot = false;
  double estimate_s = 0, checkpoint_s = 0, save_s = 0, due_s = 0;
};

struct TypeInfo {
  std::string name;
  Amounts size;
  double cache_gb = 0, fetch_gb_per_s = 1, price = 0, spot_price = 0, boot_s = 0;
  std::vector<std::string> zones;

  double fetch_s(double gb) const { return gb / std::max(0.01, fetch_gb_per_s); }
};

// Whether a type of that name is there: a second one would shift the indices of all that follow.
inline bool has_type(const std::vector<TypeInfo>& types, const std::string& name) {
  return std::any_of(types.begin(), types.end(), [&](const auto& t) { return t.name == name; });
}

struct TeamInfo {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  // 0: no guarantee, no limit
};

// Why a report's task ended.
enum class Cause : uint8_t { none, done, halted, peers, alone, error, no_room, in_use, no_such };

// What a worker says of a task.
enum class Seen : uint8_t { pulling, gathering, running, saving, exited };

struct TaskReport {
  std::string job;
  uint32_t task = 0;
  uint64_t attempt = 0;
  Seen seen = Seen::pulling;
  Cause cause = Cause::none;
  bool saved = false;
};

struct Report {
  std::string machine, addr, type, zone;
  bool spot = false;
  uint64_t session = 0, seq = 0, token = 0;
  double notice_s = -1;  // negative: none
  std::vector<TaskReport> tasks;
};

enum class Verb : uint8_t { run, stop, clear };
struct Order {
  Verb verb = Verb::run;
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
