#pragma once
// What tests of the scheduler's guards share: messages that arrive late, twice or not at all, each
// written by hand.

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

inline constexpr uint64_t kFirstRevision = 100;  // revisions of what is written in these tests

// A leader, and heartbeats of m-1 written by hand; four tasks fill a machine.
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
    Heartbeat r = bare_heartbeat(1, seq, kLeaderToken);
    r.epoch = epoch;
    r.tasks = std::move(tasks);
    return r;
  }
  static TaskStatus task(const std::string& job, TaskPhase seen,
                         ExitCause cause = ExitCause::none) {
    return {job, 0, 1, seen, cause, false};
  }
  // The next write of a page; what else is to be written is written.
  std::optional<PendingTransaction> page_write(double now) {
    while (auto p = scheduler.next_transaction(now)) {
      if (p->transaction.changes.at(0).key.rfind(ledger::kPagePrefix, 0) == 0) return p;
      apply(*p, now);
    }
    return std::nullopt;
  }
  void apply(const PendingTransaction& p, double now) {
    scheduler.on_result(p.id, {ledger::Outcome::applied, ++revision, {}}, now);
  }
  // Places what waits, and makes it durable.
  void start_all(double now) {
    scheduler.round(now);
    while (auto p = scheduler.next_transaction(now)) apply(*p, now);
  }
  // The starts that a write makes durable.
  static std::vector<ledger::LiveAttempt> live_in(const PendingTransaction& p) {
    std::vector<ledger::LiveAttempt> out;
    const auto page = ledger::decode_page(p.transaction.changes.at(0).value);
    EXPECT_TRUE(page);
    if (page)
      for (const auto& e : page->entries)
        out.insert(out.end(), e.chunk.live.begin(), e.chunk.live.end());
    return out;
  }
  static size_t count_starts(const std::vector<WorkerCommand>& commands) {
    return static_cast<size_t>(
        std::count_if(commands.begin(), commands.end(),
                      [](const WorkerCommand& o) { return o.kind == CommandKind::start; }));
  }
  size_t direct_starts(double now) {
    const auto d = scheduler.next_direct_command(now);
    return d ? count_starts(d->commands) : 0;
  }
  const Machine& m1() const { return *scheduler.machines().at(0); }
  AttemptState state_of_task(const std::string& job) const {
    const Job* j = scheduler.find_job(job);
    return j && j->attempts.count(0) ? j->attempts.at(0).state : AttemptState::ended;
  }
  // m-1 runs a task of each of two jobs, which then fail: a machine that fails like that takes no
  // work any more.
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
