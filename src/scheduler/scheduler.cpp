#include "scheduler/scheduler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace rookdyke {

namespace {
// A job whose row moved under us is heard of within a watch; after this something is wrong.
constexpr double kStaleFor = 10;
}  // namespace

Scheduler::Scheduler(Settings settings, std::vector<MachineType> types, uint64_t fencing_token,
                     double now)
    : settings_(std::move(settings)),
      catalog_(settings_, std::move(types)),
      claim_(fencing_token),
      started_(now),
      rented_list_(settings_.lasting_value_bytes()),
      machines_(rented_list_),
      team_usage_(settings_, catalog_),
      pages_(settings_),
      lifecycle_(jobs_, machines_, team_usage_, pages_, pending_commands_),
      loader_(settings_, catalog_, jobs_, pages_, lifecycle_, claim_),
      eligibility_(settings_, catalog_, machines_),
      replicas_(settings_, eligibility_, jobs_, machines_, lifecycle_),
      boot_tracker_(settings_, catalog_, machines_, now),
      faults_(machines_),
      placement_(settings_, catalog_, jobs_, machines_, team_usage_, lifecycle_, eligibility_,
                 work_) {
  for (const MachineType& t : catalog_.types) {
    const double ahead =
        settings_.tuning.boot_window_s > 0 ? settings_.tuning.boot_window_s : t.boot_s;
    type_state_.push_back({Forecast(settings_.tuning, ahead), 0, {}, {}, {}, -1, {}});
  }
  next_sample_ = now;
}

const Job* Scheduler::find_job(const std::string& id) const { return jobs_.find(id); }

void Scheduler::load(const LedgerCache& ledger, double now) {
  load_fleet(ledger, now);
  loader_.load(ledger, now);
  size_t live = 0;
  for (const auto& job : jobs_)
    if (job) live += job->attempts.size();
  spdlog::info("taken over: {} jobs, {} attempts, {} machines known", jobs_.count(), live,
               machines_.size());
}

void Scheduler::on_job_row(const CachedJob& row, const std::string& id, double now) {
  if (loader_.on_job_row(row, id, now)) needs_round_ = true;
}

void Scheduler::round(double now) {
  if (claim_.is_lost()) return;
  needs_round_ = false;
  ++work_.rounds;
  check_machines(now);
  if (now >= next_sample_) {
    sample_demand(now);
    next_sample_ = std::max(next_sample_ + settings_.tuning.sample_s, now);
  }
  for (const auto& job : jobs_)
    if (job && job->is_stale() && now - job->stale_since > kStaleFor) {
      // Known to the end: a row that contradicts us and that no watch brings is read from scratch.
      claim_.lose("the row of job " + job->spec.id + " is not as we know it");
      return;
    }
  placement_.place(now, backlog());
  plan_fleet(now);
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
    if (m->registered && now - m->last_heartbeat > silence_limit()) ++s.silent;
  }
  for (const TypeState& t : type_state_) s.target += t.target;
  return s;
}

}  // namespace rookdyke
