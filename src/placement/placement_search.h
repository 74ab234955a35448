#pragma once
// Finds machines with enough free capacity for a job's waiting tasks. Keeps, for one round, the
// list of machines with free capacity and the requests that were found to fit on no machine;
// modifies neither jobs nor machines. Placement calls start_round(); the array, gang and service
// placements search.

#include <cstdint>
#include <vector>

#include "model/job.h"
#include "model/machine.h"
#include "model/types.h"
#include "placement/eligibility.h"
#include "placement/job_queue.h"
#include "placement/placement_round.h"
#include "placement/work_counters.h"
#include "scheduler/catalog.h"
#include "scheduler/job_table.h"
#include "scheduler/machine_table.h"

namespace rookdyke {

// A machine with free capacity for tasks of one job.
struct PlacementCandidate {
  double score = 0;  // equivalent seconds of image fetch; lower is better
  Index machine = kNone;
  uint32_t slots = 0;  // tasks that fit, at most the number of waiting tasks
};

struct PlacementCandidates {
  std::vector<PlacementCandidate> machines;  // by score, then by machine index
  // Whether properties of the job, and not only free capacity, may have excluded machines.
  bool job_specific = false;
};

class PlacementSearch {
 public:
  // All must outlive this object.
  PlacementSearch(const Catalog& catalog, const JobTable& jobs, const MachineTable& machines,
                  const Eligibility& eligibility, const JobQueue& queue, WorkCounters& work)
      : catalog_(catalog),
        jobs_(jobs),
        machines_(machines),
        eligibility_(eligibility),
        queue_(queue),
        work_(work) {}

  // Lists the machines that accept tasks and have free capacity for the smallest waiting request.
  // Called once per round, after the queue has been rebuilt.
  void start_round(double now);

  // Returns all candidates for tasks of the job; one search serves all of its waiting tasks.
  PlacementCandidates find(const Job& job, double now, ImageLocality locality);

  // Whether an earlier search in this round has found that `count` tasks with requirements like the
  // job's do not fit.
  bool is_known_unplaceable(const Job& job, uint32_t count) const;
  // Records that `count` tasks of the job do not fit, for reasons that apply to other jobs as well.
  void record_unplaceable(const Job& job, uint32_t count);

  // Whether the machine has the job's image or is fetching it for another task. For a job with a
  // prompt start-time objective (Job::needs_prompt_start), only an image in the cache counts.
  bool has_image(const Job& job, const Machine& machine) const;
  // The locality that the job needs to meet its next start-time objective.
  ImageLocality needed_locality(const Job& job, double now) const;

 private:
  // A request that fits on no machine. Requests for at least as much of the same kind of machine do
  // not fit either.
  struct UnplaceableRequest {
    Resources per_task;
    Index zone;
    std::vector<bool> types;
    bool spot, single_zone;
    uint32_t count;
  };

  bool fits_smallest_request(const Machine& machine) const;
  uint32_t slots_on(const Job& job, const Machine& machine) const;
  double score(const Job& job, const Machine& machine) const;
  double fetch_delay_s(const Job& job, const Machine& machine) const;

  const Catalog& catalog_;
  const JobTable& jobs_;
  const MachineTable& machines_;
  const Eligibility& eligibility_;
  const JobQueue& queue_;
  WorkCounters& work_;

  std::vector<Index> machines_with_capacity_;  // unordered
  std::vector<UnplaceableRequest> unplaceable_;
};

}  // namespace rookdyke
