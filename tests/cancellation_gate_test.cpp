#include "daemon/cancellation_gate.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

namespace rookdyke {
namespace {

constexpr double kLongTimeoutS = 60;  // never reached by a passing test
constexpr double kShortTimeoutS = 0.05;
constexpr const char* kJob = "wk-000001";
constexpr uint64_t kVersion = 12;
constexpr uint64_t kLeaderToken = 7;

class CancellationGateTest : public testing::Test {
 protected:
  // A user request that waits for the confirmation of a cancellation, on a thread of its own. Reads
  // `ledger_unavailable` under the mutex.
  std::future<bool> start_request(uint64_t leader_token = kLeaderToken,
                                  double timeout_s = kLongTimeoutS) {
    return std::async(std::launch::async, [this, leader_token, timeout_s] {
      CancellationGate::Lock lock(mutex);
      return gate.wait_until_known(lock, kJob, kVersion, leader_token, timeout_s,
                                   [this] { return ledger_unavailable; });
    });
  }
  // Waits until exactly `count` notifications are pending, and returns them.
  std::vector<CancellationGate::PendingNotification> wait_for_pending_count(size_t count) {
    CancellationGate::Lock lock(mutex);
    while (gate.pending().size() != count) gate.wait_for_pending(lock, kShortTimeoutS);
    return gate.pending();
  }
  static bool is_finished(const std::future<bool>& result) {
    return result.wait_for(std::chrono::milliseconds(50)) == std::future_status::ready;
  }

  std::mutex mutex;
  CancellationGate gate;
  bool ledger_unavailable = false;
};

TEST_F(CancellationGateTest, AcknowledgementReleasesItsRequest) {
  auto result = start_request();
  const auto notifications = wait_for_pending_count(1);
  EXPECT_EQ(notifications[0].job, kJob);
  EXPECT_EQ(notifications[0].leader_token, kLeaderToken);
  {
    std::lock_guard lock(mutex);
    gate.acknowledge(kJob, kVersion);
    gate.mark_notification_finished(kJob);
    gate.wake_waiters();
  }
  EXPECT_TRUE(result.get());
  std::lock_guard lock(mutex);
  EXPECT_TRUE(gate.is_known(kJob, kVersion));
  EXPECT_FALSE(gate.is_known(kJob, kVersion + 1));
  EXPECT_TRUE(gate.pending().empty());
}

TEST_F(CancellationGateTest, LeaderReadOfTheRowReleasesItsRequest) {
  auto result = start_request();
  wait_for_pending_count(1);
  {
    std::lock_guard lock(mutex);
    gate.on_leader_read(kVersion - 1);
  }
  EXPECT_FALSE(is_finished(result));
  {
    std::lock_guard lock(mutex);
    gate.on_leader_read(kVersion);
    EXPECT_EQ(gate.leader_read_revision(), kVersion);
  }
  EXPECT_TRUE(result.get());
}

TEST_F(CancellationGateTest, AcknowledgementOfAnOlderRowIsIgnored) {
  auto result = start_request();
  wait_for_pending_count(1);
  {
    std::lock_guard lock(mutex);
    gate.acknowledge(kJob, kVersion - 1);
    gate.wake_waiters();
  }
  EXPECT_FALSE(is_finished(result));
  {
    std::lock_guard lock(mutex);
    gate.mark_notification_finished(kJob);
    ledger_unavailable = true;
    gate.wake_waiters();
  }
  EXPECT_FALSE(result.get());
}

TEST_F(CancellationGateTest, RequestTimesOutAndLeavesNothingPending) {
  const auto start = std::chrono::steady_clock::now();
  EXPECT_FALSE(start_request(kLeaderToken, kShortTimeoutS).get());
  EXPECT_GE(std::chrono::steady_clock::now() - start, std::chrono::milliseconds(50));
  EXPECT_FALSE(start_request(kLeaderToken, -1).get());
  std::lock_guard lock(mutex);
  EXPECT_TRUE(gate.pending().empty());
}

TEST_F(CancellationGateTest, FailedNotificationStillWaitsForTheLedger) {
  auto result = start_request();
  wait_for_pending_count(1);
  {
    std::lock_guard lock(mutex);
    gate.mark_notification_finished(kJob);
    gate.wake_waiters();
    EXPECT_TRUE(gate.pending().empty());  // no second message is sent
  }
  EXPECT_FALSE(is_finished(result));
  {
    std::lock_guard lock(mutex);
    ledger_unavailable = true;
    gate.wake_waiters();
  }
  EXPECT_FALSE(result.get());
}

TEST_F(CancellationGateTest, UnavailableLedgerAloneDoesNotEndTheWait) {
  ledger_unavailable = true;
  auto result = start_request();
  wait_for_pending_count(1);
  EXPECT_FALSE(is_finished(result));
  {
    std::lock_guard lock(mutex);
    gate.acknowledge(kJob, kVersion);
    gate.wake_waiters();
  }
  EXPECT_TRUE(result.get());
}

TEST_F(CancellationGateTest, RequestsForOneJobShareItsNotification) {
  auto first = start_request(0);
  EXPECT_EQ(wait_for_pending_count(1)[0].leader_token, 0u);
  auto second = start_request(kLeaderToken);
  while (wait_for_pending_count(1)[0].leader_token == 0) std::this_thread::yield();
  {
    std::lock_guard lock(mutex);
    EXPECT_EQ(gate.pending()[0].leader_token, kLeaderToken);  // the highest token of all requests
    gate.acknowledge(kJob, kVersion);
    gate.wake_waiters();
  }
  EXPECT_TRUE(first.get());
  EXPECT_TRUE(second.get());
}

TEST_F(CancellationGateTest, LaterRequestNotifiesTheLeaderAgain) {
  auto first = start_request();
  wait_for_pending_count(1);
  {
    std::lock_guard lock(mutex);
    gate.mark_notification_finished(kJob);
    ledger_unavailable = true;
    gate.wake_waiters();
  }
  EXPECT_FALSE(first.get());
  auto second = start_request();
  EXPECT_EQ(wait_for_pending_count(1)[0].job, kJob);
  {
    std::lock_guard lock(mutex);
    gate.stop();
  }
  EXPECT_FALSE(second.get());
}

TEST_F(CancellationGateTest, StopEndsAllWaits) {
  auto result = start_request();
  wait_for_pending_count(1);
  auto notifier = std::async(std::launch::async, [this] {
    CancellationGate::Lock lock(mutex);
    gate.wait_for_pending(lock, kLongTimeoutS);
  });
  {
    std::lock_guard lock(mutex);
    gate.stop();
  }
  EXPECT_FALSE(result.get());
  notifier.get();
  EXPECT_FALSE(start_request().get());
  CancellationGate::Lock lock(mutex);
  gate.wait_for_pending(lock, kLongTimeoutS);
}

}  // namespace
}  // namespace rookdyke
