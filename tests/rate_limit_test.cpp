// When the state service's lowered limit of changes a second is taken to hold.

#include "net/rate_limit.h"

#include <gtest/gtest.h>

#include "net/rate_limiter.h"

namespace rookdyke::net {
namespace {

TEST(RateLimit, ARefusalLowersItAtOnceAndForAWhile) {
  RateLimit limit;
  EXPECT_FALSE(limit.is_lowered(0));
  limit.on_refused(1);
  EXPECT_TRUE(limit.is_lowered(1));
  EXPECT_TRUE(limit.is_lowered(10.9));
  EXPECT_FALSE(limit.is_lowered(11.1)) << "the former rate is tried again";
}

// All controllers that start at once are hasty together: that is no lowered limit.
TEST(RateLimit, ManyRefusalsAtOnceCountForOne) {
  RateLimit limit;
  for (int i = 0; i < 100; ++i) limit.on_refused(1 + 0.02 * i);
  EXPECT_FALSE(limit.is_lowered(11.1));
  limit.on_refused(100);
  EXPECT_FALSE(limit.is_lowered(110.1)) << "long after the first: not in a row";
}

TEST(RateLimit, RefusedWheneverTheFormerRateIsTriedItStaysLow) {
  RateLimit limit;
  double now = 1;
  int refusals = 0;
  for (; now < 300; now += 0.5) {
    if (limit.is_lowered(now)) continue;
    limit.on_refused(now);
    ++refusals;
  }
  EXPECT_LE(refusals, 4);
  EXPECT_TRUE(limit.is_lowered(1e6));
}

TEST(RateLimiter, FollowsTheLimitDownAndUp) {
  RateLimiter limiter(100);
  EXPECT_TRUE(limiter.take(1, 0));
  limiter.set_total_rate(10);
  // A second's worth of the lower limit is left at most.
  int taken = 0;
  while (taken < 100 && limiter.take(1, 0)) ++taken;
  EXPECT_LE(taken, 12);
  EXPECT_GT(limiter.wait_time_s(5), 0.3);
  limiter.set_total_rate(1000);
  EXPECT_LT(limiter.wait_time_s(5), 0.1);
}

// What waits for its turn waits a little longer.
TEST(RateLimiter, WhatGoesFirstWaitsForNobody) {
  RateLimiter limiter(1);
  while (limiter.take(1, 0)) {
  }
  limiter.take_without_waiting(1);
  EXPECT_GT(limiter.wait_time_s(1), 0.9);
}

}  // namespace
}  // namespace rookdyke::net
