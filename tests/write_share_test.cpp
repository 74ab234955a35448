#include "net/write_share.h"

#include <gtest/gtest.h>

#include <cmath>
#include <string>
#include <vector>

namespace rookdyke::net {
namespace {

constexpr double kRate = 20;  // changes a second, all replicas together
constexpr double kLeast = 0.1;

WriteShare replica(const std::string& label) {
  std::vector<std::string> peers;
  for (const char* other : {"a", "b", "c"})
    if (label != other) peers.emplace_back(other);
  return {label, peers, 3, kRate};
}

TEST(WriteShare, AReplicaAloneHasAlmostAll) {
  EXPECT_DOUBLE_EQ(WriteShare("a", {}, 1, kRate).share("a", 10), 0.95);
  EXPECT_DOUBLE_EQ(WriteShare("a", {}, 1, kRate).share("", 10), 0.95);
}

TEST(WriteShare, WithoutDemandFollowersHaveALittleAndTheLeaderTheRest) {
  EXPECT_DOUBLE_EQ(replica("a").share("a", 10), 0.95 - 2 * kLeast);
  EXPECT_DOUBLE_EQ(replica("b").share("a", 10), kLeast);
  EXPECT_DOUBLE_EQ(replica("b").share("", 10), kLeast);  // nobody is known to lead
}

TEST(WriteShare, AFollowerHasItsDemandAndHalfAsMuchAgain) {
  WriteShare b = replica("b");
  b.record_own(4, 0, 10);
  b.record_own(4, 0, 11);
  EXPECT_DOUBLE_EQ(b.own_demand(), 4);
  EXPECT_DOUBLE_EQ(b.share("a", 11), 1.5 * 4 / kRate + kLeast);
  WriteShare a = replica("a");
  a.record_peer("b", 4, 11);
  EXPECT_DOUBLE_EQ(a.share("a", 11), 0.95 - (1.5 * 4 / kRate + 2 * kLeast));
}

TEST(WriteShare, AllSharesTogetherKeepTheLimitWhateverIsAskedFor) {
  for (const double demand : {0.0, 3.0, 30.0, 1e5})
    for (const double backlog : {0.0, 2.0, 500.0}) {
      WriteShare a = replica("a"), b = replica("b"), c = replica("c");
      for (const double now : {10.0, 11.0}) {
        a.record_own(0, backlog, now);
        b.record_own(demand, 0, now);
        c.record_own(demand / 2, 0, now);
      }
      for (WriteShare* to : {&a, &b, &c}) {
        to->record_peer("a", a.own_demand(), 11);
        to->record_peer("b", b.own_demand(), 11);
        to->record_peer("c", c.own_demand(), 11);
      }
      const double all = a.share("a", 11) + b.share("a", 11) + c.share("a", 11);
      EXPECT_NEAR(all, 0.95, 1e-9) << demand << " " << backlog;
      // A leader with much to write keeps more.
      EXPECT_GE(a.share("a", 11), (backlog > 0.25 * kRate ? 0.35 : 0.1) - 1e-9);
    }
}

TEST(WriteShare, DemandRisesAtOnceAndFallsSlowly) {
  WriteShare a = replica("a");
  a.record_own(0, 0, 10);
  a.record_own(10, 0, 11);
  EXPECT_DOUBLE_EQ(a.own_demand(), 10);
  a.record_own(0, 0, 12);
  EXPECT_DOUBLE_EQ(a.own_demand(), 7);
  a.record_own(0, 50, 13);  // what a leader has not asked for yet counts whole
  EXPECT_DOUBLE_EQ(a.own_demand(), 50);
  // Two calls close together make no rate out of a single change.
  WriteShare b = replica("b");
  b.record_own(0, 0, 10);
  b.record_own(1, 0, 10.001);
  EXPECT_DOUBLE_EQ(b.own_demand(), 5);
}

TEST(WriteShare, APeerThatWasNotHeardOfLatelyCountsNothing) {
  WriteShare a = replica("a");
  EXPECT_EQ(a.reachable_peers(10), 0);
  a.record_peer("b", 4, 10);
  EXPECT_EQ(a.reachable_peers(12.9), 1);
  EXPECT_EQ(a.reachable_peers(13), 0);
  EXPECT_LT(a.share("a", 15.9), 0.95 - 2 * kLeast);
  EXPECT_DOUBLE_EQ(a.share("a", 16), 0.95 - 2 * kLeast);
  a.record_peer("b", 4, 20);
  a.record_peer("c", 0, 20);
  EXPECT_EQ(a.reachable_peers(20), 2);
}

TEST(WriteShare, WhatCannotBeSoIsNotBelieved) {
  WriteShare a = replica("a"), b = replica("b");
  a.record_peer("stranger", 1e9, 10);
  EXPECT_EQ(a.reachable_peers(10), 0);
  EXPECT_DOUBLE_EQ(a.share("a", 10), 0.95 - 2 * kLeast);
  a.record_peer("b", -5, 10);
  EXPECT_DOUBLE_EQ(a.share("a", 10), 0.95 - 2 * kLeast);
  a.record_peer("b", 1e300, 10);
  EXPECT_NEAR(a.share("a", 10), 0.95 - 0.85, 1e-9);
  // A limit of nothing divides by nothing.
  WriteShare none("a", {"b"}, 2, 0);
  none.record_own(1, 0, 10);
  EXPECT_TRUE(std::isfinite(none.share("a", 10)));
  EXPECT_TRUE(std::isfinite(none.share("b", 10)));
}

}  // namespace
}  // namespace rookdyke::net
