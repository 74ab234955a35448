#pragma once
// Watches a scenario from outside, as the users do, for broken rules. It knows what really runs
// where and what users were told; it knows nothing of the service's insides.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/types.h"

namespace rookdyke::test {

struct Place {
  std::string machine, type, zone;
  bool spot = false;
};

class Checker {
 public:
  Checker(std::vector<TeamInfo> teams, double cancel_s)
      : teams_(std::move(teams)), cancel_s_(cancel_s) {}

  // What users do and are told.
  void submitted(double now, const JobSpec& spec) {
    jobs_[spec.id].spec = spec;
    jobs_[spec.id].submitted_at = now;
  }
  // `answer`: "pending", "running", "done", "aborted", "404", "400", "422"; others are failures.
  void told(double now, const std::string& job, const std::string& answer, bool cancel_asked);
  // Counts from `troubles_over` on, however others fare; before that only while others are
  // answered.
  void poll_failed(double now, const std::string& job, bool others_answered);
  double troubles_over = 1e18;

  // What really happens.
  void starts(double now, const std::string& job, uint32_t task, const Place& at);
  void leaves(const std::string& job, uint32_t task, const std::string& machine);
  void completed(const std::string& job, uint32_t task) { jobs_[job].done.insert(task); }
  void tick(double now);

  const std::vector<std::string>& broken() const { return broken_; }
  bool is_broken(const std::string& rule) const;
  // The users' shares: what of each class, of each team and of each class's largest jobs was not
  // cancelled and is not done by now (less than half done), and which largest jobs did not begin in
  // time. Empty: all is well.
  std::vector<std::string> unfair(double begin_within_s) const;
  size_t starts_seen() const { return starts_; }

 private:
  struct JobTruth {
    JobSpec spec;
    std::map<uint32_t, std::map<std::string, Place>> on;  // task -> machine -> place
    std::set<uint32_t> done;
    bool accepted = false, called_done = false, called_aborted = false, cancel_asked = false;
    double aborted_at = -1;
    double failing_since = -1;
    double submitted_at = -1, begun_at = -1;
  };
  void breaks(double now, const std::string& rule, const std::string& what);

  std::vector<TeamInfo> teams_;
  double cancel_s_;
  std::map<std::string, JobTruth> jobs_;
  std::vector<std::string> broken_;
  size_t starts_ = 0;
};

}  // namespace rookdyke::test
