#include "simulation/world.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace rookdyke::test {

namespace {
// Seconds.
constexpr double kTickInterval = 0.5;
constexpr double kRoomCheckInterval = 5;  // how often the checker is told about free resources
constexpr double kLeastLateness = 2, kLatenessSpread = 10;  // of late writes
constexpr double kKeptHeartbeatSpread = 0.3;
}  // namespace

World::World(Settings s, std::vector<MachineType> t, size_t controller_count, uint64_t seed)
    : store(clock),
      settings(std::move(s)),
      types(std::move(t)),
      random(seed),
      checker(settings.teams, settings.cancel_s, types),
      network(*this),
      cloud(*this),
      gangs(*this),
      users(*this) {
  store.value_bytes = settings.value_bytes;
  store.txn_ops = settings.txn_ops;
  inject_store_faults();
  for (size_t i = 0; i < controller_count; ++i)
    controllers.push_back(std::make_unique<SimController>(*this, i));
}

void World::inject_store_faults() {
  store.lateness = [this] {
    const bool late = faults.late_writes > 0 && chance() < faults.late_writes;
    return late ? kLeastLateness + kLatenessSpread * chance() : -1.0;
  };
  store.loses_answer = [this] {
    const bool lost = faults.lost_answers > 0 && chance() < faults.lost_answers;
    if (lost) record_event("answer_lost");
    return lost;
  };
}

void World::start() {
  for (auto& c : controllers) c->boot();
  tick();
}

void World::tick() {
  checker.tick(clock.now);
  if (clock.now >= std::max(checker.troubles_over, next_room_check_)) {
    next_room_check_ = clock.now + kRoomCheckInterval;
    tell_checker_of_room();
  }
  clock.after(kTickInterval, [this] { tick(); });
}

void World::tell_checker_of_room() {
  std::vector<Room> rooms;
  std::map<std::string, size_t> held;
  for (const auto& [name, w] : cloud.workers) {
    if (w->terminated || !w->up) continue;
    Resources free = w->type.size;
    for (const auto& [key, t] : w->tasks) {
      if (t.phase == TaskPhase::exited) continue;
      free -= users.jobs.at(key.job).spec.per_task;
      ++held[key.job];
    }
    // One that hangs, fails its tasks or is about to be taken has no room for anybody.
    if (!w->hung && !w->sick && !w->is_recalled())
      rooms.push_back({w->type.name, w->zone, w->spot, free});
  }
  checker.rooms(clock.now, rooms, held);
}

SimController* World::leader() {
  SimController* latest = nullptr;
  for (auto& c : controllers)
    if (c->alive && c->leading() && (!latest || c->fencing_token() > latest->fencing_token()))
      latest = c.get();
  return latest;
}

void World::on_leader_elected() {
  led_since_ = clock.now;
  record_event("leader_begins");
  for (const Heartbeat& heartbeat : kept_heartbeats_)
    for (auto& c : controllers)
      clock.after(kMessageDelay + kKeptHeartbeatSpread * chance(),
                  [this, heartbeat, controller = c.get()] {
                    if (!controller->alive) return;
                    if (controller->leading()) record_event("old_report_as_leader_begins");
                    controller->on_heartbeat(heartbeat);
                  });
  kept_heartbeats_.clear();
}

void World::keep_copy(const Heartbeat& heartbeat) {
  if (faults.kept_heartbeats > 0 && chance() < faults.kept_heartbeats)
    kept_heartbeats_.push_back(heartbeat);
}

void World::count_heartbeat(const Heartbeat& heartbeat) {
  ++event_counts["heartbeats"];
  for (const TaskStatus& status : heartbeat.tasks)
    event_counts["exited_listed"] += status.phase == TaskPhase::exited;
  size_t& longest = event_counts["longest_list"];
  longest = std::max(longest, heartbeat.tasks.size());
}

void World::record_event(const std::string& what) {
  ++event_counts[what];
  spdlog::debug("{:.3f}: met {}", clock.now, what);
}

}  // namespace rookdyke::test
