#include "placement/placement_search.h"

#include <algorithm>
#include <tuple>

namespace rookdyke {

namespace {

// Scores are expected seconds of image fetch, plus penalties that are weighed against them.

// Penalty of on-demand machines for tasks that may run on spot machines, which leaves on-demand
// machines to tasks that need them.
constexpr double kSpotPreferenceS = 4;
// Penalty of an empty machine compared with a full one (bin packing), so that machines become empty
// and can be returned.
constexpr double kPackingPreferenceS = 3;
// Penalty of a machine that has the image of a job with a prompt start-time objective, for jobs
// without one, as a fraction of that image's fetch time. For a large image, the fetch alone decides
// whether the objective is met.
constexpr double kPromptStartImagePenalty = 0.5;
// Expected wait for an image that is already being fetched, as a fraction of its fetch time.
constexpr double kSharedFetchFraction = 0.5;
// Duration of a start without the image fetch, and of a start on a machine that has the image but
// has to free capacity first.
constexpr double kStartTimeS = 1.5;
constexpr double kLocalStartTimeS = 3;
// Absorbs the rounding of sums of decimal amounts.
constexpr double kRoundingSlack = 1e-9;

}  // namespace

void PlacementSearch::start_round(double now) {
  machines_with_capacity_.clear();
  unplaceable_.clear();
  for (const auto& machine : machines_) {
    if (machine->state != MachineState::ready || !eligibility_.accepts_tasks(*machine, now))
      continue;
    if (fits_smallest_request(*machine)) machines_with_capacity_.push_back(machine->index);
  }
}

bool PlacementSearch::fits_smallest_request(const Machine& machine) const {
  return queue_.smallest_request().fits_in(eligibility_.free_resources(machine));
}

uint32_t PlacementSearch::slots_on(const Job& job, const Machine& machine) const {
  Resources available = eligibility_.free_resources(machine);
  uint32_t slots = 0;
  while (slots < job.waiting.size() && job.spec.per_task.fits_in(available)) {
    available -= job.spec.per_task;
    ++slots;
  }
  return slots;
}

// Expected wait of a task of the job for its image on the machine, including fetches in progress.
double PlacementSearch::fetch_delay_s(const Job& job, const Machine& machine) const {
  if (machine.images.count(job.image)) return 0;
  const double fetch = catalog_.types[machine.type].fetch_time_s(job.spec.image_gb);
  bool same_image = false;
  size_t others = 0;
  Index last = kNone;
  for (const auto& [j, task] : machine.tasks) {
    const Job& other = jobs_[j];
    if (other.attempts.at(task).state > AttemptState::fetching || machine.images.count(other.image))
      continue;
    same_image = same_image || other.image == job.image;
    others += other.image != last;  // counts images: tasks of a job are mostly adjacent
    last = other.image;
  }
  return same_image ? kSharedFetchFraction * fetch : fetch * (1.0 + static_cast<double>(others));
}

double PlacementSearch::score(const Job& job, const Machine& machine) const {
  const MachineType& type = catalog_.types[machine.type];
  double score = fetch_delay_s(job, machine);
  if (job.spec.spot && !machine.spot && !job.is_service()) score += kSpotPreferenceS;
  if (!job.needs_prompt_start)
    for (const auto& [image, held] : machine.images)
      if (image != job.image && catalog_.prompt_start_images.count(image))
        score += kPromptStartImagePenalty * type.fetch_time_s(held.size_gb);
  const double filled = machine.used.dominant_share(type.size);
  return score + kPackingPreferenceS * (1 - filled);
}

bool PlacementSearch::has_image(const Job& job, const Machine& machine) const {
  if (machine.images.count(job.image)) return true;
  return !job.needs_prompt_start &&
         std::any_of(machine.tasks.begin(), machine.tasks.end(),
                     [&](const auto& task) { return jobs_[task.first].image == job.image; });
}

// Requires the image while a start that fetches it would miss the next objective but a start on a
// machine that has it can still meet the objective.
ImageLocality PlacementSearch::needed_locality(const Job& job, double now) const {
  const double age = now - job.accepted_at;
  if (!job.needs_prompt_start || !job.attempts.empty() || job.is_service())
    return ImageLocality::preferred;
  for (const double within : job.start_objectives_s) {
    if (within <= age) continue;
    double fetch = 0;
    for (const MachineType& type : catalog_.types)
      fetch = std::max(fetch, type.fetch_time_s(job.spec.image_gb));
    const bool needs_image = within - age < fetch + kStartTimeS && within - age > kLocalStartTimeS;
    return needs_image ? ImageLocality::required : ImageLocality::preferred;
  }
  return ImageLocality::preferred;
}

bool PlacementSearch::is_known_unplaceable(const Job& job, uint32_t count) const {
  const Resources& wanted = job.spec.per_task;
  return std::any_of(unplaceable_.begin(), unplaceable_.end(), [&](const UnplaceableRequest& r) {
    return job.zone == r.zone && job.spec.spot == r.spot && job.types == r.types &&
           job.spec.single_zone == r.single_zone && count >= r.count &&
           r.per_task.cpus <= wanted.cpus + kRoundingSlack &&
           r.per_task.gpus <= wanted.gpus + kRoundingSlack &&
           r.per_task.memory_gb <= wanted.memory_gb + kRoundingSlack;
  });
}

void PlacementSearch::record_unplaceable(const Job& job, uint32_t count) {
  unplaceable_.push_back(
      {job.spec.per_task, job.zone, job.types, job.spec.spot, job.spec.single_zone, count});
}

PlacementCandidates PlacementSearch::find(const Job& job, double now, ImageLocality locality) {
  const bool requires_image = locality == ImageLocality::required;
  const bool zone_is_fixed = job.spec.single_zone && !job.attempts.empty();
  bool job_specific = job.spec.spread_zones || zone_is_fixed || !job.failed_machines.empty();
  PlacementCandidates found;
  for (size_t k = 0; k < machines_with_capacity_.size();) {
    const Machine& machine = machines_[machines_with_capacity_[k]];
    if (!fits_smallest_request(machine)) {  // capacity was used up in this round
      machines_with_capacity_[k] = machines_with_capacity_.back();
      machines_with_capacity_.pop_back();
      continue;
    }
    ++k;
    ++work_.machines_examined;
    // A result that depends on this job must not be recorded as unplaceable for other jobs.
    job_specific = job_specific || machine.reserved_for != kNone;
    if (!eligibility_.may_run(job, machine, now)) continue;
    const uint32_t slots = slots_on(job, machine);
    if (slots == 0 || (requires_image && !has_image(job, machine))) continue;
    if (!eligibility_.zone_allows(job, machine.zone, 1)) continue;
    found.machines.push_back({score(job, machine), machine.index, slots});
  }
  std::sort(found.machines.begin(), found.machines.end(),
            [](const PlacementCandidate& a, const PlacementCandidate& b) {
              return std::tie(a.score, a.machine) < std::tie(b.score, b.machine);
            });
  found.job_specific = job_specific;
  if (found.machines.empty() && !job_specific && !requires_image) record_unplaceable(job, 1);
  return found;
}

}  // namespace rookdyke
