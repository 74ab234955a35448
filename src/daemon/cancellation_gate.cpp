#include "daemon/cancellation_gate.h"

#include <algorithm>
#include <chrono>

namespace rookdyke {

void CancellationGate::on_leader_read(uint64_t revision) {
  known_cancellations_.on_leader_read(revision);
  state_changed_.notify_all();
}

bool CancellationGate::wait_until_known(Lock& lock, const std::string& job, uint64_t version,
                                        uint64_t leader_token, double timeout_s,
                                        const std::function<bool()>& ledger_unavailable) {
  Notification& notification = notifications_[job];
  if (notification.waiters++ == 0) notification.finished = false;
  notification.leader_token = std::max(notification.leader_token, leader_token);
  notifier_wakeup_.notify_one();
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::duration<double>(timeout_s);
  // After a failed notification the ledger may still show that the leader has read the row.
  state_changed_.wait_until(lock, deadline, [&] {
    return stopped_ || known_cancellations_.contains(job, version) ||
           (notifications_.at(job).finished && ledger_unavailable());
  });
  if (--notifications_.at(job).waiters == 0) notifications_.erase(job);
  return known_cancellations_.contains(job, version);
}

void CancellationGate::stop() {
  stopped_ = true;
  notifier_wakeup_.notify_all();
  state_changed_.notify_all();
}

std::vector<CancellationGate::PendingNotification> CancellationGate::pending() const {
  std::vector<PendingNotification> out;
  for (const auto& [job, notification] : notifications_)
    if (!notification.finished) out.push_back({job, notification.leader_token});
  return out;
}

void CancellationGate::mark_notification_finished(const std::string& job) {
  if (auto it = notifications_.find(job); it != notifications_.end()) it->second.finished = true;
}

void CancellationGate::wait_for_pending(Lock& lock, double timeout_s) {
  if (!stopped_)
    notifier_wakeup_.wait_for(lock, std::chrono::duration<double>(std::max(0.001, timeout_s)));
}

}  // namespace rookdyke
