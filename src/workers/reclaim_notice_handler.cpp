#include "workers/reclaim_notice_handler.h"

#include <spdlog/spdlog.h>

#include "scheduler/machine_table.h"

namespace rookdyke {

void ReclaimNoticeHandler::on_reclaim_notice(Machine& machine, double notice_s, double now) {
  if (machine.reclaim_at < 0) {
    spdlog::info("machine {} will be reclaimed in {:.1f} s, {} tasks on it", machine.name, notice_s,
                 machine.tasks.size());
    machine.cordoned = true;
    MachineTable::drain(machine, now, "reclaim notice");
  }
  machine.reclaim_at = now + notice_s;
  for (const auto& [job_index, task] : machine.tasks) {
    Job& job = jobs_[job_index];
    Attempt& attempt = job.attempts.at(task);
    if (job.is_service())
      replicas_.on_reclaim_notice(job, attempt, notice_s);
    else
      stop_task(job, attempt, notice_s);
  }
}

void ReclaimNoticeHandler::stop_task(Job& job, Attempt& attempt, double notice_s) {
  const bool is_running = attempt.state == AttemptState::running;
  if (is_running && job.spec.checkpoint_interval_s > 0) {
    const double grace_s = job.spec.checkpoint_duration_s + kCheckpointGraceMarginS;
    if (grace_s < notice_s) lifecycle_.stop_with_gang(job, attempt, grace_s);
    return;
  }
  // A running task without checkpoints may still finish in time; stopping it would lose its work.
  if (is_running || attempt.state == AttemptState::checkpointing) return;
  lifecycle_.stop(job, attempt, 0);  // it has no progress to lose and can start elsewhere
}

}  // namespace rookdyke
