#pragma once
// Tracks whether a machine's worker receives the replies to its heartbeats. Each Machine has one
// instance.
//
// The machine becomes unreachable if several heartbeats in a row acknowledge no command of the
// reply before, or if the worker loses its lease soon after a reply. Both can mislead: a heartbeat
// that the network held back looks as if it had been replied to in time. An unreachable machine
// gets no new tasks and so perhaps never a command to acknowledge. Hence it is reachable again
// after any of these:
//   - a heartbeat acknowledges a command of the reply before;
//   - a heartbeat carries a higher fencing token than the worker had been sent when the machine
//     became unreachable: from then on only replies carry such a token;
//   - an epoch lasts for longer than a lease, which takes a reply that was received.
//
// Updated by HeartbeatHandler. All times are seconds on the leader's steady clock.

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "model/types.h"

namespace rookdyke {

class ReplyTracker {
 public:
  // The heartbeat is the first of a new epoch, in which commands of earlier epochs are void.
  // `sent_token`: the highest fencing token that the worker has been sent.
  void on_new_epoch(const Heartbeat& heartbeat, uint64_t sent_token, double lease_s, double now);
  // A heartbeat of the current epoch, also its first one.
  void on_heartbeat(const Heartbeat& heartbeat, uint64_t sent_token, double lease_s, double now);
  // The latest heartbeat is replied to.
  void on_reply(const std::vector<WorkerCommand>& commands, uint64_t token, double now);
  // This process did not run for `stall_s` seconds, so heartbeats may be that old.
  void on_process_stall(double stall_s, double now);

  bool is_unreachable() const { return doubt_ != nullptr; }
  // When the machine became unreachable. Requires is_unreachable().
  double unreachable_since() const { return doubt_->since; }
  // Since when there have been replies that the worker, had it received them, would have
  // acknowledged; empty if there was none. Requires is_unreachable().
  std::optional<double> unacknowledged_since() const { return doubt_->unacknowledged_since; }
  // Whether it takes a reply with a higher token than this to learn if replies arrive.
  bool needs_token_above(uint64_t token) const { return doubt_ && token <= doubt_->sent_token; }

 private:
  enum class Acknowledgement : uint8_t { not_expected, given, missing };

  // What is known of a machine that is unreachable.
  struct Doubt {
    Doubt(double now, uint64_t token) : since(now), sent_token(token), observed_from(now) {}

    double since;
    uint64_t sent_token;   // the highest that the worker had been sent by then
    double observed_from;  // an epoch that lasts a lease from here on has had a reply since
    std::optional<double> unacknowledged_since;
  };

  Acknowledgement take_acknowledgement(const Heartbeat& heartbeat);
  void clear(const Heartbeat& heartbeat, const char* sign);

  std::vector<WorkerCommand> unacknowledged_;
  int heartbeats_without_acknowledgement_ = 0;  // in a row
  double last_reply_at_ = -1;                   // negative: none yet
  std::unique_ptr<Doubt> doubt_;                // null: reachable, as almost all machines are
};

}  // namespace rookdyke
