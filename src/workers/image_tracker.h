#pragma once
// Which images the machines have in their caches, as far as the tasks that used them tell. The
// knowledge is a hint: placement prefers machines that hold a job's image, and nothing correct
// depends on it. Owns Machine::images.
//
// Fed by TaskReconciler. The leader hands its knowledge to its siblings as JSON, so that a
// successor need not have every image fetched anew.

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

  // A task of the job uses the job's image on the machine.
  void record_use(Machine& machine, const Job& job, double now);

  // {"images": [[name, size in GB], ...],
  //  "machines": {name: [index into images, ...; least recently used first], ...}}, ready machines
  // only.
  nlohmann::json image_locations() const;
  // Takes over what image_locations() gave elsewhere. Unknown machines are skipped; the rest of a
  // malformed document is ignored.
  void load_image_locations(const nlohmann::json& locations, double now);

 private:
  void evict_to_fit(Machine& machine, double cache_gb);

  Catalog& catalog_;
  MachineTable& machines_;
};

}  // namespace rookdyke
