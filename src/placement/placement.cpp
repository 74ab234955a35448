#include "placement/placement.h"

#include <algorithm>

namespace rookdyke {

namespace {

// A round starts at most kBaseBudget + backlog / kBacklogDivisor tasks, so that batches grow with
// the load.
constexpr int kBaseBudget = 64;
constexpr size_t kBacklogDivisor = 8;
// Shortest interval between two rounds that preempt.
constexpr double kPreemptionIntervalS = 0.2;
// An array may be placed on machines that have its image ahead of the first array in the queue, if
// their urgencies (see JobQueue) differ by no more than this window. At most kMaxLocalityJobs
// arrays are tried.
constexpr double kLocalityWindowS = 80;
constexpr int kMaxLocalityJobs = 32;

// Whether the job is placed strictly in queue order, regardless of image locality.
bool keeps_queue_position(const Job& job, double now) {
  return job.is_gang() || job.needs_prompt_start || JobQueue::is_starved(job, now);
}

// Whether the job may be placed before the first array in the queue to use a cached image.
bool may_overtake(const Job& job, const Job& first_array) {
  return job.spec.priority == first_array.spec.priority &&
         job.placement.guaranteed == first_array.placement.guaranteed &&
         job.placement.queue_key <= first_array.placement.queue_key + kLocalityWindowS;
}

}  // namespace

Placement::Placement(const Settings& settings, const Catalog& catalog, JobTable& jobs,
                     MachineTable& machines, const TeamUsage& team_usage, TaskLifecycle& lifecycle,
                     const Eligibility& eligibility, WorkCounters& work)
    : jobs_(jobs),
      machines_(machines),
      work_(work),
      queue_(settings, catalog, jobs),
      search_(catalog, jobs, machines, eligibility, queue_, work),
      arrays_(machines, team_usage, lifecycle, eligibility, search_),
      gangs_(catalog, machines, team_usage, lifecycle, eligibility, search_),
      services_(machines, team_usage, lifecycle, eligibility, search_),
      reservations_(jobs, machines, eligibility, work),
      preemption_(catalog, jobs, machines, team_usage, lifecycle, eligibility, search_,
                  reservations_, work) {}

size_t Placement::count_ready_machines() const {
  return static_cast<size_t>(
      std::count_if(machines_.begin(), machines_.end(),
                    [](const auto& machine) { return machine->state == MachineState::ready; }));
}

bool Placement::is_preemption_due(double now) {
  if (now < next_preemption_at_) return false;
  next_preemption_at_ = now + kPreemptionIntervalS;
  return true;
}

PlacementRound Placement::start_round(double now, size_t backlog) {
  queue_.rebuild(now);
  reservations_.start_round(now);
  search_.start_round(now);
  preemption_.start_round();
  PlacementRound round;
  round.now = now;
  round.budget = kBaseBudget + static_cast<int>(backlog / kBacklogDivisor);
  round.ready_machines = count_ready_machines();
  round.preemption_due = is_preemption_due(now);
  return round;
}

void Placement::place(double now, size_t backlog) {
  PlacementRound round = start_round(now, backlog);
  const Job* first_array = place_by_image_locality(round);
  place_in_order(round, first_array);
  gangs_.release_reserved_capacity();
}

// Places the most urgent arrays on machines that already have their image, because many of their
// tasks run no longer than an image fetch takes. An array overtakes others only within
// kLocalityWindowS and never jobs of higher priority. Returns the first array in the queue, or null
// if there is none; all jobs before it have been placed.
const Job* Placement::place_by_image_locality(PlacementRound& round) {
  const Job* first_array = nullptr;
  int tried = 0;
  for (const Index index : queue_.order()) {
    if (round.budget <= 0) break;
    Job& job = jobs_[index];
    ++work_.jobs_examined;
    if (keeps_queue_position(job, round.now)) {
      if (first_array) continue;  // place_in_order() places it after the arrays before it
      place_job(job, round);
      continue;
    }
    if (!first_array) first_array = &job;
    if (!may_overtake(job, *first_array) || ++tried > kMaxLocalityJobs) break;
    arrays_.place(job, round, ImageLocality::required);
  }
  return first_array;
}

// Places the jobs in queue order, beginning with `first_array`.
void Placement::place_in_order(PlacementRound& round, const Job* first_array) {
  bool reached = false;
  for (const Index index : queue_.order()) {
    if (round.budget <= 0) break;
    Job& job = jobs_[index];
    reached = reached || &job == first_array;
    if (reached && !job.waiting.empty()) place_job(job, round);
  }
}

PlacementOutcome Placement::start_tasks(Job& job, PlacementRound& round, ImageLocality locality) {
  if (job.is_gang()) return gangs_.place(job, round, locality);
  if (job.is_service()) return services_.place(job, round);
  return arrays_.place(job, round, locality);
}

void Placement::place_job(Job& job, PlacementRound& round) {
  ++work_.jobs_examined;
  const ImageLocality locality = search_.needed_locality(job, round.now);
  const PlacementOutcome outcome = start_tasks(job, round, locality);
  if (outcome != PlacementOutcome::insufficient_capacity || !round.preemption_due) return;
  preemption_.free_capacity_for(job, round.now, locality);
  if (locality != ImageLocality::required) reservations_.reserve_for_waiting(job, round);
}

}  // namespace rookdyke
