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
    : settings_(settings), catalog_(catalog), jobs_(jobs), machines_(machines), next_sample_(now) {
  for (const MachineType& type : catalog.types) {
    const double ahead =
        settings.tuning.boot_window_s > 0 ? settings.tuning.boot_window_s : type.boot_s;
    by_type_.push_back({Forecast(settings.tuning, ahead), 0, {}, {}, {}});
  }
}

// ---------------------------------------------------------------- what follows from the samples

double DemandModel::machines_for(Index type, const Resources& demand) const {
  const Resources size = catalog_.types[type].size.scaled(settings_.tuning.safe_fraction);
  return std::ceil(demand.dominant_share(size) - kRoundingSlack);
}

double DemandModel::total_target() const {
  double sum = 0;
  for (const TypeDemand& demand : by_type_) sum += demand.target;
  return sum;
}

double DemandModel::on_demand_floor(Index type) const {
  return machines_for(type, by_type_[type].on_demand);
}

std::map<Index, ZoneFloor> DemandModel::zone_floors(Index type) const {
  std::map<Index, ZoneFloor> floors;
  for (const auto& [zone, demand] : by_type_[type].by_zone) {
    floors[zone] = {std::max(demand.largest, machines_for(type, demand.all)),
                    std::max(demand.largest_on_demand, machines_for(type, demand.on_demand))};
  }
  return floors;
}

bool DemandModel::has_spot_demand(Index type) const {
  const TypeDemand& demand = by_type_[type];
  const Resources& size = catalog_.types[type].size;
  return demand.all.dominant_share(size) > demand.on_demand.dominant_share(size) + kRoundingSlack;
}

// ---------------------------------------------------------------- demand of one job

// Whether a task of the job could run on machines of that type, by size and zone.
bool DemandModel::could_run_on(const Job& job, Index type) const {
  if (!job.types.empty() && !job.types[type]) return false;
  if (!job.spec.per_task.fits_in(catalog_.types[type].size)) return false;
  const auto& zones = catalog_.types[type].zones;
  return job.spec.zone.empty() ||
         std::find(zones.begin(), zones.end(), job.spec.zone) != zones.end();
}

// The type whose machines a job's demand is counted for: the cheapest share of a machine.
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

// What a team's limit keeps from running is no demand for machines. `team_sums`: the demand that
// was counted for each team so far.
Resources DemandModel::within_team_limits(const Job& job, Resources demand,
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

// Where most machines of the type are; of equal zones the type's first, then the lowest index.
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

// Of jobs that could run elsewhere too, the zone keeps room for the largest: the others have their
// turn after it.
void DemandModel::reserve_in_zone(const Job& job, Index type, Index zone, const Resources& demand) {
  if (zone == kNone) return;  // of a predecessor's machine that was not listed yet
  const double machines = machines_for(type, demand);
  ZoneDemand& in_zone = by_type_[type].by_zone[zone];
  in_zone.largest = std::max(in_zone.largest, machines);
  if (!job.spec.spot) in_zone.largest_on_demand = std::max(in_zone.largest_on_demand, machines);
}

// The job goes on where its tasks are, or else where most machines are.
void DemandModel::add_single_zone_demand(const Job& job, Index type, const Resources& demand,
                                         const MachineCounts& machines) {
  for (const auto& [task, attempt] : job.attempts)
    if (attempt.state != AttemptState::ended)
      return reserve_in_zone(job, type, machines_[attempt.machine].zone, demand.scaled(1));
  const double share = job.is_gang() ? 1 : 1.0 / job.tasks();
  reserve_in_zone(job, type, largest_zone(type, machines), demand.scaled(share));
}

// The zones that a job's demand is bound to. The target counts machines wherever they are, and was
// met by machines in a zone where a bound or scattered job could not run: it waited for ever.
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
  // At most half of it, rounded up, in one zone: the other half in a second one.
  const double half = std::floor(job.tasks() / 2.0) / job.tasks();
  reserve_in_zone(job, type, catalog_.zones.find(zones[0]), demand.scaled(half));
  reserve_in_zone(job, type, catalog_.zones.find(zones[1]), demand.scaled(half));
}

// ---------------------------------------------------------------- sampling

void DemandModel::sample_if_due(double now) {
  if (now < next_sample_) return;
  sample(now);
  next_sample_ = std::max(next_sample_ + settings_.tuning.sample_s, now);
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
    // A job that fails everywhere is tried again where there is room; its many tasks ask for none.
    if (FaultDetector::is_faulty(*job) && !job->is_gang()) tasks = std::min(tasks, 1.0);
    const Resources demand = within_team_limits(*job, job->spec.per_task.scaled(tasks), team_sums);
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
  const Resources ahead = demand.forecast.ahead();
  spdlog::debug(
      "type {}: demand {:.0f} cpus {:.0f} gpus {:.0f} gb, ahead {:.0f}/{:.0f}/{:.0f}, "
      "spare {:.0f}/{:.0f}/{:.0f}, target {:.0f}",
      catalog_.types[type].name, demand.all.cpus, demand.all.gpus, demand.all.memory_gb, ahead.cpus,
      ahead.gpus, ahead.memory_gb, spare.cpus, spare.gpus, spare.memory_gb, demand.target);
}

}  // namespace rookdyke
