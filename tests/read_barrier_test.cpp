#include "daemon/read_barrier.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <thread>
#include <vector>

namespace rookdyke {
namespace {

constexpr double kLongTimeoutS = 60;  // never reached by a passing test
constexpr double kShortTimeoutS = 0.05;

double duration_s(const std::function<void()>& action) {
  const auto start = std::chrono::steady_clock::now();
  action();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

class ReadBarrierTest : public testing::Test {
 protected:
  std::future<bool> start_wait(double timeout_s = kLongTimeoutS) {
    return std::async(std::launch::async, [this, timeout_s] { return barrier.wait(timeout_s); });
  }
  static bool is_finished(const std::future<bool>& result) {
    return result.wait_for(std::chrono::milliseconds(50)) == std::future_status::ready;
  }

  ReadBarrier barrier;
};

TEST_F(ReadBarrierTest, ReadSentAfterTheCallCompletesIt) {
  auto result = start_wait();
  barrier.wait_for_caller(kLongTimeoutS);
  const auto read = barrier.begin_read();
  EXPECT_FALSE(is_finished(result));
  barrier.on_response();
  EXPECT_FALSE(is_finished(result));  // not before it is applied
  barrier.on_read_applied(read);
  EXPECT_TRUE(result.get());
}

TEST_F(ReadBarrierTest, ReadSentBeforeTheCallDoesNotCompleteIt) {
  const auto earlier_read = barrier.begin_read();
  auto result = start_wait();
  barrier.wait_for_caller(kLongTimeoutS);  // returns once the call of wait() is registered
  barrier.on_read_applied(earlier_read);
  EXPECT_FALSE(is_finished(result));
  barrier.on_read_applied(barrier.begin_read());
  EXPECT_TRUE(result.get());
}

TEST_F(ReadBarrierTest, OneReadCompletesAllWaitingCalls) {
  std::vector<std::future<bool>> results;
  results.reserve(5);
  ReadBarrier::ReadId read = 0;
  for (int i = 0; i < 5; ++i) results.push_back(start_wait());
  while (read < 5) {
    read = barrier.begin_read();
    std::this_thread::yield();
  }
  barrier.on_read_applied(read);
  for (auto& result : results) EXPECT_TRUE(result.get());
}

TEST_F(ReadBarrierTest, CallTimesOut) {
  bool succeeded = true;
  EXPECT_GE(duration_s([&] { succeeded = barrier.wait(kShortTimeoutS); }), kShortTimeoutS);
  EXPECT_FALSE(succeeded);
  // A negative timeout is allowed and returns at once.
  EXPECT_FALSE(barrier.wait(-1));
}

TEST_F(ReadBarrierTest, FailedReadFailsItsCallersButNoLaterCall) {
  auto result = start_wait();
  barrier.wait_for_caller(kLongTimeoutS);
  barrier.on_read_failed(barrier.begin_read(), 0);
  EXPECT_FALSE(result.get());
  EXPECT_FALSE(barrier.failing());
  auto later = start_wait();
  barrier.wait_for_caller(kLongTimeoutS);
  barrier.on_read_applied(barrier.begin_read());
  EXPECT_TRUE(later.get());
}

TEST_F(ReadBarrierTest, CallsFailImmediatelyAfterTwoConsecutiveFailures) {
  barrier.on_read_failed(barrier.begin_read(), 0);
  EXPECT_FALSE(barrier.failing());
  barrier.on_read_failed(barrier.begin_read(), 0);
  EXPECT_TRUE(barrier.failing());
  bool succeeded = true;
  EXPECT_LT(duration_s([&] { succeeded = barrier.wait(kLongTimeoutS); }), kLongTimeoutS / 2);
  EXPECT_FALSE(succeeded);
  barrier.on_response();
  EXPECT_FALSE(barrier.failing());
  auto result = start_wait();
  barrier.wait_for_caller(kLongTimeoutS);
  barrier.on_read_applied(barrier.begin_read());
  EXPECT_TRUE(result.get());
}

TEST_F(ReadBarrierTest, ResponseResetsTheFailureCount) {
  barrier.on_read_failed(barrier.begin_read(), 0);
  barrier.on_response();
  barrier.on_read_failed(barrier.begin_read(), 0);
  EXPECT_FALSE(barrier.failing());
}

TEST_F(ReadBarrierTest, PauseAfterAFailureEndsWithTheNextCall) {
  std::atomic<bool> finished{false};
  std::thread caller([&] {
    while (!finished) {
      EXPECT_FALSE(barrier.wait(0));
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  });
  EXPECT_LT(duration_s([&] { barrier.on_read_failed(barrier.begin_read(), kLongTimeoutS); }),
            kLongTimeoutS / 2);
  finished = true;
  caller.join();
}

TEST_F(ReadBarrierTest, WatcherWaitsUntilTheTimeoutOrAnUncoveredCall) {
  EXPECT_GE(duration_s([&] { barrier.wait_for_caller(kShortTimeoutS); }), kShortTimeoutS);
  // A call that timed out still counts as not covered by a read.
  EXPECT_FALSE(barrier.wait(kShortTimeoutS));
  EXPECT_LT(duration_s([&] { barrier.wait_for_caller(kLongTimeoutS); }), kLongTimeoutS / 2);
  barrier.on_read_applied(barrier.begin_read());
  EXPECT_GE(duration_s([&] { barrier.wait_for_caller(kShortTimeoutS); }), kShortTimeoutS);
}

TEST_F(ReadBarrierTest, StopEndsAllWaits) {
  auto result = start_wait();
  barrier.wait_for_caller(kLongTimeoutS);
  const auto read = barrier.begin_read();
  auto watcher = std::async(std::launch::async, [&] {
    barrier.on_read_failed(read, kLongTimeoutS);
    return true;
  });
  EXPECT_FALSE(result.get());
  auto second = start_wait();
  barrier.stop();
  EXPECT_FALSE(second.get());
  EXPECT_TRUE(watcher.get());
  EXPECT_LT(duration_s([&] {
              barrier.wait_for_caller(kLongTimeoutS);
              EXPECT_FALSE(barrier.wait(kLongTimeoutS));
              barrier.on_read_failed(barrier.begin_read(), kLongTimeoutS);
            }),
            kLongTimeoutS / 2);
}

}  // namespace
}  // namespace rookdyke
