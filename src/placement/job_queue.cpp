#include "placement/job_queue.h"

#include <algorithm>
#include <tuple>

namespace rookdyke {

namespace {

// Urgencies are in seconds; lower values come first. For jobs that are not starved, each second of
// age lowers the value by 1.

// A job with a prompt start-time objective (shorter than the boot time of a machine), and a
// service, precedes all other jobs of its priority.
constexpr double kPromptStartPrecedenceS = 1e6;
// A longer start-time objective can be met by reordering the queue: the job precedes most jobs of
// its priority once less than kDueSoonS is left.
constexpr double kDueSoonS = 40;
constexpr double kDueSoonPrecedenceS = 1e5;
// Upper bound of the penalty for a job's remaining work.
constexpr double kMaxShortJobPreferenceS = 150;
// A job that has started no task for this long is starved and precedes all jobs that are not,
// regardless of class, priority and size, because the users' largest jobs have to start within four
// minutes. A starved array may start a part of its tasks (its starvation allowance); then its
// waiting time restarts at 0.
constexpr double kStarvedAfterS = 120;
constexpr double kUnlimited = 1e18;

struct QueueEntry {
  bool starved, guaranteed;
  Priority priority;
  double queue_key;
  Index job;
};

bool precedes(const QueueEntry& a, const QueueEntry& b) {
  if (a.starved != b.starved) return a.starved;
  if (!a.starved) {
    if (a.guaranteed != b.guaranteed) return a.guaranteed;
    if (a.priority != b.priority) return a.priority > b.priority;
  }
  return std::tie(a.queue_key, a.job) < std::tie(b.queue_key, b.job);
}

bool may_start_now(const Job& job, double now) {
  return job.state == JobState::open && !job.waiting.empty() && !job.is_stale() &&
         now >= job.back_off_until;
}

Resources component_wise_min(const Resources& a, const Resources& b) {
  return {std::min(a.cpus, b.cpus), std::min(a.gpus, b.gpus), std::min(a.memory_gb, b.memory_gb)};
}

}  // namespace

double JobQueue::waiting_since(const Job& job) {
  return std::max(job.accepted_at, job.placement.last_start);
}

bool JobQueue::is_starved(const Job& job, double now) {
  return now - waiting_since(job) > kStarvedAfterS;
}

// Marks the unfinished jobs of each team, oldest first, that fit within the team's guarantee.
void JobQueue::update_guaranteed() {
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

// Sort key among jobs of equal priority that are not starved, lowest first. Jobs with a prompt
// start-time objective come first, then jobs whose longer objective is due soon, both ordered by
// the time left. Other jobs, and those that missed their objectives, are ordered by age. Remaining
// work raises the key, so that most jobs of a queue are in time if not all can be.
double JobQueue::queue_key(const Job& job, double now) const {
  // Waiting tasks of a service are missing replicas: their wait counts from when a replica last
  // ended, however old the service is.
  if (job.is_service())
    return std::max(job.accepted_at, job.replica_missing_since) - now - kPromptStartPrecedenceS;
  const double age = now - job.accepted_at;
  for (const double within : job.start_objectives_s) {
    if (within <= age) continue;
    if (job.needs_prompt_start) return within - age - kPromptStartPrecedenceS;
    if (within - age < kDueSoonS) return within - age - kDueSoonPrecedenceS;
  }
  const double left =
      (job.tasks() - job.done_count) * job.min_machine_share * job.spec.expected_runtime_s;
  return std::min(left * settings_.tuning.short_job_preference_s, kMaxShortJobPreferenceS) - age;
}

void JobQueue::rebuild(double now) {
  update_guaranteed();
  std::vector<QueueEntry> entries;
  entries.reserve(jobs_.count());
  smallest_request_ = {kUnlimited, kUnlimited, kUnlimited};
  for (const auto& job : jobs_) {
    if (!job || !may_start_now(*job, now)) continue;
    const bool starved = is_starved(*job, now);
    job->placement.queue_key = starved ? waiting_since(*job) : queue_key(*job, now);
    entries.push_back({starved, job->placement.guaranteed, job->spec.priority,
                       job->placement.queue_key, job->id});
    smallest_request_ = component_wise_min(smallest_request_, job->spec.per_task);
  }
  std::sort(entries.begin(), entries.end(),
            [](const QueueEntry& a, const QueueEntry& b) { return precedes(a, b); });
  order_.clear();
  for (const QueueEntry& entry : entries) order_.push_back(entry.job);
}

}  // namespace rookdyke
