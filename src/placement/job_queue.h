#pragma once
// The order in which jobs with waiting tasks are placed. Owns the order of the current round and
// writes the jobs' rank in it (JobPlacement::guaranteed, JobPlacement::urgency). Rebuilt by
// Placement at the start of every round; read by the parts that place, preempt and reserve.
//
// Starved jobs come first, then those within their team's guarantee, then by priority; among
// equals the most urgent one comes first. The order is total: equal urgency goes by job index.

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

  // Ranks all open jobs that have waiting tasks and may start them now.
  void rebuild(double now);

  // The jobs to place, first one first, as of the last rebuild.
  const std::vector<Index>& order() const { return order_; }
  // The smallest amount of each resource that any waiting task requests, as of the last rebuild;
  // very large if none waits.
  const Resources& smallest_request() const { return smallest_request_; }

  // Since when the job has waited: its acceptance, or the last start of a task of it.
  static double waiting_since(const Job& job);
  // Whether nothing of the job was started for so long that it goes before everything else.
  static bool is_starved(const Job& job, double now);

 private:
  void find_guaranteed();
  double urgency(const Job& job, double now) const;

  const Settings& settings_;
  const Catalog& catalog_;
  JobTable& jobs_;
  std::vector<Index> order_;
  Resources smallest_request_;
};

}  // namespace rookdyke
