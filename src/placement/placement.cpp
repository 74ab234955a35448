#include "placement/placement.h"

#include <algorithm>

namespace rookdyke {

namespace {

// Tasks started in one round at most, plus a share of the backlog: batches widen with the load.
constexpr int kBaseBudget = 64;
constexpr size_t kBacklogDivisor = 8;
// Preemption is no more frequent than this.
constexpr double kPreemptionIntervalS = 0.2;
// In seconds of urgency: how far an array whose image is on a machine with room may go before
// others; and how many arrays are tried.
constexpr double kLocalityWindowS = 80;
constexpr int kMaxLocalityJobs = 32;

// Whether the job keeps its turn in the queue, whatever images are where.
bool keeps_its_turn(const Job& job, double now) {
  return job.is_gang() || job.has_start_promise || JobQueue::is_starved(job, now);
}

// Whether the job may go before the first array for the sake of its image.
bool may_overtake(const Job& job, const Job& first) {
  return job.spec.priority == first.spec.priority &&
         job.placement.guaranteed == first.placement.guaranteed &&
         job.placement.urgency <= first.placement.urgency + kLocalityWindowS;
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
  round.may_preempt = is_preemption_due(now);
  return round;
}

void Placement::place(double now, size_t backlog) {
  PlacementRound round = start_round(now, backlog);
  const Job* first = place_by_image(round);
  place_in_order(round, first);
  gangs_.release_reserved_capacity();
}

// Arrays go where their image is first, whichever of the most urgent ones that helps: a fetch takes
// as long as many of their tasks run. Within bounds of age, and never before higher ranks. Returns
// the first of these arrays, null if there is none; all jobs before it have been placed.
const Job* Placement::place_by_image(PlacementRound& round) {
  const Job* first = nullptr;
  int tried = 0;
  for (const Index index : queue_.order()) {
    if (round.budget <= 0) break;
    Job& job = jobs_[index];
    ++work_.jobs_looked_at;
    if (keeps_its_turn(job, round.now)) {
      if (first) continue;  // after arrays that go before it
      place_job(job, round);
      continue;
    }
    if (!first) first = &job;
    if (!may_overtake(job, *first) || ++tried > kMaxLocalityJobs) break;
    arrays_.place(job, round, ImageLocality::required);
  }
  return first;
}

// Places all jobs from the first one on.
void Placement::place_in_order(PlacementRound& round, const Job* first) {
  bool reached = false;
  for (const Index index : queue_.order()) {
    if (round.budget <= 0) break;
    Job& job = jobs_[index];
    reached = reached || &job == first;
    if (reached && !job.waiting.empty()) place_job(job, round);
  }
}

PlacementOutcome Placement::start_tasks(Job& job, PlacementRound& round, ImageLocality locality) {
  if (job.is_gang()) return gangs_.place(job, round, locality);
  if (job.is_service()) return services_.place(job, round);
  return arrays_.place(job, round, locality);
}

void Placement::place_job(Job& job, PlacementRound& round) {
  ++work_.jobs_looked_at;
  const ImageLocality locality = search_.needed_locality(job, round.now);
  const PlacementOutcome outcome = start_tasks(job, round, locality);
  if (outcome != PlacementOutcome::lacks_machines || !round.may_preempt) return;
  preemption_.make_room(job, round.now, locality);
  if (locality != ImageLocality::required) reservations_.reserve_for_waiting(job, round);
}

}  // namespace rookdyke
