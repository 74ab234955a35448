// Cancellations: when they may be confirmed to users, and that tasks of cancelled jobs are stopped
// in time across changes of leader.

#include "leadership/cancellations.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "scheduler/scheduler.h"
#include "scheduler/scheduler_fixtures.h"

namespace rookdyke {
namespace {

using namespace test;

// The cancellation timeout counts from the cancellation, also after a failover. A new leader
// returns a machine with cancelled tasks that has sent it no heartbeat, but only after the takeover
// grace period, and not if the job was cancelled so long ago that the ledger's record is outdated.
TEST(Scheduler, TheCancellationDeadlineDoesNotRestartWithALeader) {
  constexpr double kTimeOfDayOffset = 1000, kNow = 100;
  Settings settings = bare_settings();
  settings.cancel_s = 60;
  const auto returned_at = [&](double cancelled_at, double checked_at) {
    Scheduler scheduler(settings, {bare_type()}, 7, kNow);
    scheduler.set_time_of_day_offset(kTimeOfDayOffset);
    scheduler.load(
        ledger_with_task_on_m1(ledger::JobStatus::cancelled, kTimeOfDayOffset + cancelled_at),
        kNow);
    scheduler.terminate_machines_with_cancelled_tasks(checked_at);
    return scheduler.next_return(checked_at, true);
  };
  const std::vector<std::string> m1 = {"m-1"}, none;
  EXPECT_EQ(returned_at(60, 109), m1);
  EXPECT_EQ(returned_at(60, 105), none);  // within the takeover grace period
  EXPECT_EQ(returned_at(95, 109), none);
  EXPECT_EQ(returned_at(-100, 109), none);
}

// Without a confirmed lease, a leader returns only machines with tasks of cancelled jobs, although
// other machines are terminating as well.
TEST(Scheduler, AnUnconfirmedLeaderReturnsOnlyMachinesWithCancelledWork) {
  Scheduler scheduler(bare_settings(), {bare_type()}, 7, 0);
  scheduler.load(ledger_with_task_on_m1(ledger::JobStatus::open, 1), 0);
  scheduler.on_machine_list({{"m-1", "h:1", "box", "a", false, ListedMachine::State::failed, 10}},
                            0, 1);
  EXPECT_EQ(state_of(scheduler, 1), MachineState::terminating);
  EXPECT_TRUE(scheduler.next_return(2, true).empty());
  EXPECT_EQ(scheduler.next_return(2).size(), 1u);
}

// A leader that may not know the latest cancellations sends neither start nor stop commands.
TEST(Scheduler, NoStartIsCommandedWhileCancellationsMayBeUnknown) {
  Scheduler scheduler(bare_settings(), {bare_type()}, 7, 0);
  scheduler.load(ledger_with_task_on_m1(ledger::JobStatus::open, 1), 0);
  scheduler.allow_starts(false);
  EXPECT_TRUE(scheduler.on_heartbeat(bare_heartbeat(1, 1, 7), 1).commands.empty());
  scheduler.allow_starts(true);
  const auto commands = scheduler.on_heartbeat(bare_heartbeat(1, 2, 7), 2).commands;
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].kind, CommandKind::start);
}

// A cancellation is confirmed to a user only if the acting leader is certain to know it.
TEST(KnownCancellations, ContainsOnlyWhatALeaderReadOrAcknowledged) {
  KnownCancellations known;
  EXPECT_FALSE(known.contains("wk-000001", 12));
  known.on_leader_read(11);
  EXPECT_FALSE(known.contains("wk-000001", 12));
  known.acknowledge("wk-000001", 12);
  EXPECT_TRUE(known.contains("wk-000001", 12));
  EXPECT_FALSE(known.contains("wk-000002", 12));
  EXPECT_FALSE(known.contains("wk-000001", 13));  // not the version that was acknowledged
  known.on_leader_read(20);
  EXPECT_TRUE(known.contains("wk-000002", 20));
  EXPECT_FALSE(known.contains("wk-000002", 21));
  known.on_leader_read(5);  // a delayed message must not lower the revision
  EXPECT_TRUE(known.contains("wk-000002", 20));
}

