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
  void submitted(const JobSpec& spec) { jobs_[spec.id].spec = spec; }
  // `answer`: "pending", "running", "done", "aborted", "404", "400", "422"; others are failures.
  void told(double now, const std::string& job, const std::string& answer, bool cancel_asked);
  void poll_failed(double now, const std::string& job, bool others_answered);

  // What really happens.
  void starts(double now, const std::string& job, uint32_t task, const Place& at);
  void leaves(const std::string& job, uint32_t task, const std::string& machine);
  void completed(const std::string& job, uint32_t task) { jobs_[job].done.insert(task); }
  void tick(double now);

  const std::vector<std::string>& broken() const { return broken_; }
  bool is_broken(const std::string& rule) const;
  size_t starts_seen() const { return starts_; }

 private:
  struct JobTruth {
    JobSpec spec;
    std::map<uint32_t, std::map<std::string, Place>> on;  // task -> machine -> place
    std::set<uint32_t> done;
    bool accepted = false, called_done = false, called_aborted = false, cancel_asked = false;
    double aborted_at = -1;
    double failing_since = -1;
  };
  void breaks(double now, const std::string& rule, const std::string& what);

  std::vector<TeamInfo> teams_;
  double cancel_s_;
  std::map<std::string, JobTruth> jobs_;
  std::vector<std::string> broken_;
  size_t starts_ = 0;
};

}  // namespace rookdyke::test
