#include "daemon/scheduling_loop.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <thread>

#include "net/steady_clock.h"

namespace rookdyke {

namespace {

constexpr double kIdleIntervalS = 0.5;
constexpr double kMinRoundIntervalS = 0.06;  // applies also when events wake the loop
// The interval between rounds is at least the duration of the last round times this factor: under
// load, rounds become less frequent and each handles more.
constexpr double kRoundIntervalFactor = 12;
constexpr double kSummaryIntervalS = 10;

constexpr const char* kLostLeadership = "the scheduler has lost leadership";

}  // namespace

SchedulingLoop::SchedulingLoop(const Config& config, SharedState& shared)
    : config_(config), shared_(shared), limit_warnings_(config) {}

void SchedulingLoop::run() {
  while (!shared_.stopping()) {
    // Runs without the lock. A wakeup during this is not lost, because run_step() checks for work
    // only afterwards.
    if (machine_count_to_check_) limit_warnings_.check(*machine_count_to_check_);
    machine_count_to_check_.reset();
    if (const double remaining_s = last_round_at_ + kMinRoundIntervalS - steady_now();
        remaining_s > 0) {
      std::this_thread::sleep_for(std::chrono::duration<double>(remaining_s));
      continue;
    }
    auto state = shared_.lock();
    const double wait_s = run_step(*state);
    shared_.wait_for(state, shared_.wakeups().scheduling, wait_s);
  }
}

double SchedulingLoop::run_step(ControllerState& state) {
  if (state.may_decide(steady_now())) return run_leader_step(state);
  const Scheduler* scheduler = state.scheduler();
  if (state.role() == Role::unconfirmed && scheduler && scheduler->has_lost_leadership()) {
    state.step_down(Role::follower, kLostLeadership);
  } else if (state.is_unconfirmed_leader(steady_now())) {
    state.scheduler()->terminate_machines_with_cancelled_tasks(steady_now());
    shared_.wakeups().cloud.notify_all();
  }
  return kIdleIntervalS;
}

double SchedulingLoop::run_leader_step(ControllerState& state) {
  const double now = steady_now();
  if (state.scheduler()->has_lost_leadership()) {
    state.step_down(Role::follower, kLostLeadership);
    return kIdleIntervalS;
  }
  if (state.scheduler()->receives_no_heartbeats(now)) {
    // This controller is partitioned from the workers but not from the state service, so only a
    // peer controller can reach them. Missed heartbeats must not lead to the return of their
    // machines.
    state.step_down(Role::cooldown, "no heartbeats arrive from the workers");
    return kIdleIntervalS;
  }
  return run_round(state, now);
}

double SchedulingLoop::run_round(ControllerState& state, double now) {
  Scheduler& scheduler = *state.scheduler();
  scheduler.round(now);
  last_round_at_ = now;
  const double round_duration_s = steady_now() - now;
  Wakeups& wakeups = shared_.wakeups();
  wakeups.transactions.notify_all();
  wakeups.cloud.notify_all();
  wakeups.commands.notify_one();
  if (now >= next_summary_at_) {
    next_summary_at_ = now + kSummaryIntervalS;
    log_summary(scheduler, now);
  }
  return std::clamp(kRoundIntervalFactor * round_duration_s, config_.scheduler.tuning.round_s,
                    config_.scheduler.tuning.round_max_s);
}

void SchedulingLoop::log_summary(const Scheduler& scheduler, double now) {
  const Scheduler::Summary summary = scheduler.summary(now);
  spdlog::info(
      "jobs {}, tasks waiting {}, attempts {}; machines ready {}, booting {}, draining {}, "
      "timed out {}, target {}",
      summary.jobs, summary.waiting, summary.live, summary.ready, summary.booting, summary.draining,
      summary.missing_heartbeats, summary.target);
  machine_count_to_check_ = summary.ready + summary.booting + summary.draining;
}

}  // namespace rookdyke