TEST(CancellationStaleness, ResponsesOfAllPeersAdvanceTheKnownTime) {
  CancellationStaleness staleness({"n1", "n2"});
  constexpr uint64_t kOwnToken = 7;
  const auto respond = [&](const char* peer, const char* incarnation, uint64_t fencing_token,
                           double sent) {
    staleness.on_peer_response(peer, incarnation, fencing_token, kOwnToken, sent, sent + 0.1);
  };
  respond("n1", "a", 7, 8);
  respond("n2", "b", 7, 8);
  staleness.advance_to(10);
  EXPECT_EQ(staleness.known_until(), 10);
  respond("n1", "a", 7, 20);
  EXPECT_EQ(staleness.known_until(), 10);  // n2 may have confirmed a cancellation since
  respond("n2", "b", 3, 21);
  EXPECT_EQ(staleness.known_until(), 20);  // a lower token than kOwnToken is allowed
  respond("n1", "a", 8, 30);
  respond("n2", "b", 7, 30);
  EXPECT_EQ(staleness.known_until(), 20);  // n1 knows a newer leader
}

TEST(CancellationStaleness, ARestartedPeerDoesNotVouchForItsPreviousProcess) {
  CancellationStaleness staleness({"n1", "n2"});
  constexpr uint64_t kOwnToken = 7;
  staleness.on_peer_response("n1", "a", 7, kOwnToken, 8, 8.1);
  staleness.on_peer_response("n2", "b", 7, kOwnToken, 8, 8.1);
  staleness.advance_to(10);
  staleness.on_peer_response("n1", "a", 7, kOwnToken, 12, 12.1);
  // What process b confirmed after 8 is unknown.
  staleness.on_peer_response("n2", "b2", 7, kOwnToken, 12, 12.1);
  EXPECT_EQ(staleness.known_until(), 10);
  staleness.on_peer_response("n1", "a", 7, kOwnToken, 20, 20.1);
  staleness.on_peer_response("n2", "b2", 7, kOwnToken, 20, 20.1);
  EXPECT_EQ(staleness.known_until(), 10);
  staleness.advance_to(25);  // the leader read the ledger: every earlier cancellation is known
  staleness.on_peer_response("n1", "a", 7, kOwnToken, 30, 30.1);
  staleness.on_peer_response("n2", "b2", 7, kOwnToken, 31, 31.1);
  EXPECT_EQ(staleness.known_until(), 30);
  staleness.on_peer_response("n1", "", 7, kOwnToken, 40, 40.1);  // without an incarnation
  staleness.on_peer_response("n2", "b2", 7, kOwnToken, 40, 40.1);
  EXPECT_EQ(staleness.known_until(), 30);
}

// No other controller confirms cancellations, so a single controller keeps its tasks running
// through an outage of the state service of any length.
TEST(CancellationStaleness, TheOnlyControllerIsNeverStale) {
  const CancellationStaleness only_controller = CancellationStaleness::of_only_controller();
  EXPECT_LT(1e6 - only_controller.known_until(), staleness_bound(38, 18));
  const CancellationStaleness no_responses({"n1"});
  EXPECT_GT(1e6 - no_responses.known_until(), staleness_bound(38, 18));
}

TEST(CancellationStaleness, WorkerLeasesEndWithinTheCancellationTime) {
  for (const auto& [cancel, lease] : {std::pair{38.0, 18.0}, {46.5, 26.5}, {59.0, 29.0}})
    EXPECT_LT(staleness_bound(cancel, lease) + lease * 1.0005, cancel * 0.9995);
  EXPECT_GT(staleness_bound(20, 20), 0);
}

}  // namespace
}  // namespace rookdyke
