// Demand, the target, and the machines: rent ahead, drain after a lull, return.

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "scheduler/scheduler.h"

namespace rookdyke {

namespace {

// A new leader's machines get this long to find it before their silence means anything: a worker
// needs up to 4 s of no answer, 1 s a node and one report interval.
constexpr double kTakeoverGrace = 8;
// After the lull machines are drained once in this time, as long as the target stays below: one, or
// this share of the surplus. One a sample (5 s) left thirty of forty machines idle for two minutes
// after the last burst; one a second would take ten minutes over six hundred.
constexpr double kDrainEvery = 1;
constexpr double kDrainShare = 0.1;
// A cancelled job's tasks that are still not proven gone after this share of cancel_s: their
// machine goes, for the cloud's answer is proof.
constexpr double kCancelPatience = 0.5;
// Reports that show that none of our answers arrives, for this long: returned.
constexpr double kUnreachableFor = 8;
// The share of machines that has to be silent, beyond two, for a common cause to be likely: single
// ones fail by a few in an hour.
constexpr double kManyShare = 0.05;
// In machines' shares: how much rather one without replicas of services is drained than one with.
constexpr double kKeepReplicas = 10;
// Of machines that acknowledge no command, for the cause to be our own slowness.
constexpr double kOursShare = 0.15;
// What replacing a machine takes, in boot times: until it is up and has fetched its first image.
constexpr double kReplace = 1.25;
constexpr double kMostHired = 50;  // in one request

}  // namespace

double Scheduler::silence_limit() const {
  if (settings_.tuning.heartbeat_timeout_s > 0) return settings_.tuning.heartbeat_timeout_s;
  return std::max(3 * settings_.heartbeat_interval_s, std::min(settings_.lease_s / 2, 12.0));
}

// How long machines that fell silent together are waited for: at most for as long as replacing them
// would take, so that a wait in vain costs no more than it could have saved; and for their lease
// and half of it again, since after it they come back empty but up. Those that are dead are not
// listed any more by then.
double Scheduler::patience() const {
  double boot = 0;
  for (const MachineType& t : catalog_.types) boot = std::max(boot, t.boot_s);
  return std::max({silence_limit(), 1.5 * settings_.lease_s, kReplace * boot});
}

// A cancelled job's tasks must be gone in cancel_s: their machine is not waited for.
bool Scheduler::holds_cancelled(const Machine& m) const {
  return std::any_of(m.tasks.begin(), m.tasks.end(),
                     [&](const auto& t) { return jobs_[t.first].state == JobState::cancelled; });
}

// Whether tasks that were cancelled a good while ago may still be there. A machine that has not
// come to a new leader yet is given time to: what the ledger says of it may be long past.
bool Scheduler::holds_overdue(const Machine& m, double now) const {
  const bool unregistered_long = now - started_ > kTakeoverGrace;
  return std::any_of(m.tasks.begin(), m.tasks.end(), [&](const auto& t) {
    const Job& job = jobs_[t.first];
    if (job.state != JobState::cancelled) return false;
    const double age = now - job.cancelled_at;
    return age > kCancelPatience * settings_.cancel_s &&
           (m.registered || (unregistered_long && age < 2 * settings_.cancel_s));
  });
}

void Scheduler::release_cancelled_work(double now) {
  for (const auto& m : machines_) {
    if (m->state == MachineState::terminating || m->state == MachineState::terminated) continue;
    if (holds_overdue(*m, now))
      MachineTable::terminate(*m, "holds tasks of a cancelled job");
    else if (m->unreachable() && holds_cancelled(*m))
      MachineTable::terminate(*m, "holds tasks of a cancelled job and takes up nothing");
  }
}

// How long this machine may be silent until it is given up.
double Scheduler::waits_for(const Machine& m) const {
  return mass_silence_ && !holds_cancelled(m) ? patience() : silence_limit();
}

// And how long one that a predecessor had up, until a new leader hears it.
double Scheduler::registration_limit(const Machine& m) const {
  return std::max(waits_for(m), silence_limit() + kTakeoverGrace);
}

// The type whose machines a job's demand is counted for: the cheapest share of a machine.
Index Scheduler::demand_type(const Job& job) const {
  Index best = kNone;
  double best_price = 0;
  for (Index t = 0; t < catalog_.types.size(); ++t) {
    if (!job.types.empty() && !job.types[t]) continue;
    if (!job.spec.per_task.fits_in(catalog_.types[t].size)) continue;
    const auto& zones = catalog_.types[t].zones;
    if (!job.spec.zone.empty() &&
        std::find(zones.begin(), zones.end(), job.spec.zone) == zones.end())
      continue;
    const double price = job.spec.per_task.dominant_share(catalog_.types[t].size) *
                         (job.spec.spot ? catalog_.types[t].spot_price : catalog_.types[t].price);
    if (best == kNone || price < best_price) {
      best = t;
      best_price = price;
    }
  }
  return best;
}

// The zones that a job's demand is bound to. The target counts machines wherever they are, and was
// met by machines in a zone where a bound or scattered job could not run: it waited for ever.
void Scheduler::add_zone_demand(const Job& job, Index type, const Resources& demand,
                                const MachineCounts& machines) {
  auto& bound = type_state_[type].bound;
  const auto add = [&](Index zone) {
    if (zone == kNone) return;
    bound[zone].all += demand;
    if (!job.spec.spot) bound[zone].ordinary += demand;
  };
  // Of those that could run elsewhere too, the largest: the others have their turn after it.
  const auto reserve = [&](Index zone, double share) {
    if (zone == kNone) return;  // of a predecessor's machine that no list has told of yet
    const double n = machines_for(type, demand.scaled(share));
    TypeState::Bound& b = bound[zone];
    b.largest = std::max(b.largest, n);
    if (!job.spec.spot) b.largest_dear = std::max(b.largest_dear, n);
  };
  const auto& zones = catalog_.types[type].zones;
  if (job.zone != kNone) return add(job.zone);
  if (job.waiting.empty()) return;
  if (job.spec.single_zone) {
    // It goes on where its tasks are, or else where most machines are.
    for (const auto& [t, a] : job.attempts)
      if (a.state != AttemptState::ended) return reserve(machines_[a.machine].zone, 1);
    Index best = catalog_.zones.find(zones.front());
    auto first = machines.find({type, best});
    size_t most = first == machines.end() ? 0 : first->second;
    for (auto it = machines.lower_bound({type, 0}); it != machines.end(); ++it) {
      const auto& [machine_type, zone] = it->first;
      if (machine_type != type) break;
      if (it->second <= most) continue;
      most = it->second;
      best = zone;
    }
    return reserve(best, job.is_gang() ? 1 : 1.0 / job.tasks());
  }
  if (!job.spec.spread_zones || job.tasks() < 2 || zones.size() < 2) return;
  // At most half of it, rounded up, in one zone: the other half in a second one.
  const double half = std::floor(job.tasks() / 2.0) / job.tasks();
  reserve(catalog_.zones.find(zones[0]), half);
  reserve(catalog_.zones.find(zones[1]), half);
}

Scheduler::MachineCounts Scheduler::count_machines() const {
  MachineCounts counts_as_capacity;
  for (const auto& m : machines_)
    if (m->type != kNone && m->zone != kNone && m->state != MachineState::terminated)
      ++counts_as_capacity[{m->type, m->zone}];
  return counts_as_capacity;
}

double Scheduler::floor_of(Index type, const TypeState::Bound& b, bool ordinary) const {
  return ordinary ? std::max(b.largest_dear, machines_for(type, b.ordinary))
                  : std::max(b.largest, machines_for(type, b.all));
}

void Scheduler::sample_demand(double now) {
  for (TypeState& t : type_state_) {
    t.demand = t.ordinary = {};
    t.bound.clear();
  }
  std::vector<Resources> asked(catalog_.teams.size());
  const MachineCounts machines = count_machines();
  for (const auto& job : jobs_) {
    if (!job || job->is_finished()) continue;
    const Index t = demand_type(*job);
    if (t == kNone) continue;
    double n = job->tasks() - job->done_count;
    // A job that fails everywhere is tried again where there is room; its many tasks ask for none.
    if (FaultDetector::is_faulty(*job) && !job->is_gang()) n = std::min(n, 1.0);
    Resources d = job->spec.per_task.scaled(n);
    // What a team's limit keeps from running is no demand for machines.
    for (const TeamQuota& team : settings_.teams) {
      if (team.name != job->spec.team) continue;
      Resources& sum = asked[job->team];
      double share = 1;
      if (team.cpus_max > 0 && d.cpus > 0)
        share = std::min(share, std::max(0.0, team.cpus_max - sum.cpus) / d.cpus);
      if (team.gpus_max > 0 && d.gpus > 0)
        share = std::min(share, std::max(0.0, team.gpus_max - sum.gpus) / d.gpus);
      d = d.scaled(share);
      sum += d;
    }
    type_state_[t].demand += d;
    add_zone_demand(*job, t, d, machines);
    if (!job->spec.spot) type_state_[t].ordinary += d;
  }
  for (Index t = 0; t < catalog_.types.size(); ++t) {
    TypeState& s = type_state_[t];
    s.forecast.sample(now, s.demand);
    s.target = s.forecast.target(catalog_.types[t].size);
    const Resources spare = s.forecast.spare();
    spdlog::debug(
        "type {}: demand {:.0f} cpus {:.0f} gpus {:.0f} gb, ahead {:.0f}/{:.0f}/{:.0f}, "
        "spare {:.0f}/{:.0f}/{:.0f}, target {:.0f}",
        catalog_.types[t].name, s.demand.cpus, s.demand.gpus, s.demand.memory_gb,
        s.forecast.ahead().cpus, s.forecast.ahead().gpus, s.forecast.ahead().memory_gb, spare.cpus,
        spare.gpus, spare.memory_gb, s.target);
  }
}

bool Scheduler::counts_as_capacity(const Machine& m, double now) const {
  if (m.cordoned || m.reclaim_at >= 0 || m.returning || m.unreachable()) return false;
  if (m.state == MachineState::booting) {
    // Up under a predecessor and not registered yet: no late boot, however long ago it was rented.
    // Taken for one, it had a new leader rent a second fleet (docs/incidents/inc-6144.md).
    if (m.was_up) return now - m.last_heartbeat <= registration_limit(m);
    // Late ones are replaced, but not while nearly all are late: the cloud would be as slow with
    // those that took their place, and each would be rented twice.
    const BootStatistics& boots = boot_tracker_.statistics_of(m);
    return now - m.rented_at <= (boots.most_are_late() ? boots.lost_after() : boots.late_after());
  }
  if (m.state != MachineState::ready) return false;
  return now - m.last_heartbeat <= (mass_silence_ ? patience() : silence_limit());
}

double Scheduler::machines_for(Index type, const Resources& demand) const {
  const Resources size = catalog_.types[type].size.scaled(settings_.tuning.safe_fraction);
  return std::ceil(demand.dominant_share(size) - 1e-9);
}

// A machine on its way out is the fastest machine to be had.
bool Scheduler::reuse_draining(Index ti, Index zone, bool ordinary) {
  for (const auto& m : machines_)
    if (m->type == ti && m->zone == zone && m->state == MachineState::draining && !m->cordoned &&
        m->reclaim_at < 0 && !(ordinary && m->spot))
      return MachineTable::set_state(*m, MachineState::ready, "needed again in its zone");
  return false;
}

// Asks for machines; false: that zone has lately had none of the kind.
bool Scheduler::rent(Index ti, Index zone, bool spot, double count, double now) {
  const auto& refused = type_state_[ti].refused_until;
  if (auto r = refused.find({zone, spot}); r != refused.end() && now < r->second) return false;
  RentalRequest h;
  // Invariant 4: the token makes the name unique among leaders, the number within this one.
  h.name =
      "h-" + std::to_string(claim_.fencing_token()) + "-" + std::to_string(++next_rental_number_);
  h.type = catalog_.types[ti].name;
  h.zone = catalog_.zones.name(zone);
  h.spot = spot;
  h.count = static_cast<int>(std::clamp(count, 1.0, kMostHired));
  rental_requests_.push_back(h);
  rent_at_ = now + settings_.tuning.rental_interval_s;
  return true;
}

void Scheduler::plan_type(Index ti, double now) {
  TypeState& s = type_state_[ti];
  const MachineType& type = catalog_.types[ti];
  double total = 0, ordinary = 0;
  std::map<Index, double> per_zone, ordinary_in;
  for (const std::string& z : type.zones) per_zone[catalog_.zones.find(z)] = 0;
  for (const auto& mp : machines_) {
    const Machine& m = *mp;
    if (m.type != ti || !counts_as_capacity(m, now)) continue;
    ++total;
    if (!m.spot) {
      ++ordinary;
      ++ordinary_in[m.zone];
    }
    ++per_zone[m.zone];
  }
  double asked = 0;
  for (const RentalRequest& h : rental_requests_)
    if (h.type == type.name) {
      asked += h.count;
      if (!h.spot) ordinary += h.count;
      per_zone[catalog_.zones.find(h.zone)] += h.count;
    }
  total += asked;
  // Exception to the design's one count per type: spot machines cannot serve jobs that may not
  // use them, so those jobs' demand is a floor for the ordinary ones.
  const double ordinary_need = machines_for(ti, s.ordinary);
  // And a second: jobs that can run in one zone alone are a floor for the machines there.
  for (const auto& [zone, b] : s.bound) {
    if (asked > 0 || now < rent_at_) break;
    const double dear = floor_of(ti, b, true) - ordinary_in[zone];
    const double lack = std::max(dear, floor_of(ti, b, false) - per_zone[zone]);
    if (lack <= 0) continue;
    if (reuse_draining(ti, zone, dear > 0)) return;
    if ((dear <= 0 && rent(ti, zone, true, lack, now)) || rent(ti, zone, false, lack, now)) return;
  }
  double gap = std::max(s.target - total, ordinary_need - ordinary);
  if (gap <= 0) {
    if (total > s.target) {
      if (s.above_since < 0) s.above_since = now;
    } else {
      s.above_since = -1;
    }
    return;
  }
  s.above_since = -1;
  // A machine on its way out is the fastest machine to be had.
  for (const auto& mp : machines_) {
    Machine& m = *mp;
    if (gap <= 0) return;
    if (m.type != ti || m.state != MachineState::draining || m.cordoned || m.reclaim_at >= 0)
      continue;
    if (ordinary < ordinary_need && m.spot && total >= s.target) continue;
    if (MachineTable::set_state(m, MachineState::ready, "needed again")) --gap;
  }
  if (gap <= 0 || asked > 0 || now < rent_at_) return;
  const bool spot_demand =
      s.demand.dominant_share(type.size) > s.ordinary.dominant_share(type.size) + 1e-9;
  auto pick_zone = [&](bool spot) {
    Index best = kNone;
    for (const auto& [z, n] : per_zone) {
      auto r = s.refused_until.find({z, spot});
      if (r != s.refused_until.end() && now < r->second) continue;
      if (best == kNone || n < per_zone.at(best)) best = z;
    }
    return best;
  };
  bool spot = spot_demand && ordinary >= ordinary_need;
  double count = spot ? gap : std::min(gap, std::max(1.0, ordinary_need - ordinary));
  if (!spot_demand) count = gap;
  Index zone = pick_zone(spot);
  if (zone == kNone && (spot || (spot_demand && total < s.target))) {
    spot = !spot;
    count = gap;

    zone = pick_zone(spot);
  }
  if (zone == kNone) return;
  // Spread over the zones, so that a cut or a wave takes less.
  count = std::min(
      count,
      std::max(1.0, std::ceil(gap / static_cast<double>(std::max<size_t>(1, per_zone.size())))));
  rent(ti, zone, spot, count, now);
}

void Scheduler::plan_fleet(double now) {
  for (Index t = 0; t < catalog_.types.size(); ++t) plan_type(t, now);
  for (Index t = 0; t < catalog_.types.size(); ++t) {
    TypeState& s = type_state_[t];
    if (s.above_since < 0 || now - s.above_since < settings_.tuning.scale_in_delay_s) continue;
    drain_surplus(t, now);
    s.above_since += kDrainEvery;
  }
}

// After the lull, the emptiest machines are drained.
void Scheduler::drain_surplus(Index t, double now) {
  TypeState& s = type_state_[t];
  const double need = machines_for(t, s.ordinary);
  std::vector<std::pair<double, Index>> emptiest;
  size_t total = 0, ordinary = 0;
  std::map<Index, double> per_zone, ordinary_in;
  for (const auto& m : machines_) {
    if (m->type != t || !counts_as_capacity(*m, now)) continue;
    ++total;
    ordinary += !m->spot;
    ++per_zone[m->zone];
    ordinary_in[m->zone] += !m->spot;
    // Of equally empty ones, the dearer goes first.
    if (m->state != MachineState::ready) continue;
    const double keep = replicas_.holds_replicas(*m) ? kKeepReplicas : 0;
    emptiest.emplace_back(
        m->used.dominant_share(catalog_.types[t].size) + (m->spot ? 1e-3 : 0) + keep, m->index);
  }
  // Each replica that moves is missed meanwhile: machines with some go one at a time.
  bool replicas_move = std::any_of(machines_.begin(), machines_.end(), [this](const auto& m) {
    return m->state == MachineState::draining && replicas_.holds_replicas(*m);
  });
  std::sort(emptiest.begin(), emptiest.end());
  const double surplus = static_cast<double>(total) - s.target;
  double left = std::max(1.0, std::ceil(kDrainShare * surplus));
  for (const auto& [filled, i] : emptiest) {
    if (left <= 0) break;
    Machine& m = machines_[i];
    const bool with_replicas = replicas_.holds_replicas(m);
    if (with_replicas && (replicas_move || !replicas_.holds_only_replicas(m))) continue;
    if (!m.spot && static_cast<double>(ordinary) <= need) continue;
    if (auto b = s.bound.find(m.zone); b != s.bound.end()) {
      if (per_zone[m.zone] <= floor_of(t, b->second, false)) continue;
      if (!m.spot && ordinary_in[m.zone] <= floor_of(t, b->second, true)) continue;
    }
    replicas_move = replicas_move || with_replicas;
    --per_zone[m.zone];
    ordinary_in[m.zone] -= !m.spot;
    if (!m.spot) --ordinary;
    --left;
    MachineTable::drain(m, now, "lull");
  }
}

// Many machines that fall silent together are cut off rather than dead: they come back, with
// images and, within their lease, with their work, sooner than others could be booted.
bool Scheduler::is_mass_silence(double now) const {
  size_t registered = 0, missing = 0;
  for (const auto& m : machines_) {
    // Those of a predecessor that have not come yet count too.
    if (!(m->registered || (m->was_up && m->state == MachineState::booting)) ||
        m->state == MachineState::terminated || m->state == MachineState::terminating ||
        m->reclaim_at >= 0)
      continue;
    ++registered;
    if (now - m->last_heartbeat > 1.6 * settings_.heartbeat_interval_s && m->unlisted_at < 0)
      ++missing;
  }
  return missing >= 3 &&
         static_cast<double>(missing) >= kManyShare * static_cast<double>(registered);
}

void Scheduler::check_machines(double now) {
  // They come back one by one: the last of a cut are waited for as the first were.
  if (is_mass_silence(now)) mass_silence_until_ = now + kTakeoverGrace;
  mass_silence_ = now < mass_silence_until_;
  boot_tracker_.update(now);
  // Many machines that acknowledge no command at once are our own slowness.
  size_t registered = 0, unreachable_machines = 0;
  for (const auto& m : machines_)
    if (m->registered && m->state != MachineState::terminated) {
      ++registered;
      unreachable_machines += m->unreachable();
    }
  const bool ours = unreachable_machines >= 5 && static_cast<double>(unreachable_machines) >=
                                                     kOursShare * static_cast<double>(registered);
  for (const auto& mp : machines_) {
    Machine& m = *mp;
    const double silent = now - m.last_heartbeat;
    if (!m.unreachable())
      m.unacknowledged_since = -1;
    else if (m.unacknowledged_since < 0)
      m.unacknowledged_since = now;
    if (m.state != MachineState::terminating && m.state != MachineState::terminated) {
      if (m.unacknowledged_since >= 0 && !ours &&
          (now - m.unacknowledged_since > kUnreachableFor || holds_cancelled(m))) {
        MachineTable::terminate(m, "takes up nothing of what it is answered");
        continue;
      }
      if (holds_overdue(m, now)) {
        MachineTable::terminate(m, "holds tasks of a cancelled job");
        continue;
      }
    }
    switch (m.state) {
      case MachineState::booting: {
        // One that was up under a predecessor has work on it, and is waited for as such.
        if (m.heartbeats_with_older_token >= 3 && now - m.older_token_since > kUnreachableFor &&
            (!m.was_up || holds_cancelled(m))) {
          MachineTable::terminate(m, "takes up none of our answers");
        } else if (m.was_up) {
          // The ledger has tasks on it, so it was up under a predecessor.
          if (silent > registration_limit(m))
            MachineTable::terminate(m, "not heard since the takeover");
        } else if (m.unlisted_at >= 0 && now - m.rented_at > 2 * settings_.list_lag_s + 5) {
          MachineTable::terminate(m, "rented under a predecessor and not listed");
        } else if (now - m.rented_at > boot_tracker_.statistics_of(m).lost_after()) {
          MachineTable::terminate(m, "never came up");
        }
        break;
      }
      case MachineState::ready:
      case MachineState::draining:
        if (m.reclaim_at >= 0 && now > m.reclaim_at + 1 &&
            silent > 1.5 * settings_.heartbeat_interval_s) {
          MachineTable::terminate(m, "taken back");
        } else if (silent > waits_for(m)) {
          // Silence proves nothing; the cloud's answer to returning it does (invariant 3).
          MachineTable::terminate(m, "silent");
        } else if (m.unlisted_at >= 0 && silent > 2 * settings_.heartbeat_interval_s) {
          MachineTable::terminate(m, "silent and not listed any more");
        } else if (m.state == MachineState::draining) {
          if (m.tasks.empty() && !m.has_unknown_tasks) {
            MachineTable::terminate(m, "drained");
          } else if (replicas_.holds_only_replicas(m)) {
            replicas_.move_replicas(m, now);
          } else if (now - m.draining_since > settings_.tuning.drain_deadline_s) {
            for (const auto& [j, t] : m.tasks) {
              Job& job = jobs_[j];
              lifecycle_.stop_with_gang(job, job.attempts.at(t),
                                        job.spec.checkpoint_duration_s + kGraceMargin);
            }
          }
        }
        break;
      case MachineState::terminating:
      case MachineState::terminated:
        break;
    }
  }
}

std::optional<RentalRequest> Scheduler::next_rental_request(double now) {
  if (claim_.is_lost() || rental_in_flight_ || rental_requests_.empty() || now < rent_retry_at_)
    return std::nullopt;
  rental_in_flight_ = true;
  return rental_requests_.front();
}

void Scheduler::on_rental_result(const RentalRequest& request, CloudOutcome outcome,
                                 const std::vector<std::string>& names, double now) {
  rental_in_flight_ = false;
  if (rental_requests_.empty() || rental_requests_.front().name != request.name) return;
  const Index t = catalog_.type_names.find(request.type);
  const Index z = catalog_.zones.intern(request.zone);
  switch (outcome) {
    case CloudOutcome::done:
      for (const std::string& n : names) {
        Machine& m = machines_.get_or_add(n, now);
        if (m.state != MachineState::booting || m.registered) continue;
        m.type = t;
        m.zone = z;
        m.spot = request.spot;
        m.rented_at = now;
        machines_.mark_changed(m);
      }
      spdlog::info("hired {} of {} {} {} machines in {}", names.size(), request.count,
                   request.spot ? "spot" : "ordinary", request.type, request.zone);
      rental_requests_.pop_front();
      if (names.size() < static_cast<size_t>(request.count) && t != kNone)
        type_state_[t].refused_until[{z, request.spot}] = now + settings_.tuning.capacity_retry_s;
      break;
    case CloudOutcome::no_capacity:
      spdlog::info("no {} {} machines in {}", request.spot ? "spot" : "ordinary", request.type,
                   request.zone);
      rental_requests_.pop_front();
      if (t != kNone)
        type_state_[t].refused_until[{z, request.spot}] = now + settings_.tuning.capacity_retry_s;
      break;
    case CloudOutcome::refused:
      // Not executed. A copy of it may be under way from an earlier try, so it keeps its name.
    case CloudOutcome::unknown:
      rent_retry_at_ = now + settings_.tuning.rental_interval_s;
      break;
  }
}

std::vector<std::string> Scheduler::next_return(double now, bool cancelled_only) {
  std::vector<std::string> out;
  if (claim_.is_lost()) return out;
  for (const auto& m : machines_) {
    if (m->state != MachineState::terminating || m->returning || now < m->return_after) continue;
    if (cancelled_only && !holds_cancelled(*m)) continue;
    m->returning = true;
    out.push_back(m->name);
    if (out.size() == 100) break;
  }
  return out;
}

void Scheduler::drop_machine(Machine& m, double now, const char* why) {
  if (!MachineTable::set_state(m, MachineState::terminated, why)) return;
  const auto here = m.tasks;
  for (const auto& [j, t] : here) lifecycle_.end(jobs_[j], t, ExitCause::none, now, why);
  machines_.mark_changed(m);
}

void Scheduler::on_return(const std::vector<std::string>& names, CloudOutcome outcome, double now) {
  for (const std::string& n : names) {
    const Index i = machines_.index_of(n);
    if (i == kNone) continue;
    Machine& m = machines_[i];
    m.returning = false;
    if (outcome == CloudOutcome::done)
      drop_machine(m, now, "returned");
    else
      m.return_after = now + 1;
  }
}

void Scheduler::on_machine_list(const std::vector<ListedMachine>& list, double asked, double now) {
  std::set<Index> seen;
  for (const ListedMachine& l : list) {
    Machine& m = machines_.get_or_add(l.name, now);
    seen.insert(m.index);
    if (m.state == MachineState::terminated) continue;  // the list lags
    m.listed = true;
    m.unlisted_at = -1;
    if (m.type == kNone) {
      m.type = catalog_.type_names.find(l.type);
      m.zone = catalog_.zones.intern(l.zone);
      m.spot = l.spot;
      machines_.mark_changed(m);
    }
    if (m.addr.empty()) m.addr = l.addr;
    if (!m.registered) m.rented_at = std::min(m.rented_at, now - l.age_s);
    if (l.state == ListedMachine::State::running && !m.registered && !m.was_up) {
      m.was_up = true;
      m.last_heartbeat = now;  // from here on its silence means something, not since it was rented
    }
    if (l.state == ListedMachine::State::failed && m.state != MachineState::terminating)
      MachineTable::terminate(m, "failed");
  }
  for (const auto& mp : machines_) {
    Machine& m = *mp;
    if (m.state == MachineState::terminated || seen.count(m.index)) continue;
    // A list may be older than the one before it: an absence counts only when the machine was
    // listed before, or is older than any list can lag.
    if (m.listed || asked - m.rented_at > 2 * settings_.list_lag_s + 1) {
      if (m.unlisted_at < 0) m.unlisted_at = now;
    }
  }
}

}  // namespace rookdyke
