#include "workers/direct_commands.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace rookdyke {

namespace {

// After a call of indeterminate outcome the machine gets no calls for this long; replies to its
// heartbeats carry the commands in the meantime.
constexpr double kBackOffAfterFailureS = 5;
// A machine whose last heartbeat is older gets no direct commands: a call that receives no response
// leaves starts that may still be executed.
constexpr double kMaxHeartbeatAgeIntervals = 1.7;
constexpr size_t kMaxCommandsPerCall = 200;

// Whether the attempt is to be stopped and is in a phase in which the worker acts on a stop.
bool needs_stop(const Attempt& attempt) {
  switch (attempt.state) {
    case AttemptState::fetching:
    case AttemptState::gang_waiting:
    case AttemptState::running:
      return attempt.stop_requested;
    case AttemptState::proposed:
    case AttemptState::placed:
    case AttemptState::checkpointing:
    case AttemptState::ended:
      return false;
  }
  return false;
}

bool contains_start(const std::vector<WorkerCommand>& commands) {
  return std::any_of(commands.begin(), commands.end(), [](const WorkerCommand& command) {
    return command.kind == CommandKind::start;
  });
}

}  // namespace

// ---------------------------------------------------------------- calls

std::optional<DirectCommand> DirectCommands::next(double now) {
  if (claim_.is_lost()) return std::nullopt;
  const auto accepts = [this, now](Index machine) { return may_call(machines_[machine], now); };
  Index from = 0;
  while (const auto taken = pending_.take_first(from, accepts)) {
    from = *taken + 1;
    Machine& machine = machines_[*taken];
    if (!is_reachable(machine, now)) continue;
    const uint64_t token = machine.fence.token(claim_.fencing_token());
    std::vector<WorkerCommand> commands = commands_for(machine, token);
    if (commands.empty()) continue;
    machine.direct_in_flight = true;
    if (contains_start(commands)) machine.fence.on_direct_start_sent(token);
    return DirectCommand{machine.index, machine.addr, machine.epoch, token, std::move(commands)};
  }
  return announcer_.next_announcement(now);
}

bool DirectCommands::may_call(const Machine& machine, double now) const {
  if (machine.direct_in_flight) return false;
  const auto back_off = back_off_until_.find(machine.index);
  return back_off == back_off_until_.end() || now >= back_off->second;
}

bool DirectCommands::is_reachable(const Machine& machine, double now) const {
  if (!machine.registered || machine.is_unreachable() || machine.addr.empty()) return false;
  if (machine.state != MachineState::ready && machine.state != MachineState::draining) return false;
  return now - machine.last_heartbeat <= kMaxHeartbeatAgeIntervals * settings_.heartbeat_interval_s;
}

// Stops come first, so that they free capacity for the starts.
std::vector<WorkerCommand> DirectCommands::commands_for(const Machine& machine, uint64_t token) {
  std::vector<WorkerCommand> stops, starts;
  for (const auto& [job_index, task] : machine.tasks) {
    Job& job = jobs_[job_index];
    Attempt& attempt = job.attempts.at(task);
    if (starts_.may_start(job, attempt) && attempt.epoch == machine.epoch) {
      starts.push_back({CommandKind::start, job.spec.id, task, attempt.number, 0});
      attempt.direct_start_token = token;
    } else if (needs_stop(attempt)) {
      stops.push_back({CommandKind::stop, job.spec.id, task, attempt.number, attempt.grace_s});
    }
    if (starts.size() + stops.size() >= kMaxCommandsPerCall) break;
  }
  stops.insert(stops.end(), starts.begin(), starts.end());
  return stops;
}

// ---------------------------------------------------------------- outcome of calls

bool DirectCommands::on_result(const DirectCommand& call, bool outcome_known,
                               const std::optional<Heartbeat>& heartbeat, double now) {
  Machine& machine = machines_[call.machine];
  machine.direct_in_flight = false;
  if (heartbeat && heartbeats_.detect_newer_leader(*heartbeat)) return false;
  if (heartbeat && heartbeat->fencing_token > call.fencing_token)
    spdlog::debug("machine {}: refused direct commands with token {}, has seen {}", machine.name,
                  call.fencing_token, heartbeat->fencing_token);
  if (!outcome_known && !call.commands.empty())
    back_off_until_[machine.index] = now + kBackOffAfterFailureS;
  if (!heartbeat || machine.state == MachineState::terminated) return false;
  if (!machine.registered) return on_announcement_response(machine, call, *heartbeat, now);
  if (heartbeat->epoch != machine.epoch || heartbeat->seq <= machine.seq) return false;
  // Only the attempts that it lists are taken into account. An attempt that it does not list may
  // still start: its start command may be on the way in the reply to a heartbeat.
  machine.seq = heartbeat->seq;
  reconciler_.apply_listed(machine, *heartbeat, now);
  return false;
}

// A response belongs to a call of this controller, so unlike a heartbeat it cannot be a delayed
// copy.
bool DirectCommands::on_announcement_response(Machine& machine, const DirectCommand& call,
                                              const Heartbeat& heartbeat, double now) {
  machine.epoch = std::max(machine.epoch, heartbeat.epoch);
  if (heartbeat.fencing_token < claim_.fencing_token()) {
    // The worker refused the call because its epoch is not the one that the call named.
    if (heartbeat.epoch != call.epoch) announcer_.announce_again(machine, now);
    return false;
  }
  const bool needs_round = heartbeats_.on_call_response(heartbeat, now);
  // The worker may still send its heartbeats to another controller. Until it is expected to send
  // them to this one, it must not count as missing heartbeats.
  machine.last_heartbeat = std::max(machine.last_heartbeat, announcer_.heartbeats_expected_by());
  return needs_round;
}

}  // namespace rookdyke
