#include "daemon/cancellation_notifier.h"

#include <spdlog/spdlog.h>

#include <optional>

#include "net/steady_clock.h"

namespace rookdyke {

namespace {
constexpr double kStateTimeoutS = 0.8;
constexpr double kPublishWaitS = 0.5;  // for the budget of changes
constexpr double kIdleIntervalS = 0.6;
constexpr size_t kMaxRowsPerMessage = 256;
}  // namespace

CancellationNotifier::CancellationNotifier(const Config& config, SharedState& shared,
                                           state::RateLimiters& limiters, TransactionIds& ids)
    : shared_(shared), ids_(ids), client_(config.state, limiters, kStateTimeoutS) {
  for (const Sibling& sibling : config.siblings)
    peers_[sibling.label] = std::make_unique<mesh::PeerClient>(sibling);
}

void CancellationNotifier::run() {
  while (!shared_.stopping())
    std::visit([this](const auto& work) { perform(work); }, wait_for_work());
}

// All under one lock, so that no wakeup between the looks and the wait is lost.
CancellationNotifier::Work CancellationNotifier::wait_for_work() {
  auto state = shared_.lock();
  if (state->must_publish_read_to(steady_now()) && state->may_decide(steady_now()))
    return publication(*state);
  Notification notification = next_notification(*state);
  if (!notification.message.rows.empty()) return notification;
  state->cancellation_gate().wake_waiting();
  state->cancellation_gate().wait_for_pending(state.mutex_lock(), kIdleIntervalS);
  return std::monostate{};
}

// The row by which siblings learn how far this leader has read.
ledger::Transaction CancellationNotifier::publication(ControllerState& state) {
  state.on_read_to_published(steady_now());
  ledger::Transaction transaction;
  transaction.transaction_id = ids_.next();
  transaction.conditions = {{ledger::kLeaderKey, state.fencing_token()}};
  transaction.changes = {
      {ledger::kReadToKey, false, state.cancellation_gate().leader_read_to(), 0}};
  return transaction;
}

// The pending cancellations that the leader of the ledger can be notified of. The others are marked
// as tried.
CancellationNotifier::Notification CancellationNotifier::next_notification(ControllerState& state) {
  const LedgerCache& ledger = state.ledger_cache();
  CancellationGate& gate = state.cancellation_gate();
  Notification notification;
  notification.leader = ledger.leader();
  mesh::CancellationNotice& message = notification.message;
  if (!ledger.leader().empty()) message.fencing_token = ledger.leader_version();
  const bool reachable = peers_.contains(notification.leader);
  for (const CancellationGate::Pending& pending : gate.pending()) {
    if (message.rows.size() >= kMaxRowsPerMessage) break;
    const CachedJob* job = ledger.job(pending.job);
    // Whom to notify follows from a ledger cache that has the row: an older one may name a leader
    // whose term was over when the row was written.
    const bool leader_known = pending.leader > 0 ? pending.leader <= message.fencing_token
                                                 : job && state.ledger_revision() >= job->version;
    if (!job || !leader_known || !reachable) {
      gate.set_tried(pending.job);
      continue;
    }
    message.rows.push_back({pending.job, ledger::encode(job->row), job->version});
  }
  return notification;
}

void CancellationNotifier::perform(std::monostate /*none*/) {}

void CancellationNotifier::perform(const ledger::Transaction& publication) {
  client_.commit(publication, kPublishWaitS);  // refused or unanswered: the next one says more
}

void CancellationNotifier::perform(const Notification& notification) {
  const mesh::CancellationNotice& message = notification.message;
  const std::optional<uint64_t> answered_token =
      peers_.at(notification.leader)->send_cancellations(message);
  auto state = shared_.lock();
  CancellationGate& gate = state->cancellation_gate();
  // An older leader's acknowledgement counts for nothing; a newer one has loaded what was written
  // before.
  const bool acknowledged = answered_token && *answered_token >= message.fencing_token;
  if (acknowledged)
    state->learn_token(*answered_token);
  else
    spdlog::info("cancellations of {} jobs: not acknowledged by {}", message.rows.size(),
                 notification.leader);
  for (const mesh::CancellationNotice::Row& row : message.rows) {
    if (acknowledged) gate.acknowledge(row.job, row.version);
    gate.set_tried(row.job);
  }
  gate.wake_waiting();
}

}  // namespace rookdyke
