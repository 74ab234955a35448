// The leader ends while machines that came up a second ago, and are not on the rented list yet,
// hold replicas of services that are spread over zones. See claim.txt.

#include "rig.h"

using namespace rig;

namespace {

// The machines that the project's rented list names. Only the moment of the crash goes by it, not
// the check.
std::set<std::string> rented_list(StateService& state) {
  std::set<std::string> names;
  for (const auto& [key, value] : state.values("rd/f/"))
    for (const json& group : value.value("machines", json::array()))
      for (const json& name : group.at(3)) names.insert(name.get<std::string>());
  return names;
}

}  // namespace

int main(int, char** argv) {
  const char* folder = argv[1];
  begin_case(folder);
  Floor floor;
  std::mutex mutex;
  std::string broken;
  // The rule: of the tasks of a job with `scatter`, at most half, rounded up, may be in one zone.
  floor.on_begin = [&](const std::vector<TaskRun>& runs, const TaskRun& started) {
    const json job = *floor.job(started.job);
    if (!job["scatter"].get<bool>()) return;
    const int most = (job["shifts"].get<int>() + 1) / 2;
    int here = 0;
    std::string places;
    for (const TaskRun& r : runs) {
      if (r.job != started.job || r.ends_at >= 0 || r.zone != started.zone) continue;
      ++here;
      places += " " + std::to_string(r.task) + "@" + r.machine;
    }
    if (here <= most) return;
    std::lock_guard lock(mutex);
    broken = "wrong_place: task " + started.job + "/" + std::to_string(started.task) +
             " starts on " + started.machine + " in zone " + started.zone + ", where then are " +
             std::to_string(here) + " of its job's " + job["shifts"].dump() + " tasks, at most " +
             std::to_string(most) + " may be:" + places;
    record().line("%s", broken.c_str());
  };

  StateService state(registo_state());
  Platform platform(3, registo_params(), {"lisboa-norte", "setubal-sul"}, 6);
  // The southern zone has no capacity.
  CloudSettings cloud_settings{
      5, 0.08, {tejo()}, {{{"lisboa-norte", false}, 10}, {{"lisboa-norte", true}, 10}}};
  Cloud cloud(cloud_settings, {3, 29, platform.nodes()}, floor);
  cloud.boot_s = [](int) { return random_in(0.8, 1.2); };
  std::atomic<double> killed_at{-1};
  // The list lags by list_lag_s, in the seconds after the crash by up to twice that.
  cloud.list_lag_s = [&] { return killed_at >= 0 && now() < killed_at + 4 ? 6.0 : 3.0; };
  platform.start(state.port(), cloud.port());
  Users users(platform.nodes());
  if (!wait_until(15, [&] { return users.any_healthy(); }))
    finish(kCannotRun, "no controller is healthy", &platform);

  const auto filing_sweep = [&](int number, int tasks) {
    json j = job("wk-" + std::to_string(100000 + number), "filing-sweep", "extraction", "array",
                 tasks, 10, 1, 72);
    j["loaners"] = true;
    floor.add_job(j, 90);
    users.submit(j);
  };
  const auto lookup_api_job = [&](int number) {
    json j = job("wk-" + std::to_string(200000 + number), "lookup-api", "extraction", "service", 4,
                 2, 0, 12.8);
    j["rank"] = "critical";
    j["scatter"] = true;
    j["expected_s"] = 0.0;
    j["kit"] = "img-02";
    return j;
  };
  const json replica = lookup_api_job(0);

  filing_sweep(0, 6);
  std::set<std::string> used;
  std::string service;
  Worker* fresh = nullptr;
  for (int attempt = 0; attempt < 8 && !fresh; ++attempt) {
    // An ordinary machine that just came up, knows the leader and is not on the list; and a few
    // others that have room for replicas too.
    Worker* candidate = nullptr;
    wait_until(now() + 12, [&] {
      const std::set<std::string> listed = rented_list(state);
      candidate = nullptr;
      int others = 0;
      for (Worker* w : cloud.workers()) {
        if (w->warrant() == 0) continue;
        if (!listed.count(w->name()) && !used.count(w->name()) && !w->spot()) candidate = w;
        others += !w->spot() && w->has_room_for(replica);
      }
      if (others < 4) candidate = nullptr;
      return candidate != nullptr;
    });
    if (!candidate) {
      filing_sweep(10 + attempt, 6);
      continue;
    }
    used.insert(candidate->name());
    std::vector<std::thread> submissions;
    for (int i = 0; i < 5; ++i) {
      const json submitted = lookup_api_job(10 * attempt + i);
      floor.add_job(submitted, 1e6);
      submissions.emplace_back([&users, submitted] { users.submit(submitted); });
    }
    for (std::thread& t : submissions) t.join();
    // Until four of the services have two replicas each, at least one of them on a machine that is
    // not on the list.
    wait_until(now() + 3, [&] {
      const std::set<std::string> listed = rented_list(state);
      std::map<std::string, int> running;
      std::map<std::string, std::string> unlisted;
      for (const TaskRun& r : floor.runs()) {
        if (r.job.rfind("wk-2", 0) != 0 || r.ends_at >= 0) continue;
        ++running[r.job];
        if (!listed.count(r.machine)) unlisted[r.job] = r.machine;
      }
      std::erase_if(unlisted, [&](const auto& entry) { return running[entry.first] < 2; });
      if (unlisted.size() < 4) return false;
      service = unlisted.begin()->first;
      fresh = cloud.worker(unlisted.begin()->second);
      return true;
    });
    if (!fresh) filing_sweep(10 + attempt, 6);
  }
  if (!fresh) finish(kCannotRun, "no replica ran on a machine that had just come up", &platform);

  const std::string leader = state.value("rd/leader").value("label", std::string());
  record().line("service %s runs on %s, up for a moment; leader %s", service.c_str(),
                fresh->name().c_str(), leader.c_str());
  if (trouble()) {
    if (!getenv("ONLY_CRASH")) fresh->cut();
    killed_at = now();
    platform.crash(platform.index_of(leader));
  }
  wait_until(now() + 25, [&] {
    std::lock_guard lock(mutex);
    return !broken.empty();
  });
  pause_s(1);
  std::lock_guard lock(mutex);
  if (!broken.empty()) finish(kBroken, broken, &platform);
  finish(kHeld, "no task started in a wrong place", &platform);
}
