#include "scheduler/scheduler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace rookdyke {

namespace {
// If the watch does not deliver a changed job row within this time, this leader steps down.
// Normally the watch takes much less time.
constexpr double kStaleJobTimeoutS = 10;
}  // namespace

Scheduler::Scheduler(Settings settings, std::vector<MachineType> types, uint64_t fencing_token,
                     double now)
    : settings_(std::move(settings)),
      catalog_(settings_, std::move(types)),
      claim_(fencing_token),
      rented_list_(settings_.min_value_bytes()),
      machines_(rented_list_),
      team_usage_(settings_, catalog_),
      pages_(settings_),
      lifecycle_(jobs_, machines_, team_usage_, pages_, pending_commands_),
      loader_(settings_, catalog_, jobs_, pages_, lifecycle_, claim_),
      ledger_writer_(settings_, catalog_, jobs_, machines_, pages_, rented_list_, lifecycle_,
                     claim_),
      eligibility_(settings_, catalog_, machines_),
      replicas_(settings_, eligibility_, jobs_, machines_, lifecycle_),
      boot_tracker_(settings_, catalog_, machines_, now),
      faults_(machines_),
      images_(catalog_, machines_),
      reconciler_(claim_, jobs_, lifecycle_, faults_, images_, start_permission_),
      reclaim_notices_(jobs_, lifecycle_, replicas_),
      heartbeats_(settings_, catalog_, claim_, machines_, jobs_, lifecycle_, boot_tracker_,
                  reclaim_notices_, reconciler_),
      direct_commands_(settings_, claim_, jobs_, machines_, pending_commands_, start_permission_,
                       heartbeats_, reconciler_, now),
      monitor_(settings_, catalog_, jobs_, machines_, boot_tracker_, replicas_, lifecycle_, now),
      demand_(settings_, catalog_, jobs_, machines_, now),
      cloud_requests_(settings_, catalog_, claim_, jobs_, machines_, lifecycle_, monitor_),
      fleet_planner_(settings_, catalog_, demand_, monitor_, machines_, replicas_, cloud_requests_),
      placement_(settings_, catalog_, jobs_, machines_, team_usage_, lifecycle_, eligibility_,
                 work_) {}

const Job* Scheduler::find_job(const std::string& id) const { return jobs_.find(id); }

void Scheduler::load(const LedgerCache& ledger, double now) {
  ledger_writer_.load_rented_list(ledger, now);
  loader_.load(ledger, now);
  ledger_writer_.load_unlisted_machines(ledger);
  size_t live = 0;
  for (const auto& job : jobs_)
    if (job) live += job->attempts.size();
  const auto in_unknown_zone = std::count_if(
      machines_.begin(), machines_.end(),
      [](const auto& machine) { return machine->zone == kNone && !machine->tasks.empty(); });
  spdlog::info(
      "takeover: loaded {} jobs, {} attempts, {} machines; {} machines with attempts are in an "
      "unknown zone",
      jobs_.count(), live, machines_.size(), in_unknown_zone);
}

void Scheduler::on_job_row(const CachedJob& row, const std::string& id, double now) {
  if (loader_.on_job_row(row, id, now)) needs_round_ = true;
}

void Scheduler::on_result(uint64_t id, const ledger::Result& result, double now) {
  if (ledger_writer_.on_result(id, result, now)) needs_round_ = true;
}

size_t Scheduler::backlog() const {
  size_t n = pending_writes();
  for (const auto& job : jobs_)
    if (job) n += std::min<size_t>(job->waiting.size(), 64);
  return n;
}

HeartbeatReply Scheduler::on_heartbeat(const Heartbeat& heartbeat, double now) {
  HeartbeatOutcome outcome = heartbeats_.on_heartbeat(heartbeat, now);
  if (outcome.needs_round) needs_round_ = true;
  return std::move(outcome.reply);
}

void Scheduler::on_direct_command_result(const DirectCommand& command, bool outcome_known,
                                         const std::optional<Heartbeat>& heartbeat, double now) {
  if (direct_commands_.on_result(command, outcome_known, heartbeat, now)) needs_round_ = true;
}

void Scheduler::round(double now) {
  if (claim_.is_lost()) return;
  needs_round_ = false;
  ++work_.rounds;
  monitor_.check_machines(now);
  demand_.sample_if_due(now);
  for (const auto& job : jobs_)
    if (job && job->is_stale() && now - job->stale_since > kStaleJobTimeoutS) {
      // The watch did not deliver the changed row. The next leader reads the whole ledger.
      claim_.lose("the row of job " + job->spec.id + " changed, and the watch did not deliver it");
      return;
    }
  placement_.place(now, backlog());
  fleet_planner_.plan(now);
}

Scheduler::Summary Scheduler::summary(double now) const {
  Summary s;
  for (const auto& job : jobs_) {
    if (!job) continue;
    ++s.jobs;
    s.waiting += job->waiting.size();
    s.live += job->attempts.size();
  }
  for (const auto& m : machines_) {
    if (m->state == MachineState::terminated) continue;
    if (m->state == MachineState::ready) ++s.ready;
    if (m->state == MachineState::booting) ++s.booting;
    if (m->state == MachineState::draining) ++s.draining;
    if (monitor_.has_timed_out(*m, now)) ++s.missing_heartbeats;
  }
  s.target = demand_.total_target();
  return s;
}

}  // namespace rookdyke
