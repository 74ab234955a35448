#pragma once
// What the checker has seen of a deployment from outside: what really runs where, and what users
// were told. The Checker owns one and records what happens in it; the rules read it, and keep here
// what they remember of a job.

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "model/types.h"

namespace rookdyke::test {

// A machine that runs a task.
struct Place {
  std::string machine, type, zone;
  bool spot = false;
};

// What is free on a machine that can take tasks.
struct Room {
  std::string type, zone;
  bool spot = false;
  Resources free;
};

// When the question was put that an answer belongs to, and when which controller gave the answer.
// Negative times: at the moment at which it was heard. Negative controller: not known.
struct Asked {
  double asked = -1, given = -1;
  int controller = -1;
};

// All times in seconds; negative: not yet.
struct JobObservation {
  JobSpec spec;
  bool lacks_a_field = false;  // its submission does
  bool faulty = false;         // it fails by itself, and may be put off
  double submitted_at = -1;

  std::map<uint32_t, std::map<std::string, Place>> on;  // task -> machine -> place
  std::set<uint32_t> done;
  double begun_at = -1;

  // What users were told.
  bool accepted = false, called_done = false, called_aborted = false, cancel_asked = false;
  double accepted_at = -1, over_at = -1;  // when a user first heard so
  std::map<int, double> open_said;        // by controller: when it last called the job unfinished
  std::map<int, double> over_said;        // by controller: when it first called the job over
  double cancelled_at = -1;               // when a controller first said so

  double failing_since = -1;  // polls, while others were answered
  double silent_since = -1;   // polls, whether or not others were answered
  double waits_since = -1;    // though there is room
};

using JobObservations = std::map<std::string, JobObservation>;

// The broken rules, each by its name, with the time and what happened.
class Violations {
 public:
  void add(double now, const std::string& rule, const std::string& what) {
    all_.push_back(rule + " at " + std::to_string(now) + ": " + what);
  }
  bool has(const std::string& rule) const;
  const std::vector<std::string>& all() const { return all_; }

 private:
  std::vector<std::string> all_;
};

// What every rule knows of the deployment.
struct Deployment {
  std::vector<TeamQuota> teams;
  std::vector<MachineType> types;  // empty: no job is too large for them
  double cancel_s = 0;             // within which a cancelled job has to leave its machines

  // Null: there is no such team.
  const TeamQuota* team(const std::string& name) const;
};

// Whether a list of machine types, of which an empty one names all, has that type.
bool allows_type(const std::vector<std::string>& types, const std::string& type);
bool is_within_quota(const TeamQuota& team, const Resources& used);

}  // namespace rookdyke::test
