#pragma once
// Watches a deployment from outside, as the users do, for broken rules. It knows what really runs
// where and what users were told; it knows nothing of the service's insides. The World owns one and
// tells it what happens; the rules are in answer_rules.h, placement_rules.h and waiting_rules.h.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "checker/observations.h"

namespace rookdyke::test {

class Checker {
 public:
  // Without types, no job is too large for them.
  Checker(std::vector<TeamQuota> teams, double cancel_s, std::vector<MachineType> types = {})
      : deployment_{std::move(teams), std::move(types), cancel_s} {}

  // ---- What users do and are told.
  void submitted(double now, const JobSpec& spec, bool lacks_a_field = false);
  // `answer`: "pending", "running", "done", "aborted", "404", "400", "422"; others are failures.
  // `now`: when it is heard.
  void told(double now, const std::string& job, const std::string& answer, bool cancel_asked,
            const Asked& when = {});
  // Counts from `troubles_over` on, however others fare; before that only while others are
  // answered.
  void poll_failed(double now, const std::string& job, bool others_answered);
  double troubles_over = 1e18;

  // ---- What really happens.
  // `ordered_at`: when a controller gave out the command that starts it; negative: not known.
  void starts(double now, const std::string& job, uint32_t task, const Place& at,
              double ordered_at = -1);
  void leaves(const std::string& job, uint32_t task, const std::string& machine);
  void completed(const std::string& job, uint32_t task) { jobs_[job].done.insert(task); }
  void tick(double now);
  // Where there is room, and how many tasks of each job the machines hold, those that still fetch
  // their images included. Jobs that fail by themselves are left out: they may be put off.
  void rooms(double now, const std::vector<Room>& rooms, const std::map<std::string, size_t>& held);
  void fails_by_itself(const std::string& job) { jobs_[job].faulty = true; }

  // ---- What was found.
  const std::vector<std::string>& broken() const { return violations_.all(); }
  bool is_broken(const std::string& rule) const { return violations_.has(rule); }
  // See unfair_shares (waiting_rules.h).
  std::vector<std::string> unfair(double begin_within_s) const;
  size_t starts_seen() const { return starts_; }

 private:
  Deployment deployment_;
  JobObservations jobs_;
  Violations violations_;
  size_t starts_ = 0;
};

}  // namespace rookdyke::test
