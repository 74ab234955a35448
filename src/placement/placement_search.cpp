#include "placement/placement_search.h"

#include <algorithm>
#include <tuple>

namespace rookdyke {

namespace {

// In seconds of fetch: how much rather a spot-tolerant task takes a spot machine, leaving the
// ordinary ones to those that need them.
constexpr double kSpotPreferenceS = 4;
// In seconds of fetch: how much rather a full machine is filled up than an empty one begun (bin
// packing), so that machines empty together and can be returned.
constexpr double kPackingPreferenceS = 3;
// Share of its fetch time: how much rather other work avoids a machine that holds the image of a
// class that is promised a prompt start. A large image decides alone whether one is kept.
constexpr double kPromisedImagePenalty = 0.5;
// Share of its fetch time that a task waits if the same image is being fetched already.
constexpr double kSharedFetch = 0.5;
// What a start takes besides the fetch; and one on a machine that has the image, room being made
// there.
constexpr double kStartTimeS = 1.5;
constexpr double kLocalStartTimeS = 3;
// Absorbs the rounding of sums of decimal amounts.
constexpr double kSlack = 1e-9;

}  // namespace

void PlacementSearch::start_round(double now) {
  open_.clear();
  unplaceable_.clear();
  for (const auto& machine : machines_) {
    if (machine->state != MachineState::ready || !eligibility_.takes_work(*machine, now)) continue;
    if (has_room(*machine)) open_.push_back(machine->index);
  }
}

bool PlacementSearch::has_room(const Machine& machine) const {
  return queue_.smallest_request().fits_in(eligibility_.free_resources(machine));
}

uint32_t PlacementSearch::slots_on(const Job& job, const Machine& machine) const {
  Resources room = eligibility_.free_resources(machine);
  uint32_t slots = 0;
  while (slots < job.waiting.size() && job.spec.per_task.fits_in(room)) {
    room -= job.spec.per_task;
    ++slots;
  }
  return slots;
}

// How long a task of the job would wait for its image there, behind the fetches under way.
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
    others += other.image != last;  // tasks of a job come together, so this counts images
    last = other.image;
  }
  return same_image ? kSharedFetch * fetch : fetch * (1.0 + static_cast<double>(others));
}

double PlacementSearch::score(const Job& job, const Machine& machine) const {
  const MachineType& type = catalog_.types[machine.type];
  double score = fetch_delay_s(job, machine);
  if (job.spec.spot && !machine.spot && !job.is_service()) score += kSpotPreferenceS;
  if (!job.has_start_promise)
    for (const auto& [image, held] : machine.images)
      if (image != job.image && catalog_.prompt_start_images.count(image))
        score += kPromisedImagePenalty * type.fetch_time_s(held.second);
  const double filled = machine.used.dominant_share(type.size);
  return score + kPackingPreferenceS * (1 - filled);
}

bool PlacementSearch::has_image(const Job& job, const Machine& machine) const {
  if (machine.images.count(job.image)) return true;
  return !job.has_start_promise &&
         std::any_of(machine.tasks.begin(), machine.tasks.end(),
                     [&](const auto& task) { return jobs_[task.first].image == job.image; });
}

// A start that has to fetch its image may be sure to break the promise, while one on a machine that
// has it can still keep it. Then only such a machine will do, for as long.
ImageLocality PlacementSearch::needed_locality(const Job& job, double now) const {
  const double age = now - job.seen_at;
  if (!job.has_start_promise || !job.attempts.empty() || job.is_service())
    return ImageLocality::preferred;
  for (const double within : job.start_within) {
    if (within <= age) continue;
    double fetch = 0;
    for (const MachineType& type : catalog_.types)
      fetch = std::max(fetch, type.fetch_time_s(job.spec.image_gb));
    const bool needs_image = within - age < fetch + kStartTimeS && within - age > kLocalStartTimeS;
    return needs_image ? ImageLocality::required : ImageLocality::preferred;
  }
  return ImageLocality::preferred;
}

bool PlacementSearch::is_known_full(const Job& job, uint32_t count) const {
  const Resources& wanted = job.spec.per_task;
  return std::any_of(unplaceable_.begin(), unplaceable_.end(), [&](const UnplaceableRequest& r) {
    return job.zone == r.zone && job.spec.spot == r.spot && job.types == r.types &&
           job.spec.single_zone == r.single_zone && count >= r.count &&
           r.per_task.cpus <= wanted.cpus + kSlack && r.per_task.gpus <= wanted.gpus + kSlack &&
           r.per_task.memory_gb <= wanted.memory_gb + kSlack;
  });
}

void PlacementSearch::record_full(const Job& job, uint32_t count) {
  unplaceable_.push_back(
      {job.spec.per_task, job.zone, job.types, job.spec.spot, job.spec.single_zone, count});
}

PlacementCandidates PlacementSearch::find(const Job& job, double now, ImageLocality locality) {
  const bool must_be_local = locality == ImageLocality::required;
  const bool bound_to_its_zone = job.spec.single_zone && !job.attempts.empty();
  bool job_specific = job.spec.spread_zones || bound_to_its_zone || !job.failed_machines.empty();
  PlacementCandidates found;
  for (size_t k = 0; k < open_.size();) {
    const Machine& machine = machines_[open_[k]];
    if (!has_room(machine)) {  // filled up in this round
      open_[k] = open_.back();
      open_.pop_back();
      continue;
    }
    ++k;
    ++work_.machines_looked_at;
    // What holds for this job alone must not tell other jobs that there is no room.
    job_specific =
        job_specific || machine.reserved_for != kNone || !machine.unanswered_starts.empty();
    if (!eligibility_.may_run(job, machine, now)) continue;
    const uint32_t slots = slots_on(job, machine);
    if (slots == 0 || (must_be_local && !has_image(job, machine))) continue;
    if (!eligibility_.zone_allows(job, machine.zone, 1)) continue;
    found.machines.push_back({score(job, machine), machine.index, slots});
  }
  std::sort(found.machines.begin(), found.machines.end(),
            [](const PlacementCandidate& a, const PlacementCandidate& b) {
              return std::tie(a.score, a.machine) < std::tie(b.score, b.machine);
            });
  found.job_specific = job_specific;
  if (found.machines.empty() && !job_specific && !must_be_local) record_full(job, 1);
  return found;
}

}  // namespace rookdyke
