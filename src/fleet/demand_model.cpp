#include "fleet/demand_model.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "workers/fault_detector.h"

namespace rookdyke {

namespace {
// Absorbs the rounding of sums of decimal amounts.
constexpr double kRoundingSlack = 1e-9;
}  // namespace

DemandModel::DemandModel(const Settings& settings, const Catalog& catalog, const JobTable& jobs,
                         const MachineTable& machines, double now)
    : settings_(settings),
      catalog_(catalog),
      jobs_(jobs),
      machines_(machines),
      next_sample_at_(now) {
  for (const MachineType& type : catalog.types) {
    const double horizon_s =
        settings.tuning.boot_window_s > 0 ? settings.tuning.boot_window_s : type.boot_s;
    by_type_.push_back({Forecast(settings.tuning, horizon_s), 0, {}, {}, {}});
  }
}

// ---------------------------------------------------------------- results

double DemandModel::machines_needed(Index type, const Resources& demand) const {
  const Resources size = catalog_.types[type].size.scaled(settings_.tuning.safe_fraction);
  return std::ceil(demand.dominant_share(size) - kRoundingSlack);
}

double DemandModel::total_target() const {
  double sum = 0;
  for (const TypeDemand& demand : by_type_) sum += demand.target;
  return sum;
}

double DemandModel::on_demand_floor(Index type) const {
  return machines_needed(type, by_type_[type].on_demand);
}

std::map<Index, ZoneFloor> DemandModel::zone_floors(Index type) const {
  std::map<Index, ZoneFloor> floors;
  for (const auto& [zone, demand] : by_type_[type].by_zone) {
    floors[zone] = {
        std::max(demand.largest_job, machines_needed(type, demand.all)),
        std::max(demand.largest_on_demand_job, machines_needed(type, demand.on_demand))};
  }
  return floors;
}

bool DemandModel::has_spot_demand(Index type) const {
  const TypeDemand& demand = by_type_[type];
  const Resources& size = catalog_.types[type].size;
  return demand.all.dominant_share(size) > demand.on_demand.dominant_share(size) + kRoundingSlack;
}

// ---------------------------------------------------------------- demand of one job

// Whether a task of the job could run on machines of the type, by size and zone.
bool DemandModel::could_run_on(const Job& job, Index type) const {
  if (!job.types.empty() && !job.types[type]) return false;
  if (!job.spec.per_task.fits_in(catalog_.types[type].size)) return false;
  const auto& zones = catalog_.types[type].zones;
  return job.spec.zone.empty() ||
         std::find(zones.begin(), zones.end(), job.spec.zone) != zones.end();
}

// The machine type that a job's demand is counted for: the one on which a task costs least, by its
// share of the machine.
Index DemandModel::cheapest_type(const Job& job) const {
  Index best = kNone;
  double best_price = 0;
  for (Index index = 0; index < catalog_.types.size(); ++index) {
    if (!could_run_on(job, index)) continue;
    const MachineType& type = catalog_.types[index];
    const double price = job.spec.per_task.dominant_share(type.size) *
                         (job.spec.spot ? type.spot_price : type.price);
    if (best == kNone || price < best_price) {
      best = index;
      best_price = price;
    }
  }
  return best;
}

// Reduces a job's demand to what its team's limits allow to run. `team_sums`: the demand counted
// for each team so far.
Resources DemandModel::limit_to_team_quota(const Job& job, Resources demand,
                                           std::vector<Resources>& team_sums) const {
  for (const TeamQuota& team : settings_.teams) {
    if (team.name != job.spec.team) continue;
    Resources& sum = team_sums[job.team];
    double share = 1;
    if (team.cpus_max > 0 && demand.cpus > 0)
      share = std::min(share, std::max(0.0, team.cpus_max - sum.cpus) / demand.cpus);
    if (team.gpus_max > 0 && demand.gpus > 0)
      share = std::min(share, std::max(0.0, team.gpus_max - sum.gpus) / demand.gpus);
    demand = demand.scaled(share);
    sum += demand;
  }
  return demand;
}

// ---------------------------------------------------------------- demand by zone

DemandModel::MachineCounts DemandModel::count_machines() const {
  MachineCounts counts;
  for (const auto& machine : machines_)
    if (machine->type != kNone && machine->zone != kNone &&
        machine->state != MachineState::terminated)
      ++counts[{machine->type, machine->zone}];
  return counts;
}

// The zone with the most machines of the type. Ties go to the type's first zone, then to the lowest
// index.
Index DemandModel::largest_zone(Index type, const MachineCounts& machines) const {
  Index best = catalog_.zones.find(catalog_.types[type].zones.front());
  const auto first = machines.find({type, best});
  size_t most = first == machines.end() ? 0 : first->second;
  for (auto it = machines.lower_bound({type, 0}); it != machines.end(); ++it) {
    if (it->first.type != type) break;
    if (it->second <= most) continue;
    most = it->second;
    best = it->first.zone;
  }
  return best;
}

// Raises the zone's floor to the number of machines for the demand of a job that needs machines
// there but is not bound to the zone. Only the largest such job counts, since the others can run
// after it.
void DemandModel::record_largest_in_zone(const Job& job, Index type, Index zone,
                                         const Resources& demand) {
  const double machines = machines_needed(type, demand);
  ZoneDemand& in_zone = by_type_[type].by_zone[zone];
  in_zone.largest_job = std::max(in_zone.largest_job, machines);
  if (!job.spec.spot)
    in_zone.largest_on_demand_job = std::max(in_zone.largest_on_demand_job, machines);
}

// A single-zone job needs machines in the zone of its attempts. Without attempts, it is counted for
// the zone with the most machines: a gang with all its tasks, other jobs with one task.
void DemandModel::add_single_zone_demand(const Job& job, Index type, const Resources& demand,
                                         const MachineCounts& machines) {
  bool has_attempts = false;
  for (const auto& [task, attempt] : job.attempts) {
    if (attempt.state == AttemptState::ended) continue;
    has_attempts = true;
    const Index zone = machines_[attempt.machine].zone;
    if (zone != kNone) return record_largest_in_zone(job, type, zone, demand);
  }
  if (has_attempts) return;  // all on machines of a predecessor whose zone is not known yet
  const double share = job.is_gang() ? 1 : 1.0 / job.tasks();
  record_largest_in_zone(job, type, largest_zone(type, machines), demand.scaled(share));
}

// Adds the demand of jobs that need machines in specific zones. The target counts machines of all
// zones: without these floors, machines in other zones were enough to meet it, and a job bound to a
// zone or spread over zones waited forever.
void DemandModel::add_zone_demand(const Job& job, Index type, const Resources& demand,
                                  const MachineCounts& machines) {
  if (job.zone != kNone) {
    ZoneDemand& in_zone = by_type_[type].by_zone[job.zone];
    in_zone.all += demand;
    if (!job.spec.spot) in_zone.on_demand += demand;
    return;
  }
  if (job.waiting.empty()) return;
  if (job.spec.single_zone) return add_single_zone_demand(job, type, demand, machines);
  const auto& zones = catalog_.types[type].zones;
  if (!job.spec.spread_zones || job.tasks() < 2 || zones.size() < 2) return;
  // At most half of the tasks, rounded up, may run in one zone, so the rest needs a second zone.
  const double half = std::floor(job.tasks() / 2.0) / job.tasks();
  record_largest_in_zone(job, type, catalog_.zones.find(zones[0]), demand.scaled(half));
  record_largest_in_zone(job, type, catalog_.zones.find(zones[1]), demand.scaled(half));
}

// ---------------------------------------------------------------- sampling

void DemandModel::sample_if_due(double now) {
  if (now < next_sample_at_) return;
  sample(now);
  next_sample_at_ = std::max(next_sample_at_ + settings_.tuning.sample_s, now);
}

void DemandModel::sample(double now) {
  for (TypeDemand& demand : by_type_) {
    demand.all = demand.on_demand = {};
    demand.by_zone.clear();
  }
  std::vector<Resources> team_sums(catalog_.teams.size());
  const MachineCounts machines = count_machines();
  for (const auto& job : jobs_) {
    if (!job || job->is_finished()) continue;
    const Index type = cheapest_type(*job);
    if (type == kNone) continue;
    double tasks = job->tasks() - job->done_count;
    // A faulty job is retried on free capacity and is counted as one task at most, so that its
    // remaining tasks cause no rentals.
    if (FaultDetector::is_faulty(*job) && !job->is_gang()) tasks = std::min(tasks, 1.0);
    const Resources demand = limit_to_team_quota(*job, job->spec.per_task.scaled(tasks), team_sums);
    by_type_[type].all += demand;
    add_zone_demand(*job, type, demand, machines);
    if (!job->spec.spot) by_type_[type].on_demand += demand;
  }
  for (Index type = 0; type < catalog_.types.size(); ++type) update_target(type, now);
}

void DemandModel::update_target(Index type, double now) {
  TypeDemand& demand = by_type_[type];
  demand.forecast.sample(now, demand.all);
  demand.target = demand.forecast.target(catalog_.types[type].size);
  const Resources spare = demand.forecast.spare();
  const Resources predicted = demand.forecast.predicted_demand();
  spdlog::debug(
      "type {}: demand {:.0f} cpus {:.0f} gpus {:.0f} gb, forecast {:.0f}/{:.0f}/{:.0f}, "
      "spare {:.0f}/{:.0f}/{:.0f}, target {:.0f}",
      catalog_.types[type].name, demand.all.cpus, demand.all.gpus, demand.all.memory_gb,
      predicted.cpus, predicted.gpus, predicted.memory_gb, spare.cpus, spare.gpus, spare.memory_gb,
      demand.target);
}

}  // namespace rookdyke
