#include "state/connection_pool.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <thread>
#include <vector>

namespace rookdyke::state {
namespace {

constexpr double kLongS = 60;  // far beyond what anything here takes
constexpr double kShortS = 0.05;

// Nothing is sent here: the address leads nowhere.
class ConnectionPoolTest : public testing::Test {
 protected:
  RateLimiters limiters{1000, 1000};
  ConnectionPool pool{{"127.0.0.1", 1}, limiters, 2};
};

TEST_F(ConnectionPoolTest, LendsNoMoreThanItsBound) {
  ConnectionPool::Connection first(pool, kShortS);
  ConnectionPool::Connection second(pool, kShortS);
  ASSERT_TRUE(first);
  ASSERT_TRUE(second);
  EXPECT_NE(first.operator->(), second.operator->());
  const auto before = std::chrono::steady_clock::now();
  ConnectionPool::Connection third(pool, kShortS);
  EXPECT_FALSE(third);
  EXPECT_GE(std::chrono::steady_clock::now() - before, std::chrono::milliseconds(50));
}

TEST_F(ConnectionPoolTest, AReturnedConnectionIsLentAgain) {
  Client* connection = nullptr;
  {
    ConnectionPool::Connection borrowed(pool, kShortS);
    ASSERT_TRUE(borrowed);
    connection = borrowed.operator->();
  }
  ConnectionPool::Connection again(pool, kShortS);
  EXPECT_EQ(again.operator->(), connection);
}

TEST_F(ConnectionPoolTest, AConnectionThatTimedOutTakesNothingFromThePool) {
  {
    ConnectionPool::Connection first(pool, kShortS), second(pool, kShortS);
    ConnectionPool::Connection none(pool, kShortS);
    ASSERT_FALSE(none);
  }
  ConnectionPool::Connection first(pool, kShortS), second(pool, kShortS);
  EXPECT_TRUE(first);
  EXPECT_TRUE(second);
}

TEST_F(ConnectionPoolTest, AWaitingBorrowerGetsTheNextThatComesBack) {
  auto first = std::make_unique<ConnectionPool::Connection>(pool, kShortS);
  ConnectionPool::Connection second(pool, kShortS);
  Client* connection = first->operator->();
  auto waiting = std::async(std::launch::async, [&]() -> Client* {
    ConnectionPool::Connection borrowed(pool, kLongS);
    return borrowed ? borrowed.operator->() : nullptr;
  });
  EXPECT_EQ(waiting.wait_for(std::chrono::milliseconds(50)), std::future_status::timeout);
  first.reset();
  EXPECT_EQ(waiting.get(), connection);
}

TEST_F(ConnectionPoolTest, EachConnectionHasOneBorrowerAtATime) {
  std::atomic<int> in_use{0}, most{0};
  std::vector<std::thread> threads;
  threads.reserve(8);
  for (int i = 0; i < 8; ++i)
    threads.emplace_back([&] {
      for (int round = 0; round < 50; ++round) {
        ConnectionPool::Connection borrowed(pool, kLongS);
        ASSERT_TRUE(borrowed);
        const int now = ++in_use;
        int known = most;
        while (now > known && !most.compare_exchange_weak(known, now)) {
        }
        std::this_thread::yield();
        --in_use;
      }
    });
  for (std::thread& t : threads) t.join();
  EXPECT_LE(most, 2);
}

}  // namespace
}  // namespace rookdyke::state
