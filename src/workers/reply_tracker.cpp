#include "workers/reply_tracker.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace rookdyke {

namespace {

constexpr int kUnreachableAfterHeartbeats = 2;
// In worker leases. A worker that loses its lease this soon after a reply did not receive it.
constexpr double kRecentReplyLeases = 0.6;
// A worker waits this long for a reply; a heartbeat that arrives later was delayed.
constexpr double kReplyTimeoutS = 4;

const TaskStatus* find_status(const Heartbeat& heartbeat, const AttemptRef& attempt) {
  const auto last = std::find_if(heartbeat.tasks.rbegin(), heartbeat.tasks.rend(),
                                 [&](const TaskStatus& status) { return status.is_of(attempt); });
  return last == heartbeat.tasks.rend() ? nullptr : &*last;
}

// Whether the heartbeat shows the worker in the state that the command leads to.
bool acknowledges(const Heartbeat& heartbeat, const WorkerCommand& command) {
  const TaskStatus* status = find_status(heartbeat, command.attempt_ref());
  switch (command.kind) {
    case CommandKind::start:
      return status != nullptr;
    case CommandKind::forget:
      return status == nullptr;
    case CommandKind::stop:
      return !status || status->phase >= TaskPhase::checkpointing;
  }
  return false;
}

}  // namespace

void ReplyTracker::on_new_epoch(const Heartbeat& heartbeat, uint64_t sent_token, double lease_s,
                                double now) {
  unacknowledged_.clear();
  if (doubt_) {
    doubt_->observed_from = now;
  } else if (last_reply_at_ >= 0 && now - last_reply_at_ < kRecentReplyLeases * lease_s) {
    spdlog::info("machine {}: lost its lease {:.1f} s after a reply, marked unreachable",
                 heartbeat.machine, now - last_reply_at_);
    doubt_ = std::make_unique<Doubt>(now, sent_token);
  }
}

void ReplyTracker::on_heartbeat(const Heartbeat& heartbeat, uint64_t sent_token, double lease_s,
                                double now) {
  const Acknowledgement acknowledgement = take_acknowledgement(heartbeat);
  if (acknowledgement == Acknowledgement::given) {
    heartbeats_without_acknowledgement_ = 0;
    clear(heartbeat, "executes their commands");
  } else if (acknowledgement == Acknowledgement::missing) {
    ++heartbeats_without_acknowledgement_;
  }
  if (doubt_ && heartbeat.fencing_token > doubt_->sent_token)
    clear(heartbeat, "has adopted a higher token");
  if (doubt_ && now - doubt_->observed_from > lease_s + kReplyTimeoutS)
    clear(heartbeat, "has kept its lease");
  if (heartbeats_without_acknowledgement_ < kUnreachableAfterHeartbeats) return;
  if (!doubt_) {
    spdlog::info("machine {}: worker does not execute the commands of replies, marked unreachable",
                 heartbeat.machine);
    doubt_ = std::make_unique<Doubt>(now, sent_token);
  }
  if (!doubt_->unacknowledged_since) doubt_->unacknowledged_since = now;
}

// Compares the heartbeat with the commands of the reply before, each of which counts once.
ReplyTracker::Acknowledgement ReplyTracker::take_acknowledgement(const Heartbeat& heartbeat) {
  if (unacknowledged_.empty()) return Acknowledgement::not_expected;
  const bool any =
      std::any_of(unacknowledged_.begin(), unacknowledged_.end(),
                  [&](const WorkerCommand& command) { return acknowledges(heartbeat, command); });
  unacknowledged_.clear();
  return any ? Acknowledgement::given : Acknowledgement::missing;
}

void ReplyTracker::clear(const Heartbeat& heartbeat, const char* sign) {
  if (!doubt_) return;
  spdlog::info("machine {}: worker receives heartbeat replies again, it {}", heartbeat.machine,
               sign);
  doubt_.reset();
  heartbeats_without_acknowledgement_ = 0;
}

void ReplyTracker::on_reply(const std::vector<WorkerCommand>& commands, uint64_t token,
                            double now) {
  unacknowledged_ = commands;
  last_reply_at_ = now;
  if (doubt_ && !doubt_->unacknowledged_since && token > doubt_->sent_token)
    doubt_->unacknowledged_since = now;
}

void ReplyTracker::on_process_stall(double stall_s, double now) {
  if (!doubt_) return;
  doubt_->since = std::min(now, doubt_->since + stall_s);
  doubt_->observed_from = std::min(now, doubt_->observed_from + stall_s);
  if (doubt_->unacknowledged_since)
    doubt_->unacknowledged_since = std::min(now, *doubt_->unacknowledged_since + stall_s);
}

}  // namespace rookdyke
