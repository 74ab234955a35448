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

constexpr double kLongS = 60;  // far beyond what anything here takes
constexpr double kShortS = 0.05;

double seconds_of(const std::function<void()>& run) {
  const auto from = std::chrono::steady_clock::now();
  run();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count();
}

class ReadBarrierTest : public testing::Test {
 protected:
  std::future<bool> waiting(double timeout_s = kLongS) {
    return std::async(std::launch::async, [this, timeout_s] { return barrier.wait(timeout_s); });
  }
  static bool returned(const std::future<bool>& result) {
    return result.wait_for(std::chrono::milliseconds(50)) == std::future_status::ready;
  }

  ReadBarrier barrier;
};

TEST_F(ReadBarrierTest, AReadThatIsSentAfterTheCallAnswersIt) {
  auto result = waiting();
  barrier.wait_for_caller(kLongS);
  const auto read = barrier.begin_read();
  EXPECT_FALSE(returned(result));
  barrier.on_response();
  EXPECT_FALSE(returned(result));  // not before it is applied
  barrier.on_read_applied(read);
  EXPECT_TRUE(result.get());
}

TEST_F(ReadBarrierTest, AReadThatWasSentBeforeTheCallProvesNothing) {
  const auto early = barrier.begin_read();
  auto result = waiting();
  barrier.wait_for_caller(kLongS);  // it has called
  barrier.on_read_applied(early);
  EXPECT_FALSE(returned(result));
  barrier.on_read_applied(barrier.begin_read());
  EXPECT_TRUE(result.get());
}

TEST_F(ReadBarrierTest, OneReadAnswersAllThatWaited) {
  std::vector<std::future<bool>> results;
  results.reserve(5);
  ReadBarrier::ReadId read = 0;
  for (int i = 0; i < 5; ++i) results.push_back(waiting());
  while (read < 5) {
    read = barrier.begin_read();
    std::this_thread::yield();
  }
  barrier.on_read_applied(read);
  for (auto& result : results) EXPECT_TRUE(result.get());
}

TEST_F(ReadBarrierTest, ACallTimesOut) {
  bool proven = true;
  EXPECT_GE(seconds_of([&] { proven = barrier.wait(kShortS); }), kShortS);
  EXPECT_FALSE(proven);
  // Time that is over already is no error.
  EXPECT_FALSE(barrier.wait(-1));
}

TEST_F(ReadBarrierTest, AFailedReadFailsItsCallersAtOnceButNoLaterOne) {
  auto result = waiting();
  barrier.wait_for_caller(kLongS);
  barrier.on_read_failed(barrier.begin_read(), 0);
  EXPECT_FALSE(result.get());
  EXPECT_FALSE(barrier.failing());
  auto later = waiting();
  barrier.wait_for_caller(kLongS);
  barrier.on_read_applied(barrier.begin_read());
  EXPECT_TRUE(later.get());
}

TEST_F(ReadBarrierTest, AfterTwoFailuresInARowNobodyWaits) {
  barrier.on_read_failed(barrier.begin_read(), 0);
  EXPECT_FALSE(barrier.failing());
  barrier.on_read_failed(barrier.begin_read(), 0);
  EXPECT_TRUE(barrier.failing());
  bool proven = true;
  EXPECT_LT(seconds_of([&] { proven = barrier.wait(kLongS); }), kLongS / 2);
  EXPECT_FALSE(proven);
  barrier.on_response();
  EXPECT_FALSE(barrier.failing());
  auto result = waiting();
  barrier.wait_for_caller(kLongS);
  barrier.on_read_applied(barrier.begin_read());
  EXPECT_TRUE(result.get());
}

TEST_F(ReadBarrierTest, AnAnswerBetweenStartsTheCountAnew) {
  barrier.on_read_failed(barrier.begin_read(), 0);
  barrier.on_response();
  barrier.on_read_failed(barrier.begin_read(), 0);
  EXPECT_FALSE(barrier.failing());
}

TEST_F(ReadBarrierTest, ThePauseAfterAFailureEndsWithTheNextCall) {
  std::atomic<bool> finished{false};
  std::thread caller([&] {
    while (!finished) {
      EXPECT_FALSE(barrier.wait(0));
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  });
  EXPECT_LT(seconds_of([&] { barrier.on_read_failed(barrier.begin_read(), kLongS); }), kLongS / 2);
  finished = true;
  caller.join();
}

TEST_F(ReadBarrierTest, TheWatcherWaitsNoLongerThanItSays) {
  EXPECT_GE(seconds_of([&] { barrier.wait_for_caller(kShortS); }), kShortS);
  // One who timed out is waited for by nobody, but is still to be answered.
  EXPECT_FALSE(barrier.wait(kShortS));
  EXPECT_LT(seconds_of([&] { barrier.wait_for_caller(kLongS); }), kLongS / 2);
  barrier.on_read_applied(barrier.begin_read());
  EXPECT_GE(seconds_of([&] { barrier.wait_for_caller(kShortS); }), kShortS);
}

TEST_F(ReadBarrierTest, StopEndsAllWaits) {
  auto result = waiting();
  barrier.wait_for_caller(kLongS);
  const auto read = barrier.begin_read();
  auto watcher = std::async(std::launch::async, [&] {
    barrier.on_read_failed(read, kLongS);
    return true;
  });
  EXPECT_FALSE(result.get());
  auto second = waiting();
  barrier.stop();
  EXPECT_FALSE(second.get());
  EXPECT_TRUE(watcher.get());
  EXPECT_LT(seconds_of([&] {
              barrier.wait_for_caller(kLongS);
              EXPECT_FALSE(barrier.wait(kLongS));
              barrier.on_read_failed(barrier.begin_read(), kLongS);
            }),
            kLongS / 2);
}

}  // namespace
}  // namespace rookdyke
