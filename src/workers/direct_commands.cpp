#include "workers/direct_commands.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace rookdyke {

namespace {

// After a call that stayed unanswered, in seconds: replies to heartbeats carry the commands.
constexpr double kPauseAfterFailure = 5;
// In heartbeat intervals: a machine that is silent for longer is left to its heartbeats, for a call
// that stays unanswered leaves starts that may still be executed.
constexpr double kMissedHeartbeat = 1.7;
constexpr size_t kMaxCommands = 200;

// Whether the worker has the attempt in a phase that a stop changes.
bool is_stoppable(const Attempt& attempt) {
  switch (attempt.state) {
    case AttemptState::fetching:
    case AttemptState::gang_waiting:
    case AttemptState::running:
      return attempt.stop;
    case AttemptState::proposed:
    case AttemptState::placed:
    case AttemptState::checkpointing:
    case AttemptState::ended:
      return false;
  }
  return false;
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
    std::vector<WorkerCommand> commands = commands_for(machine);
    if (commands.empty()) continue;
    machine.direct_in_flight = true;
    return DirectCommand{machine.index, machine.addr, machine.epoch, std::move(commands)};
  }
  return announcer_.next_announcement(now);
}

bool DirectCommands::may_call(const Machine& machine, double now) const {
  if (machine.direct_in_flight) return false;
  const auto pause = paused_until_.find(machine.index);
  return pause == paused_until_.end() || now >= pause->second;
}

bool DirectCommands::is_reachable(const Machine& machine, double now) const {
  if (!machine.registered || machine.unreachable() || machine.addr.empty()) return false;
  if (machine.state != MachineState::ready && machine.state != MachineState::draining) return false;
  return now - machine.last_heartbeat <= kMissedHeartbeat * settings_.heartbeat_interval_s;
}

// Stops first: room is made before it is used.
std::vector<WorkerCommand> DirectCommands::commands_for(const Machine& machine) {
  std::vector<WorkerCommand> stops, starts;
  for (const auto& [job_index, task] : machine.tasks) {
    Job& job = jobs_[job_index];
    Attempt& attempt = job.attempts.at(task);
    if (starts_.may_start(job, attempt) && attempt.epoch == machine.epoch) {
      starts.push_back({CommandKind::start, job.spec.id, task, attempt.number, 0});
      attempt.direct = true;
    } else if (is_stoppable(attempt)) {
      stops.push_back({CommandKind::stop, job.spec.id, task, attempt.number, attempt.grace_s});
    }
    if (starts.size() + stops.size() >= kMaxCommands) break;
  }
  stops.insert(stops.end(), starts.begin(), starts.end());
  return stops;
}

// ---------------------------------------------------------------- their outcome

bool DirectCommands::on_result(const DirectCommand& call, bool answered,
                               const std::optional<Heartbeat>& report, double now) {
  Machine& machine = machines_[call.machine];
  machine.direct_in_flight = false;
  if (report && heartbeats_.detect_newer_leader(*report)) return false;
  if (answered)
    settle_starts(machine, call);
  else if (!call.commands.empty())
    record_unanswered(machine, call, now);
  if (!report || machine.state == MachineState::terminated) return false;
  if (!machine.registered) return on_announcement_answer(machine, call, *report, now);
  if (report->epoch != machine.epoch || report->seq <= machine.seq) return false;
  // What it lists counts. What it does not list proves nothing: the reply to a heartbeat may be on
  // its way to the worker with a start that this list does not show.
  machine.seq = report->seq;
  reconciler_.apply_listed(machine, *report, now);
  return false;
}

// No copy of an answered call is executed later, unless an earlier call with the same start stayed
// unanswered.
void DirectCommands::settle_starts(const Machine& machine, const DirectCommand& call) {
  for (const WorkerCommand& command : call.commands) {
    if (command.verb != CommandKind::start) continue;
    if (machine.unanswered_starts.count(command.attempt_ref())) continue;
    Job* job = jobs_.find(command.job);
    if (!job) continue;
    const auto attempt = job->attempts.find(command.task);
    if (attempt != job->attempts.end() && attempt->second.number == command.attempt)
      attempt->second.direct = false;
  }
}

void DirectCommands::record_unanswered(Machine& machine, const DirectCommand& call, double now) {
  paused_until_[machine.index] = now + kPauseAfterFailure;
  for (const WorkerCommand& command : call.commands)
    if (command.verb == CommandKind::start) machine.unanswered_starts.insert(command.attempt_ref());
}

// The answer to a call of our own is no late copy.
bool DirectCommands::on_announcement_answer(Machine& machine, const DirectCommand& call,
                                            const Heartbeat& report, double now) {
  machine.epoch = std::max(machine.epoch, report.epoch);
  if (report.fencing_token < claim_.fencing_token()) {
    // The call named another epoch than the worker's, so that it was refused.
    if (report.epoch != call.epoch) announcer_.announce_again(machine, now);
    return false;
  }
  const bool needs_round = heartbeats_.on_heartbeat(report, now).needs_round;
  // It still has to find its way to us: its silence means something no sooner than without this.
  machine.last_heartbeat = std::max(machine.last_heartbeat, announcer_.heartbeats_expected_by());
  return needs_round;
}

}  // namespace rookdyke
