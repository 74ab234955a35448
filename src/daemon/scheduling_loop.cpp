#include "daemon/scheduling_loop.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <thread>

#include "net/steady_clock.h"

namespace rookdyke {

namespace {

constexpr double kIdleIntervalS = 0.5;
constexpr double kShortestRoundIntervalS = 0.06;  // rounds follow events no sooner than this
// Under load rounds come less often and each does more at once: a round takes one part in this
// many of the time.
constexpr double kRoundIntervalFactor = 12;
constexpr double kSummaryIntervalS = 10;

constexpr const char* kLostLeadership = "the scheduler lost the leader key";

}  // namespace

SchedulingLoop::SchedulingLoop(const Config& config, SharedState& shared)
    : config_(config), shared_(shared), limit_warnings_(config) {}

void SchedulingLoop::run() {
  while (!shared_.stopping()) {
    // No wakeup meanwhile is lost: what there is to do is looked at only after it.
    if (machines_to_check_) limit_warnings_.check(*machines_to_check_);
    machines_to_check_.reset();
    if (const double gap = round_at_ + kShortestRoundIntervalS - steady_now(); gap > 0) {
      std::this_thread::sleep_for(std::chrono::duration<double>(gap));
      continue;
    }
    auto state = shared_.lock();
    const double interval = step(*state);
    shared_.wait_for(state, shared_.wakeups().scheduling, interval);
  }
}

double SchedulingLoop::step(ControllerState& state) {
  if (state.may_decide(steady_now())) return lead(state);
  const Scheduler* scheduler = state.scheduler();
  if (state.role() == Role::unconfirmed && scheduler && scheduler->has_lost_leadership()) {
    state.step_down(Role::follower, kLostLeadership);
  } else if (state.is_unconfirmed_leader(steady_now())) {
    state.scheduler()->release_cancelled_work(steady_now());
    shared_.wakeups().cloud.notify_all();
  }
  return kIdleIntervalS;
}

double SchedulingLoop::lead(ControllerState& state) {
  const double now = steady_now();
  if (state.scheduler()->has_lost_leadership()) {
    state.step_down(Role::follower, kLostLeadership);
    return kIdleIntervalS;
  }
  if (state.scheduler()->receives_no_heartbeats(now)) {
    // Partitioned from the workers while the state service still answers: only another controller
    // can reach them. Their machines are not returned because this one cannot hear them.
    state.step_down(Role::cooldown, "no worker reaches this controller");
    return kIdleIntervalS;
  }
  return run_round(state, now);
}

double SchedulingLoop::run_round(ControllerState& state, double now) {
  Scheduler& scheduler = *state.scheduler();
  scheduler.round(now);
  round_at_ = now;
  const double took = steady_now() - now;
  Wakeups& wakeups = shared_.wakeups();
  wakeups.transactions.notify_all();
  wakeups.cloud.notify_all();
  wakeups.commands.notify_one();
  if (now >= next_summary_) {
    next_summary_ = now + kSummaryIntervalS;
    log_summary(scheduler, now);
  }
  return std::clamp(kRoundIntervalFactor * took, config_.scheduler.tuning.round_s,
                    config_.scheduler.tuning.round_max_s);
}

void SchedulingLoop::log_summary(const Scheduler& scheduler, double now) {
  const Scheduler::Summary summary = scheduler.summary(now);
  spdlog::info(
      "jobs {} waiting {} live {}; machines ready {} booting {} draining {} silent {}, target {}",
      summary.jobs, summary.waiting, summary.live, summary.ready, summary.booting, summary.draining,
      summary.missing_heartbeats, summary.target);
  machines_to_check_ = summary.ready + summary.booting + summary.draining;
}

}  // namespace rookdyke
