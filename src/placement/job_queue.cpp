#include "placement/job_queue.h"

#include <algorithm>
#include <tuple>

namespace rookdyke {

namespace {

// In seconds of age: a promise of a prompt start goes before anything else of its priority.
constexpr double kStartPromisePrecedenceS = 1e6;
// A promise of a start that queueing can keep is kept by going first for the last part of its time.
constexpr double kDueSoonS = 40;
constexpr double kDueSoonPrecedenceS = 1e5;
// In seconds of age: how far the largest job ranks behind small ones.
constexpr double kMaxShortJobPreferenceS = 150;
// A job of which nothing was started for this long goes before everything, whatever its class,
// priority and size: the users' largest jobs have to begin within four minutes. An array then gets
// a part of its tasks, and its turn begins anew.
constexpr double kStarvedAfterS = 120;
constexpr double kUnlimited = 1e18;

struct QueueEntry {
  bool starved, guaranteed;
  Priority priority;
  double urgency;
  Index job;
};

bool goes_before(const QueueEntry& a, const QueueEntry& b) {
  if (a.starved != b.starved) return a.starved;
  if (!a.starved) {
    if (a.guaranteed != b.guaranteed) return a.guaranteed;
    if (a.priority != b.priority) return a.priority > b.priority;
  }
  return std::tie(a.urgency, a.job) < std::tie(b.urgency, b.job);
}

bool may_start_now(const Job& job, double now) {
  return job.state == JobState::open && !job.waiting.empty() && !job.is_stale() &&
         now >= job.not_before;
}

Resources component_wise_min(const Resources& a, const Resources& b) {
  return {std::min(a.cpus, b.cpus), std::min(a.gpus, b.gpus), std::min(a.memory_gb, b.memory_gb)};
}

}  // namespace

double JobQueue::waiting_since(const Job& job) {
  return std::max(job.seen_at, job.placement.last_start);
}

bool JobQueue::is_starved(const Job& job, double now) {
  return now - waiting_since(job) > kStarvedAfterS;
}

// What of each team's unfinished jobs, oldest first, fits within its guarantee.
void JobQueue::find_guaranteed() {
  for (const TeamQuota& quota : settings_.teams) {
    if (quota.cpus <= 0 && quota.gpus <= 0) continue;
    const Index team = catalog_.teams.find(quota.name);
    std::vector<Job*> team_jobs;
    for (const auto& job : jobs_)
      if (job && job->team == team && !job->is_finished()) team_jobs.push_back(job.get());
    std::sort(team_jobs.begin(), team_jobs.end(),
              [](const Job* a, const Job* b) { return a->timestamp_s < b->timestamp_s; });
    Resources total;
    for (Job* job : team_jobs) {
      total += job->spec.per_task.scaled(job->tasks() - job->done_count);
      job->placement.guaranteed = total.cpus <= quota.cpus && total.gpus <= quota.gpus;
    }
  }
}

// The order among jobs of equal priority, smallest first. A class that is promised a prompt start
// goes by when that promise runs out. All others, and those that missed it, go by age, yet a job
// with much work left ranks behind small ones: of a queue that cannot all be in time, most are
// then.
double JobQueue::urgency(const Job& job, double now) const {
  // What waits of a service is a replica that is missing now, however old the service is.
  if (job.is_service())
    return std::max(job.seen_at, job.missing_since) - now - kStartPromisePrecedenceS;
  const double age = now - job.seen_at;
  for (const double within : job.start_within) {
    if (within <= age) continue;
    if (job.has_start_promise) return within - age - kStartPromisePrecedenceS;
    if (within - age < kDueSoonS) return within - age - kDueSoonPrecedenceS;
  }
  const double left = (job.tasks() - job.done_count) * job.share * job.spec.expected_runtime_s;
  return std::min(left * settings_.tuning.short_job_preference_s, kMaxShortJobPreferenceS) - age;
}

void JobQueue::rebuild(double now) {
  find_guaranteed();
  std::vector<QueueEntry> entries;
  entries.reserve(jobs_.count());
  smallest_request_ = {kUnlimited, kUnlimited, kUnlimited};
  for (const auto& job : jobs_) {
    if (!job || !may_start_now(*job, now)) continue;
    const bool starved = is_starved(*job, now);
    job->placement.urgency = starved ? waiting_since(*job) : urgency(*job, now);
    entries.push_back(
        {starved, job->placement.guaranteed, job->spec.priority, job->placement.urgency, job->id});
    smallest_request_ = component_wise_min(smallest_request_, job->spec.per_task);
  }
  std::sort(entries.begin(), entries.end(),
            [](const QueueEntry& a, const QueueEntry& b) { return goes_before(a, b); });
  order_.clear();
  for (const QueueEntry& entry : entries) order_.push_back(entry.job);
}

}  // namespace rookdyke
