#include "daemon/cancellation_notifier.h"

#include <spdlog/spdlog.h>

#include <optional>

#include "net/steady_clock.h"

namespace rookdyke {

namespace {
constexpr double kStateServiceTimeoutS = 0.8;
constexpr double kPublishRateLimitWaitS = 0.5;  // longest wait for the rate limits
constexpr double kIdleIntervalS = 0.6;
constexpr size_t kMaxRowsPerMessage = 256;
}  // namespace

CancellationNotifier::CancellationNotifier(const Config& config, SharedState& shared,
                                           state::RateLimiters& limiters, TransactionIds& ids)
    : shared_(shared), ids_(ids), client_(config.state, limiters, kStateServiceTimeoutS) {
  for (const PeerController& peer : config.peers)
    peers_[peer.label] = std::make_unique<mesh::PeerClient>(peer);
}

void CancellationNotifier::run() {
  while (!shared_.stopping())
    std::visit([this](const auto& work) { perform(work); }, wait_for_work());
}

// Checks for work and waits under one lock, so that no wakeup in between is lost.
CancellationNotifier::Work CancellationNotifier::wait_for_work() {
  auto state = shared_.lock();
  if (state->must_publish_read_revision(steady_now()) && state->may_decide(steady_now()))
    return read_revision_publication(*state);
  Notification notification = next_notification(*state);
  if (!notification.message.rows.empty()) return notification;
  state->cancellation_gate().wake_waiters();
  state->cancellation_gate().wait_for_pending(state.mutex_lock(), kIdleIntervalS);
  return std::monostate{};
}

// Returns a transaction that writes the revision up to which this leader has read the ledger, so
// that peer controllers learn it from the ledger.
ledger::Transaction CancellationNotifier::read_revision_publication(ControllerState& state) {
  state.on_read_revision_published(steady_now());
  ledger::Transaction transaction;
  transaction.transaction_id = ids_.next();
  transaction.conditions = {{ledger::kLeaderKey, state.fencing_token()}};
  transaction.changes = {
      {ledger::kReadToKey, false, state.cancellation_gate().leader_read_revision(), 0}};
  return transaction;
}

// Returns a message with at most kMaxRowsPerMessage pending cancellations for the leader named in
// the ledger cache. Notifications that cannot be sent to it are marked as finished.
CancellationNotifier::Notification CancellationNotifier::next_notification(ControllerState& state) {
  const LedgerCache& ledger = state.ledger_cache();
  CancellationGate& gate = state.cancellation_gate();
  Notification notification;
  notification.leader = ledger.leader();
  mesh::CancellationNotice& message = notification.message;
  if (!ledger.leader().empty()) message.fencing_token = ledger.leader_version();
  const bool reachable = peers_.contains(notification.leader);
  for (const CancellationGate::PendingNotification& pending : gate.pending()) {
    if (message.rows.size() >= kMaxRowsPerMessage) break;
    const CachedJob* job = ledger.job(pending.job);
    // The ledger cache has to be as recent as the row: an older one may name a leader whose term
    // ended before the row was written.
    const bool leader_known = pending.leader_token > 0
                                  ? pending.leader_token <= message.fencing_token
                                  : job && state.ledger_revision() >= job->version;
    if (!job || !leader_known || !reachable) {
      gate.mark_notification_finished(pending.job);
      continue;
    }
    message.rows.push_back({pending.job, ledger::encode(job->row), job->version});
  }
  return notification;
}

void CancellationNotifier::perform(std::monostate /*none*/) {}

void CancellationNotifier::perform(const ledger::Transaction& publication) {
  // The outcome is ignored: the next publication supersedes one that failed.
  client_.commit(publication, kPublishRateLimitWaitS);
}

void CancellationNotifier::perform(const Notification& notification) {
  const mesh::CancellationNotice& message = notification.message;
  const std::optional<uint64_t> reply_token =
      peers_.at(notification.leader)->send_cancellations(message);
  auto state = shared_.lock();
  CancellationGate& gate = state->cancellation_gate();
  // The acknowledgement of an older leader does not count: the current leader may not know the
  // rows. A newer leader has loaded the rows that were written before its term.
  const bool acknowledged = reply_token && *reply_token >= message.fencing_token;
  if (acknowledged)
    state->update_known_token(*reply_token);
  else
    spdlog::info("cancellations of {} jobs: not acknowledged by {}", message.rows.size(),
                 notification.leader);
  for (const mesh::CancellationNotice::Row& row : message.rows) {
    if (acknowledged) gate.acknowledge(row.job, row.version);
    gate.mark_notification_finished(row.job);
  }
  gate.wake_waiters();
}

}  // namespace rookdyke
