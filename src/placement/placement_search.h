#pragma once
// Finds the machines that have room for a job's waiting tasks. Owns, for one round, the list of
// machines with room and what earlier searches have shown to have none; changes no job and no
// machine. Placement starts its round; the array, gang and service placements search through it.

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

// A machine with room for tasks of one job.
struct PlacementCandidate {
  double score = 0;  // in seconds of image fetch, smallest is best
  Index machine = kNone;
  uint32_t slots = 0;  // tasks that it has room for, at most those that wait
};

struct PlacementCandidates {
  std::vector<PlacementCandidate> machines;  // best first; equal scores by machine index
  // The job itself, not the machines' room, may be why there are few.
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

  // Lists the machines that take work and have room for the smallest waiting request: once a round,
  // after the queue was rebuilt.
  void start_round(double now);

  // All candidates for tasks of the job: one search serves all of its waiting tasks.
  PlacementCandidates find(const Job& job, double now, ImageLocality locality);

  // Whether a search in this round has shown already that there is no room for so many tasks.
  bool is_known_full(const Job& job, uint32_t count) const;
  // There is no room for so many tasks, for reasons that hold for other jobs as well.
  void record_full(const Job& job, uint32_t count);

  // Whether the job's image is on the machine, or under way for another of its tasks or jobs; for a
  // promised start it has to be there.
  bool has_image(const Job& job, const Machine& machine) const;
  // What the start promise that is due next demands.
  ImageLocality needed_locality(const Job& job, double now) const;

 private:
  // A request that no machine has room for. Whatever requests as much of the same machines has no
  // room either.
  struct UnplaceableRequest {
    Resources per_task;
    Index zone;
    std::vector<bool> types;
    bool spot, single_zone;
    uint32_t count;
  };

  bool has_room(const Machine& machine) const;
  uint32_t slots_on(const Job& job, const Machine& machine) const;
  double score(const Job& job, const Machine& machine) const;
  double fetch_delay_s(const Job& job, const Machine& machine) const;

  const Catalog& catalog_;
  const JobTable& jobs_;
  const MachineTable& machines_;
  const Eligibility& eligibility_;
  const JobQueue& queue_;
  WorkCounters& work_;

  std::vector<Index> open_;  // machines with room; unordered
  std::vector<UnplaceableRequest> unplaceable_;
};

}  // namespace rookdyke
