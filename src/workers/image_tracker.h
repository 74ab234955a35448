#pragma once
// Tracks which images the machines have in their caches, inferred from the tasks that used them.
// The result is a hint: placement prefers machines that hold a job's image, but correctness does
// not depend on it. Owns Machine::images.
//
// Updated by TaskReconciler. The leader sends the locations to its peer controllers as JSON, so
// that placement after a failover can still use the images that are cached.

#include <nlohmann/json.hpp>

#include "model/job.h"
#include "model/machine.h"
#include "scheduler/catalog.h"
#include "scheduler/machine_table.h"

namespace rookdyke {

class ImageTracker {
 public:
  // Both must outlive this object.
  ImageTracker(Catalog& catalog, MachineTable& machines) : catalog_(catalog), machines_(machines) {}

  // Records that a task of the job uses the job's image on the machine.
  void record_use(Machine& machine, const Job& job, double now);

  // Returns the locations of images on ready machines:
  // {"images": [[name, size in GB], ...],
  //  "machines": {name: [index into images, ...; least recently used first], ...}}
  nlohmann::json image_locations() const;
  // Loads what image_locations() of another controller returned. Unknown machines are skipped; a
  // malformed document is loaded up to the first error.
  void load_image_locations(const nlohmann::json& locations, double now);

 private:
  void evict_to_fit(Machine& machine, double cache_gb);

  Catalog& catalog_;
  MachineTable& machines_;
};

}  // namespace rookdyke
