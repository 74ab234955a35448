#pragma once
// The jobs that the leader schedules, by dense index. Owns the jobs and their names. Only this
// class changes a job's state; only TaskLifecycle adds and removes a job's attempts.

#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "model/job.h"
#include "model/types.h"

namespace rookdyke {

class JobTable {
 public:
  using Jobs = std::vector<std::unique_ptr<Job>>;

  // Adds a job with that name, replacing an existing one. Only Job::id of the new job is set.
  Job& add(const std::string& name);
  // Removes a finished job. From then on was_erased() is true for its index, so that a late row
  // does not add the job again.
  void erase(Index job);
  bool was_erased(Index job) const { return job < erased_.size() && erased_[job]; }

  Job* find(Index job) { return job < jobs_.size() ? jobs_[job].get() : nullptr; }
  const Job* find(Index job) const { return job < jobs_.size() ? jobs_[job].get() : nullptr; }
  Job* find(const std::string& name) { return find(names_.find(name)); }
  const Job* find(const std::string& name) const { return find(names_.find(name)); }
  // The index of the name, also after erase(); kNone if it was never added.
  Index index_of(const std::string& name) const { return names_.find(name); }

  // Requires that the job is in the table.
  Job& operator[](Index job) { return *jobs_[job]; }
  const Job& operator[](Index job) const { return *jobs_[job]; }

  // Iterates by job index. Elements are null for indices without a job.
  Jobs::const_iterator begin() const { return jobs_.begin(); }
  Jobs::const_iterator end() const { return jobs_.end(); }
  // Number of jobs in the table, in any state.
  size_t count() const { return count_; }

  // Jobs whose tasks are all done, in state open, closing or done. They leave the set when they are
  // erased or cancelled.
  const std::set<Index>& completed() const { return completed_; }
  void mark_completed(const Job& job) { completed_.insert(job.id); }
  void unmark_completed(const Job& job) { completed_.erase(job.id); }

  // Changes the job's state and logs the transition. If the state machine does not allow the
  // transition, returns false, changes nothing and logs an error.
  static bool set_state(Job& job, JobState to);

 private:
  NameTable names_;
  Jobs jobs_;
  std::vector<bool> erased_;
  std::set<Index> completed_;
  size_t count_ = 0;
};

}  // namespace rookdyke
