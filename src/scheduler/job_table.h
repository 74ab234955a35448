#pragma once
// The jobs that the leader schedules, by dense index. Owns them and their names; the only place
// where a job's state changes. Whoever changes a job's attempts goes through TaskLifecycle.

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

  // A new job of that name, in place of one that may be there. Its id is set, and nothing else.
  Job& add(const std::string& name);
  // Forgets a job that is over. It is never taken up again: was_erased() stays true.
  void erase(Index job);
  bool was_erased(Index job) const { return job < erased_.size() && erased_[job]; }

  Job* find(Index job) { return job < jobs_.size() ? jobs_[job].get() : nullptr; }
  const Job* find(Index job) const { return job < jobs_.size() ? jobs_[job].get() : nullptr; }
  Job* find(const std::string& name) { return find(names_.find(name)); }
  const Job* find(const std::string& name) const { return find(names_.find(name)); }
  // The index of a name that was ever added; else kNone.
  Index index_of(const std::string& name) const { return names_.find(name); }

  // The job must be there.
  Job& operator[](Index job) { return *jobs_[job]; }
  const Job& operator[](Index job) const { return *jobs_[job]; }

  // By job index; empty where a job is over or unknown.
  Jobs::const_iterator begin() const { return jobs_.begin(); }
  Jobs::const_iterator end() const { return jobs_.end(); }
  // Jobs that are there, whatever their state.
  size_t count() const { return count_; }

  // Open jobs all of whose tasks are done: their final state is to be written.
  const std::set<Index>& completed() const { return completed_; }
  void mark_completed(const Job& job) { completed_.insert(job.id); }
  void unmark_completed(const Job& job) { completed_.erase(job.id); }

  // False: the state machine has no such step, which is logged; nothing changes.
  static bool set_state(Job& job, JobState to);

 private:
  NameTable names_;
  Jobs jobs_;
  std::vector<bool> erased_;
  std::set<Index> completed_;
  size_t count_ = 0;
};

}  // namespace rookdyke
