// Finished jobs stay finished: terminal states, and job rows that arrive late.

#include <gtest/gtest.h>

#include "model/states.h"
#include "scheduler/scheduler_guards_fixture.h"

namespace rookdyke {
namespace {

using namespace test;

TEST(States, TerminalStatesAreTerminal) {
  for (const JobState to : {JobState::open, JobState::closing, JobState::done})
    EXPECT_FALSE(is_transition_allowed(JobState::cancelled, to));
  for (const JobState to : {JobState::open, JobState::closing, JobState::cancelled})
    EXPECT_FALSE(is_transition_allowed(JobState::done, to));
  EXPECT_FALSE(is_transition_allowed(AttemptState::proposed, AttemptState::running));
  EXPECT_FALSE(is_transition_allowed(AttemptState::ended, AttemptState::running));
  EXPECT_FALSE(is_transition_allowed(MachineState::terminated, MachineState::ready));
  EXPECT_TRUE(is_transition_allowed(MachineState::draining, MachineState::ready));
}

// An older version of a job's row that arrives after the job has finished must not reopen it.
TEST(Scheduler, AFinishedJobStaysFinished) {
  Scheduler scheduler = one_zone_scheduler();
  const CachedJob row = one_task_job(3);
  scheduler.on_job_row(row, "wk-000001", 1);
  ASSERT_TRUE(scheduler.find_job("wk-000001"));
  CachedJob finished = row;
  finished.version = 5;
  finished.row.status = ledger::JobStatus::cancelled;
  scheduler.on_job_row(finished, "wk-000001", 2);
  EXPECT_FALSE(scheduler.find_job("wk-000001"));
  scheduler.on_job_row(row, "wk-000001", 3);
  EXPECT_FALSE(scheduler.find_job("wk-000001"));
}

// A late copy of the row of a done job, from when the job was open. If it reopened the job, all
// tasks would run again.
TEST_F(SchedulerGuards, ADoneJobIsNotReopened) {
  scheduler.on_heartbeat(heartbeat(1, 1), 1);
  submit("wk-000001", 1);
  start_all(1);
  scheduler.on_heartbeat(heartbeat(1, 2), 2);
  scheduler.on_heartbeat(heartbeat(1, 3, {task("wk-000001", TaskPhase::exited, ExitCause::done)}),
                         3);
  start_all(4);
  ASSERT_FALSE(scheduler.find_job("wk-000001"));
  scheduler.on_job_row(job_row(1, revision + 1), "wk-000001", 5);
  EXPECT_FALSE(scheduler.find_job("wk-000001"));
}

}  // namespace
}  // namespace rookdyke
