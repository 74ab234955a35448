#pragma once
// Fixture for tests of the scheduler's guards against messages that arrive late, twice or not at
// all. The tests construct each message themselves.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/scheduler.h"
#include "scheduler/scheduler_fixtures.h"

namespace rookdyke::test {

// Revision of the ledger at the start of a test.
inline constexpr uint64_t kFirstRevision = 100;

// A leader and hand-written heartbeats of m-1. Four tasks fill a machine.
class SchedulerGuards : public testing::Test {
 protected:
  SchedulerGuards() : scheduler(bare_settings(), {bare_type()}, kLeaderToken, 0) {}

  static CachedJob job_row(uint32_t tasks, uint64_t version) {
    return bare_job(tasks, {4, 1, 4}, version);
  }
  void submit(const std::string& id, double now, uint32_t tasks = 1) {
    scheduler.on_job_row(job_row(tasks, ++revision), id, now);
  }
  static Heartbeat heartbeat(uint64_t epoch, uint64_t seq, std::vector<TaskStatus> tasks = {}) {
    Heartbeat message = bare_heartbeat(1, seq, kLeaderToken);
    message.epoch = epoch;
    message.tasks = std::move(tasks);
    return message;
  }
  static TaskStatus task(const std::string& job, TaskPhase phase,
                         ExitCause cause = ExitCause::none) {
    return {job, 0, 1, phase, cause, false};
  }
  // The next write of a page. Other writes before it are applied.
  std::optional<PendingTransaction> next_page_write(double now) {
    while (auto p = scheduler.next_transaction(now)) {
      if (p->transaction.changes.at(0).key.rfind(ledger::kPagePrefix, 0) == 0) return p;
      apply(*p, now);
    }
    return std::nullopt;
  }
  void apply(const PendingTransaction& p, double now) {
    scheduler.on_result(p.id, {ledger::Outcome::applied, ++revision, {}}, now);
  }
  // Runs a scheduling round and makes the proposed starts durable.
  void start_all(double now) {
    scheduler.round(now);
    while (auto p = scheduler.next_transaction(now)) apply(*p, now);
  }
  // The live attempts in the page that `p` writes.
  static std::vector<ledger::LiveAttempt> live_attempts(const PendingTransaction& p) {
    std::vector<ledger::LiveAttempt> attempts;
    const auto page = ledger::decode_page(p.transaction.changes.at(0).value);
    EXPECT_TRUE(page);
    if (page)
      for (const auto& entry : page->entries)
        attempts.insert(attempts.end(), entry.chunk.live.begin(), entry.chunk.live.end());
    return attempts;
  }
  static size_t count_starts(const std::vector<WorkerCommand>& commands) {
    return static_cast<size_t>(std::count_if(
        commands.begin(), commands.end(),
        [](const WorkerCommand& command) { return command.kind == CommandKind::start; }));
  }
  size_t direct_starts(double now) {
    const auto call = scheduler.next_direct_command(now);
    return call ? count_starts(call->commands) : 0;
  }
  const Machine& m1() const { return *scheduler.machines().at(0); }
  AttemptState state_of_task(const std::string& job) const {
    const Job* j = scheduler.find_job(job);
    return j && j->attempts.count(0) ? j->attempts.at(0).state : AttemptState::ended;
  }
  // Runs one task of each of two jobs on m-1. heartbeat_of_two_failures() then reports that both
  // failed, for which m-1 is cordoned.
  void run_two_jobs() {
    scheduler.on_heartbeat(heartbeat(1, 1), 1);
    submit("wk-000001", 1);
    submit("wk-000002", 1);
    start_all(1);
    scheduler.on_heartbeat(heartbeat(1, 2), 2);
    scheduler.on_heartbeat(
        heartbeat(1, 3,
                  {task("wk-000001", TaskPhase::running), task("wk-000002", TaskPhase::running)}),
        3);
  }
  static Heartbeat heartbeat_of_two_failures(uint64_t seq) {
    return heartbeat(1, seq,
                     {task("wk-000001", TaskPhase::exited, ExitCause::error),
                      task("wk-000002", TaskPhase::exited, ExitCause::error)});
  }

  Scheduler scheduler;
  uint64_t revision = kFirstRevision;
};

}  // namespace rookdyke::test
