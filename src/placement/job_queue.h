#pragma once
// The order in which jobs with waiting tasks are placed in a round. Sets the jobs' sort keys
// JobPlacement::guaranteed and JobPlacement::queue_key. Placement rebuilds the queue at the start
// of every round; the classes that place, preempt and reserve read it.
//
// Starved jobs come first, beginning with the one that has waited longest. Other jobs are ordered
// by whether they are within their team's guarantee, then by priority, then by
// JobPlacement::queue_key (lowest value first). Ties are broken by job index.

#include <vector>

#include "model/job.h"
#include "model/settings.h"
#include "model/types.h"
#include "scheduler/catalog.h"
#include "scheduler/job_table.h"

namespace rookdyke {

class JobQueue {
 public:
  // All must outlive this object.
  JobQueue(const Settings& settings, const Catalog& catalog, JobTable& jobs)
      : settings_(settings), catalog_(catalog), jobs_(jobs) {}

  // Orders all open jobs that have waiting tasks and may start them now.
  void rebuild(double now);

  // Job indices in the order of placement, as of the last rebuild.
  const std::vector<Index>& order() const { return order_; }
  // The minimum of each resource over the requests of all waiting tasks, as of the last rebuild;
  // very large if no task waits.
  const Resources& smallest_request() const { return smallest_request_; }

  // The time since which the job has waited: the later of its acceptance and its last start
  // (JobPlacement::last_start).
  static double waiting_since(const Job& job);
  // Whether the job has waited beyond its limit, so that it precedes all jobs that have not.
  static bool is_starved(const Job& job, double now);

 private:
  void update_guaranteed();
  double queue_key(const Job& job, double now) const;

  const Settings& settings_;
  const Catalog& catalog_;
  JobTable& jobs_;
  std::vector<Index> order_;
  Resources smallest_request_;
};

}  // namespace rookdyke
