#include "daemon/cancellation_gate.h"

#include <algorithm>
#include <chrono>

namespace rookdyke {

void CancellationGate::leader_has_read(uint64_t revision) {
  known_.read_to(revision);
  changed_.notify_all();
}

bool CancellationGate::wait_until_known(Lock& lock, const std::string& job, uint64_t version,
                                        uint64_t leader, double timeout_s,
                                        const std::function<bool()>& hopeless) {
  Notification& notification = notifications_[job];
  if (notification.waiting++ == 0) notification.tried = false;
  notification.leader = std::max(notification.leader, leader);
  notifier_.notify_one();
  const auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(timeout_s);
  // After a failed notification the ledger may still show how far the leader has read.
  changed_.wait_until(lock, until, [&] {
    return stopped_ || known_.contains(job, version) ||
           (notifications_.at(job).tried && hopeless());
  });
  if (--notifications_.at(job).waiting == 0) notifications_.erase(job);
  return known_.contains(job, version);
}

void CancellationGate::stop() {
  stopped_ = true;
  notifier_.notify_all();
  changed_.notify_all();
}

std::vector<CancellationGate::Pending> CancellationGate::pending() const {
  std::vector<Pending> out;
  for (const auto& [job, notification] : notifications_)
    if (!notification.tried) out.push_back({job, notification.leader});
  return out;
}

void CancellationGate::set_tried(const std::string& job) {
  if (auto it = notifications_.find(job); it != notifications_.end()) it->second.tried = true;
}

void CancellationGate::wait_for_pending(Lock& lock, double longest_s) {
  if (!stopped_)
    notifier_.wait_for(lock, std::chrono::duration<double>(std::max(0.001, longest_s)));
}

}  // namespace rookdyke
