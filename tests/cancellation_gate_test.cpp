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

constexpr double kLongS = 60;  // far beyond what anything here takes
constexpr double kShortS = 0.05;
constexpr const char* kJob = "wk-000001";
constexpr uint64_t kVersion = 12;
constexpr uint64_t kLeader = 7;  // its token

class CancellationGateTest : public testing::Test {
 protected:
  // A user's request that waits. `ledger_silent` is read under the mutex.
  std::future<bool> waiting(uint64_t leader = kLeader, double timeout_s = kLongS) {
    return std::async(std::launch::async, [this, leader, timeout_s] {
      CancellationGate::Lock lock(mutex);
      return gate.wait_until_known(lock, kJob, kVersion, leader, timeout_s,
                                   [this] { return ledger_silent; });
    });
  }
  // Until so many cancellations are pending.
  std::vector<CancellationGate::Pending> pending(size_t count) {
    CancellationGate::Lock lock(mutex);
    while (gate.pending().size() != count) gate.wait_for_pending(lock, kShortS);
    return gate.pending();
  }
  static bool returned(const std::future<bool>& result) {
    return result.wait_for(std::chrono::milliseconds(50)) == std::future_status::ready;
  }

  std::mutex mutex;
  CancellationGate gate;
  bool ledger_silent = false;
};

TEST_F(CancellationGateTest, AnAcknowledgementLetsItsRequestGo) {
  auto result = waiting();
  const auto asked = pending(1);
  EXPECT_EQ(asked[0].job, kJob);
  EXPECT_EQ(asked[0].leader, kLeader);
  {
    std::lock_guard lock(mutex);
    gate.acknowledge(kJob, kVersion);
    gate.set_tried(kJob);
    gate.wake_waiting();
  }
  EXPECT_TRUE(result.get());
  std::lock_guard lock(mutex);
  EXPECT_TRUE(gate.is_known(kJob, kVersion));
  EXPECT_FALSE(gate.is_known(kJob, kVersion + 1));
  EXPECT_TRUE(gate.pending().empty());
}

TEST_F(CancellationGateTest, ALeaderThatHasReadSoFarLetsItsRequestGo) {
  auto result = waiting();
  pending(1);
  {
    std::lock_guard lock(mutex);
    gate.leader_has_read(kVersion - 1);
  }
  EXPECT_FALSE(returned(result));
  {
    std::lock_guard lock(mutex);
    gate.leader_has_read(kVersion);
    EXPECT_EQ(gate.leader_read_to(), kVersion);
  }
  EXPECT_TRUE(result.get());
}

TEST_F(CancellationGateTest, AnAcknowledgementOfAnOlderRowIsNone) {
  auto result = waiting();
  pending(1);
  {
    std::lock_guard lock(mutex);
    gate.acknowledge(kJob, kVersion - 1);
    gate.wake_waiting();
  }
  EXPECT_FALSE(returned(result));
  {
    std::lock_guard lock(mutex);
    gate.set_tried(kJob);
    ledger_silent = true;
    gate.wake_waiting();
  }
  EXPECT_FALSE(result.get());
}

TEST_F(CancellationGateTest, ARequestTimesOutAndLeavesNothingPending) {
  const auto from = std::chrono::steady_clock::now();
  EXPECT_FALSE(waiting(kLeader, kShortS).get());
  EXPECT_GE(std::chrono::steady_clock::now() - from, std::chrono::milliseconds(50));
  EXPECT_FALSE(waiting(kLeader, -1).get());
  std::lock_guard lock(mutex);
  EXPECT_TRUE(gate.pending().empty());
}

TEST_F(CancellationGateTest, ToldInVainItStillWaitsForWordThroughTheLedger) {
  auto result = waiting();
  pending(1);
  {
    std::lock_guard lock(mutex);
    gate.set_tried(kJob);
    gate.wake_waiting();
    EXPECT_TRUE(gate.pending().empty());  // no second message
  }
  EXPECT_FALSE(returned(result));
  {
    std::lock_guard lock(mutex);
    ledger_silent = true;
    gate.wake_waiting();
  }
  EXPECT_FALSE(result.get());
}

TEST_F(CancellationGateTest, ASilentLedgerAloneEndsNoWait) {
  ledger_silent = true;
  auto result = waiting();
  pending(1);
  EXPECT_FALSE(returned(result));
  {
    std::lock_guard lock(mutex);
    gate.acknowledge(kJob, kVersion);
    gate.wake_waiting();
  }
  EXPECT_TRUE(result.get());
}

TEST_F(CancellationGateTest, RequestsForOneJobShareItsNotification) {
  auto first = waiting(0);
  EXPECT_EQ(pending(1)[0].leader, 0u);
  auto second = waiting(kLeader);
  while (pending(1)[0].leader == 0) std::this_thread::yield();
  {
    std::lock_guard lock(mutex);
    EXPECT_EQ(gate.pending()[0].leader, kLeader);  // the highest that any of them knows
    gate.acknowledge(kJob, kVersion);
    gate.wake_waiting();
  }
  EXPECT_TRUE(first.get());
  EXPECT_TRUE(second.get());
}

TEST_F(CancellationGateTest, ALaterRequestHasTheLeaderToldAgain) {
  auto first = waiting();
  pending(1);
  {
    std::lock_guard lock(mutex);
    gate.set_tried(kJob);
    ledger_silent = true;
    gate.wake_waiting();
  }
  EXPECT_FALSE(first.get());
  auto second = waiting();
  EXPECT_EQ(pending(1)[0].job, kJob);
  {
    std::lock_guard lock(mutex);
    gate.stop();
  }
  EXPECT_FALSE(second.get());
}

TEST_F(CancellationGateTest, StopEndsAllWaits) {
  auto result = waiting();
  pending(1);
  auto notifier = std::async(std::launch::async, [this] {
    CancellationGate::Lock lock(mutex);
    gate.wait_for_pending(lock, kLongS);
  });
  {
    std::lock_guard lock(mutex);
    gate.stop();
  }
  EXPECT_FALSE(result.get());
  notifier.get();
  EXPECT_FALSE(waiting().get());
  CancellationGate::Lock lock(mutex);
  gate.wait_for_pending(lock, kLongS);
}

}  // namespace
}  // namespace rookdyke
