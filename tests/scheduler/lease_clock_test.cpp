// Validity of the leader lease after the process was suspended.

#include "leadership/lease_clock.h"

#include <gtest/gtest.h>

namespace rookdyke {
namespace {

TEST(LeaseClock, AStallInvalidatesTheLeaseUntilTheNextRenewalAttempt) {
  LeaseClock clock(100);
  clock.on_renewed(100.1);
  EXPECT_TRUE(clock.lease_state_is_current(100.5, 2.5));
  EXPECT_EQ(clock.detect_stall(100.6), 0);
  EXPECT_EQ(clock.detect_stall(101.5), 0);
  // An outage of the state service: renewals fail while the process keeps running. The lease
  // expires but, without a stall, the leader may continue.
  clock.on_renewal_attempted(102);
  EXPECT_EQ(clock.detect_stall(102.4), 0);
  EXPECT_FALSE(clock.is_unexpired(103, 2.5));
  EXPECT_TRUE(clock.lease_state_is_current(103, 2.5));
  // The process is suspended: the lease is unconfirmed until another renewal has been attempted.
  EXPECT_NEAR(clock.detect_stall(130), 27.6, 1e-9);
  EXPECT_FALSE(clock.lease_state_is_current(130, 2.5));
  clock.on_renewal_attempted(129);  // outcome of a renewal that was sent before the process resumed
  EXPECT_FALSE(clock.lease_state_is_current(130.1, 2.5));
  clock.on_renewal_attempted(130.05);
  EXPECT_TRUE(clock.lease_state_is_current(130.2, 2.5));
  clock.on_renewed(130.3);
  EXPECT_TRUE(clock.is_unexpired(132, 2.5));
}

}  // namespace
}  // namespace rookdyke
