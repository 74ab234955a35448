#include "workers/heartbeat_handler.h"

#include <spdlog/spdlog.h>

#include <cstddef>
#include <string>

namespace rookdyke {

namespace {

// Heartbeats with an older token that arrive within this many heartbeat intervals count once.
constexpr double kOlderTokenSpacingIntervals = 0.5;

}  // namespace

bool HeartbeatHandler::detect_newer_leader(const Heartbeat& heartbeat) {
  if (!claim_.is_of_newer_leader(heartbeat.fencing_token)) return false;
  claim_.lose("a worker has seen newer fencing token " + std::to_string(heartbeat.fencing_token));
  return true;
}

HeartbeatOutcome HeartbeatHandler::on_heartbeat(const Heartbeat& heartbeat, double now) {
  HeartbeatOutcome outcome;
  Machine* machine = admit(heartbeat, outcome.reply, now);
  if (!machine) return outcome;
  outcome = apply(*machine, heartbeat, now);
  raise_token_if_unreachable(*machine);
  outcome.reply.fencing_token = machine->fence.token(claim_.fencing_token());
  machine->replies.on_reply(outcome.reply.commands, outcome.reply.fencing_token, now);
  return outcome;
}

bool HeartbeatHandler::on_call_response(const Heartbeat& heartbeat, double now) {
  HeartbeatReply unsent;
  Machine* machine = admit(heartbeat, unsent, now);
  return machine && apply(*machine, heartbeat, now).needs_round;
}

// Returns the machine of a heartbeat that is to be applied. Returns null if it is not, with the
// reply to it.
Machine* HeartbeatHandler::admit(const Heartbeat& heartbeat, HeartbeatReply& reply, double now) {
  if (detect_newer_leader(heartbeat)) {
    reply.verdict = HeartbeatReply::Verdict::deposed;
    return nullptr;
  }
  Machine& machine = machines_.get_or_add(heartbeat.machine, now);
  // A machine's attributes never change, so that even an outdated heartbeat reveals them.
  if (machine.zone == kNone && machine.was_up) set_attributes(machine, heartbeat);
  machine.fence.raise_to(heartbeat.fencing_token);
  reply.fencing_token = machine.fence.token(claim_.fencing_token());
  // A delayed heartbeat of a machine that has been returned.
  if (machine.state == MachineState::terminated) return nullptr;
  if (machine.registered && !heartbeat.id().is_later_than(machine.last_heartbeat_id())) {
    // Delayed in the network: its task list is out of date, and the worker no longer waits for the
    // reply.
    reply.verdict = HeartbeatReply::Verdict::outdated;
    return nullptr;
  }
  if (heartbeat.fencing_token < claim_.fencing_token()) {
    record_older_token(machine, heartbeat, now);
    return nullptr;
  }
  return &machine;
}

// Applies an up-to-date heartbeat. The reply that it returns has no token yet.
HeartbeatOutcome HeartbeatHandler::apply(Machine& machine, const Heartbeat& heartbeat, double now) {
  HeartbeatOutcome outcome;
  end_attempts_of_older_epochs(machine, heartbeat, now);
  const size_t tasks_before = machine.tasks.size();
  const bool was_registered = machine.registered;
  record_heartbeat(machine, heartbeat, now);
  if (heartbeat.notice_s >= 0) reclaim_notices_.on_reclaim_notice(machine, heartbeat.notice_s, now);
  outcome.reply.commands = reconciler_.reconcile(machine, heartbeat, now);
  outcome.needs_round = !was_registered || machine.tasks.size() < tasks_before;
  return outcome;
}

// Invariant 7: the worker sent the heartbeat before it had seen this leader's token, so it may be
// old or a duplicate and proves nothing, not even that the machine is up. The reply contains only
// the token. A worker that adopts the token sends its next heartbeat within half a second.
void HeartbeatHandler::record_older_token(Machine& machine, const Heartbeat& heartbeat,
                                          double now) const {
  if (!heartbeat.id().is_later_than(machine.last_older_token_id)) return;
  machine.last_older_token_id = heartbeat.id();
  // Heartbeats that a network partition delayed arrive all at once and count as one.
  if (machine.heartbeats_with_older_token == 0 ||
      now - machine.last_older_token_at >
          kOlderTokenSpacingIntervals * settings_.heartbeat_interval_s) {
    machine.last_older_token_at = now;
    if (machine.heartbeats_with_older_token++ == 0) machine.older_token_since = now;
  }
  if (machine.addr.empty()) machine.addr = heartbeat.addr;
}

// Makes the reply to an unreachable machine carry a token that its worker has not been sent yet, so
// that the next heartbeat shows whether the reply arrived. If the ledger has not changed since the
// last token, the machine's row is written once more, which yields a higher one.
void HeartbeatHandler::raise_token_if_unreachable(Machine& machine) {
  const auto needs_token = [&] {
    return machine.replies.needs_token_above(machine.fence.token(claim_.fencing_token()));
  };
  // A raised token would make the worker refuse a call in flight.
  if (!needs_token() || machine.direct_in_flight) return;
  machine.fence.raise_to(claim_.confirmed_revision());
  if (needs_token()) machines_.mark_changed(machine);
}

// Invariant 3: a worker whose epoch has risen has killed all attempts of earlier epochs.
void HeartbeatHandler::end_attempts_of_older_epochs(const Machine& machine,
                                                    const Heartbeat& heartbeat, double now) {
  const auto tasks = machine.tasks;  // a copy, because ended attempts are removed from the list
  for (const auto& [job_index, task] : tasks) {
    Job& job = jobs_[job_index];
    const auto attempt = job.attempts.find(task);
    if (attempt != job.attempts.end() && attempt->second.epoch < heartbeat.epoch)
      lifecycle_.end(job, task, ExitCause::none, now, "the worker's epoch rose");
  }
}

void HeartbeatHandler::record_heartbeat(Machine& machine, const Heartbeat& heartbeat, double now) {
  if (!machine.registered) register_machine(machine, heartbeat, now);
  machine.was_up = true;
  machine.last_heartbeat = now;
  const uint64_t sent_token = machine.fence.token(claim_.fencing_token());
  if (machine.epoch != heartbeat.epoch) {
    machine.fence.on_new_epoch();
    machine.replies.on_new_epoch(heartbeat, sent_token, settings_.lease_s, now);
  }
  machine.replies.on_heartbeat(heartbeat, sent_token, settings_.lease_s, now);
  machine.epoch = heartbeat.epoch;
  machine.seq = heartbeat.seq;
  if (machine.state == MachineState::booting)
    MachineTable::set_state(machine, MachineState::ready, "worker sent its first heartbeat");
}

void HeartbeatHandler::set_attributes(Machine& machine, const Heartbeat& heartbeat) {
  machines_.set_attributes(machine,
                           {catalog_.type_names.find(heartbeat.type),
                            catalog_.zones.intern_unless_empty(heartbeat.zone), heartbeat.spot});
}

void HeartbeatHandler::register_machine(Machine& machine, const Heartbeat& heartbeat, double now) {
  machine.addr = heartbeat.addr;
  set_attributes(machine, heartbeat);
  boot_tracker_.record_boot(machine, now);
  machine.registered = true;
  machine.heartbeats_with_older_token = 0;
  machine.older_token_since = -1;
  spdlog::debug("machine {}: first heartbeat, {:.1f} s after it was rented or first known",
                machine.name, now - machine.rented_at);
}

}  // namespace rookdyke
