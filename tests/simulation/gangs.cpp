#include "simulation/gangs.h"

#include <vector>

#include "simulation/world.h"

namespace rookdyke::test {

namespace {
constexpr double kPeerLossNoticed = 0.9;  // share of gang_peer_s after which peers notice
}

void Gangs::on_member_waiting(const std::string& id, uint64_t attempt) {
  struct Member {
    Worker* worker;
    uint32_t task;
  };
  std::vector<Member> members;
  for (auto& [name, w] : world_.cloud.workers)
    for (auto& [key, t] : w->tasks)
      if (key.job == id && t.attempt == attempt && t.phase == TaskPhase::gang_waiting)
        members.push_back({w.get(), key.task});
  if (members.size() < world_.users.jobs.at(id).spec.tasks) return;
  for (const Member& m : members) m.worker->run_gang_member({id, m.task});
}

void Gangs::on_member_lost(const std::string& id, uint64_t attempt) {
  const auto is_running_member = [id, attempt](const TaskKey& key, const Worker::Task& t) {
    return key.job == id && t.attempt == attempt && t.phase == TaskPhase::running;
  };
  for (auto& [name, w] : world_.cloud.workers)
    for (auto& [key, t] : w->tasks)
      if (is_running_member(key, t)) t.step = world_.new_step();
  world_.clock.after(world_.settings.gang_peer_s * kPeerLossNoticed, [this, is_running_member] {
    for (auto& [name, w] : world_.cloud.workers)
      for (auto& [key, t] : w->tasks)
        if (is_running_member(key, t)) {
          w->leave(key, ExitCause::gang_peer_lost, false);
          break;
        }
  });
}

}  // namespace rookdyke::test
