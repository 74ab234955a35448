// Cancellations: when users may hear of them, and when cancelled work leaves its machines, whoever
// leads.

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

// The time to cancel runs from the cancellation, whoever leads: a machine that has not sent a
// heartbeat to a new leader is returned once it had time to, unless what the ledger says of it is
// long past.
TEST(Scheduler, TheCancellationDeadlineDoesNotRestartWithALeader) {
  constexpr double kDayOffset = 1000, kNow = 100;
  Settings settings = bare_settings();
  settings.cancel_s = 60;
  const auto returned_at = [&](double cancelled_at, double when) {
    Scheduler scheduler(settings, {bare_type()}, 7, kNow);
    scheduler.set_time_of_day_offset(kDayOffset);
    scheduler.load(
        ledger_with_a_task_on_m1(ledger::JobStatus::cancelled, kDayOffset + cancelled_at), kNow);
    scheduler.terminate_machines_with_cancelled_tasks(when);
    return scheduler.next_return(when, true);
  };
  const std::vector<std::string> m1 = {"m-1"}, none;
  EXPECT_EQ(returned_at(60, 109), m1);
  EXPECT_EQ(returned_at(60, 105), none);  // its heartbeat may still come
  EXPECT_EQ(returned_at(95, 109), none);
  EXPECT_EQ(returned_at(-100, 109), none);
}

// Without a confirmed lease, only machines that keep cancelled work are returned, whatever else is
// terminating.
TEST(Scheduler, AnUnconfirmedLeaderReturnsOnlyMachinesWithCancelledWork) {
  Scheduler scheduler(bare_settings(), {bare_type()}, 7, 0);
  scheduler.load(ledger_with_a_task_on_m1(ledger::JobStatus::open, 1), 0);
  scheduler.on_machine_list({{"m-1", "h:1", "box", "a", false, ListedMachine::State::failed, 10}},
                            0, 1);
  EXPECT_EQ(state_of(scheduler, 1), MachineState::terminating);
  EXPECT_TRUE(scheduler.next_return(2, true).empty());
  EXPECT_EQ(scheduler.next_return(2).size(), 1u);
}

// A leader that may not have heard of the latest cancellations commands no start, nor stops
// anything.
TEST(Scheduler, NoStartIsCommandedWithoutProof) {
  Scheduler scheduler(bare_settings(), {bare_type()}, 7, 0);
  scheduler.load(ledger_with_a_task_on_m1(ledger::JobStatus::open, 1), 0);
  scheduler.allow_starts(false);
  EXPECT_TRUE(scheduler.on_heartbeat(bare_heartbeat(1, 1, 7), 1).commands.empty());
  scheduler.allow_starts(true);
  const auto commands = scheduler.on_heartbeat(bare_heartbeat(1, 2, 7), 2).commands;
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].kind, CommandKind::start);
}

// A user hears of a cancellation only once a leader is known to know it.
TEST(KnownCancellations, OnlyWhatALeaderReadOrAcknowledged) {
  KnownCancellations known;
  EXPECT_FALSE(known.contains("wk-000001", 12));
  known.read_to(11);
  EXPECT_FALSE(known.contains("wk-000001", 12));
  known.acknowledge("wk-000001", 12);
  EXPECT_TRUE(known.contains("wk-000001", 12));
  EXPECT_FALSE(known.contains("wk-000002", 12));
  EXPECT_FALSE(known.contains("wk-000001", 13));  // another row than the one that was acknowledged
  known.read_to(20);
  EXPECT_TRUE(known.contains("wk-000002", 20));
  EXPECT_FALSE(known.contains("wk-000002", 21));
  known.read_to(5);  // arrives late
  EXPECT_TRUE(known.contains("wk-000002", 20));
}

TEST(CancellationStaleness, AllPeersTogetherProveAsTheLedgerDoes) {
  CancellationStaleness h({"n1", "n2"});
  constexpr uint64_t kOurs = 7;
  const auto answer = [&](const char* who, const char* process, uint64_t fencing_token,
                          double sent) {
    h.on_peer_response(who, process, fencing_token, kOurs, sent, sent + 0.1);
  };
  answer("n1", "a", 7, 8);
  answer("n2", "b", 7, 8);
  h.advance_to(10);
  EXPECT_EQ(h.known_until(), 10);
  answer("n1", "a", 7, 20);
  EXPECT_EQ(h.known_until(), 10);  // the other may have confirmed one to a user meanwhile
  answer("n2", "b", 3, 21);
  EXPECT_EQ(h.known_until(), 20);  // an older token than ours is no harm
  answer("n1", "a", 8, 30);
  answer("n2", "b", 7, 30);
  EXPECT_EQ(h.known_until(), 20);  // one knows of a newer leader
}

TEST(CancellationStaleness, ARestartedPeerProvesNothingOfItsPredecessor) {
  CancellationStaleness h({"n1", "n2"});
  constexpr uint64_t kOurs = 7;
  h.on_peer_response("n1", "a", 7, kOurs, 8, 8.1);
  h.on_peer_response("n2", "b", 7, kOurs, 8, 8.1);
  h.advance_to(10);
  h.on_peer_response("n1", "a", 7, kOurs, 12, 12.1);
  h.on_peer_response("n2", "b2", 7, kOurs, 12, 12.1);  // what b confirmed after 8 is unknown
  EXPECT_EQ(h.known_until(), 10);
  h.on_peer_response("n1", "a", 7, kOurs, 20, 20.1);
  h.on_peer_response("n2", "b2", 7, kOurs, 20, 20.1);
  EXPECT_EQ(h.known_until(), 10);
  h.advance_to(25);  // the ledger answered: all before that is known
  h.on_peer_response("n1", "a", 7, kOurs, 30, 30.1);
  h.on_peer_response("n2", "b2", 7, kOurs, 31, 31.1);
  EXPECT_EQ(h.known_until(), 30);
  h.on_peer_response("n1", "", 7, kOurs, 40, 40.1);  // names no process
  h.on_peer_response("n2", "b2", 7, kOurs, 40, 40.1);
  EXPECT_EQ(h.known_until(), 30);
}

// Nobody else confirms cancellations there, so an outage of any length costs no work.
TEST(CancellationStaleness, TheOnlyControllersProofIsNeverOutOfDate) {
  const CancellationStaleness only = CancellationStaleness::of_only_controller();
  EXPECT_LT(1e6 - only.known_until(), staleness_bound(38, 18));
  const CancellationStaleness unheard({"n1"});
  EXPECT_GT(1e6 - unheard.known_until(), staleness_bound(38, 18));
}

TEST(CancellationStaleness, LeasesEndWithinTheTimeToCancel) {
  for (const auto& [cancel, lease] : {std::pair{38.0, 18.0}, {46.5, 26.5}, {59.0, 29.0}})
    EXPECT_LT(staleness_bound(cancel, lease) + lease * 1.0005, cancel * 0.9995);
  EXPECT_GT(staleness_bound(20, 20), 0);
}

}  // namespace
}  // namespace rookdyke
