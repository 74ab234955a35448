#pragma once
// A simulated machine with its worker: it sends heartbeats to one controller at a time, executes
// the commands of the answers and direct commands, and ends all tasks when its lease runs out. The
// Cloud owns them. It reports to the checker what really runs where.
//
// worker.cpp holds the machine, its lease and its heartbeats, worker_tasks.cpp commands and tasks.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "model/types.h"

namespace rookdyke::test {

class World;
struct UserJob;

// Seconds until what is to happen at once.
inline constexpr double kSoon = 0.01;

struct TaskKey {
  std::string job;
  uint32_t task = 0;
  bool operator<(const TaskKey& other) const {
    return std::tie(job, task) < std::tie(other.job, other.task);
  }
};

// What a controller answers to a heartbeat.
struct HeartbeatAnswer {
  int status = 503;  // as HTTP's
  uint64_t fencing_token = 0;
  std::vector<WorkerCommand> commands;
  std::string leader;  // with 421: the label of the controller to turn to; empty: not known
};

class Worker {
 public:
  Worker(World& world, std::string name, MachineType type, std::string zone, bool spot);

  struct Task {
    uint64_t attempt = 0;
    TaskPhase phase = TaskPhase::fetching;
    ExitCause cause = ExitCause::none;
    bool saved = false;
    uint64_t step = 0;       // a scheduled step is dropped if the task has taken another since
    double began = 0;        // to run
    double ordered_at = -1;  // when a controller gave out the command that started it
  };

  void boot();
  // The process is paused for `s` seconds.
  void hang(double s);
  // The worker ends with all its tasks and is back after `s` seconds, in a new epoch. It may have
  // forgotten the highest token that it has seen.
  void restart(double s, bool forgets_token);
  // The machine ends with all its tasks, without any message.
  void vanish();
  // The cloud takes the machine back in `s` seconds, and says so.
  void notice(double s);
  bool is_recalled() const { return recall_at_ >= 0; }
  // Executes a direct command if token and epoch match, however late it comes. Empty: no answer.
  std::optional<Heartbeat> direct(uint64_t fencing_token, uint64_t epoch,
                                  const std::vector<WorkerCommand>& commands);
  // All members of the gang are there: this one runs from now on.
  void run_gang_member(const TaskKey& key);
  // Ends a task; without a cause it is forgotten at once. By value: callers pass keys of the map
  // that this erases from.
  void leave(TaskKey key, ExitCause why, bool saved);

  bool terminated = false, hung = false, sick = false, up = false;
  double mute_until = -1;  // it reaches no controller; commands reach it
  double deaf_until = -1;  // its heartbeats arrive; answers and commands do not reach it
  double rented_at;
  std::string name, zone;
  const MachineType type;
  const bool spot;
  std::map<TaskKey, Task> tasks;

 private:
  struct ReceivedCommands {
    uint64_t fencing_token, epoch;
    std::vector<WorkerCommand> commands;
    double ordered_at;
  };
  // A heartbeat that was sent, and what became of it.
  struct Exchange {
    double sent = 0;
    uint64_t epoch = 0;
    bool served = false;
    double served_at = -1;
    HeartbeatAnswer answer;
  };

  // Heartbeats.
  Heartbeat make_heartbeat();
  void send_heartbeat();
  void deliver_late_copy(const Heartbeat& heartbeat);
  void on_exchange_done(const Exchange& exchange, bool ok);
  void on_answer(const Exchange& exchange);
  void on_accepted(const Exchange& exchange);
  void on_unreachable(double sent, uint64_t epoch);
  void heartbeat_in(double s);
  // Something is to be reported soon.
  void on_change();
  void adopt_token(uint64_t fencing_token);
  double soonest_heartbeat() const;

  // The lease.
  bool is_lease_over() const;
  void check_lease();
  void end_epoch();
  void leave_all();

  // Tasks.
  void execute(const std::vector<WorkerCommand>& commands, double ordered_at);
  bool execute_direct(const ReceivedCommands& received);
  void repeat_later(const ReceivedCommands& received);
  void start_task(const WorkerCommand& command, double ordered_at);
  void stop_task(const WorkerCommand& command);
  void forget_task(const WorkerCommand& command);
  ExitCause reason_not_to_start(const WorkerCommand& command) const;
  bool has_room_for(const Resources& wanted) const;
  void fetch_image(const TaskKey& key, uint64_t attempt);
  void begin(const TaskKey& key);
  void checkpoint(const TaskKey& key, const UserJob& job);
  void save_progress(const TaskKey& key, uint64_t attempt, double made_s);
  void end_after(const TaskKey& key, double s, ExitCause why);
  void after_step(const TaskKey& key, double s, const std::function<void(const Task&)>& then);
  void finish(const TaskKey& key);

  World& world_;
  uint64_t epoch_ = 1, seq_ = 0, fencing_token_ = 0;
  double lease_from_ = 0;
  double recall_at_ = -1;
  size_t controller_ = 0;  // the one that it sends heartbeats to
  uint64_t timer_ = 0;     // outdates scheduled heartbeats
  bool in_flight_ = false, dirty_ = false;
  double last_sent_ = -1;
  double token_reported_at_ = -1e9;  // when a higher token last counted as a change
  std::vector<ReceivedCommands> received_while_hung_;
  std::set<std::string> images_;
};

}  // namespace rookdyke::test
