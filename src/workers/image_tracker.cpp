#include "workers/image_tracker.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstddef>
#include <exception>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace rookdyke {

namespace {

using nlohmann::json;

struct NamedImage {
  Index image = kNone;
  double size_gb = 0;
};

// Least recently used first; images used at the same time are ordered by index.
std::vector<Index> images_by_last_use(const Machine& machine) {
  std::vector<Index> images;
  images.reserve(machine.images.size());
  for (const auto& [image, cached] : machine.images) images.push_back(image);
  std::stable_sort(images.begin(), images.end(), [&](Index a, Index b) {
    return machine.images.at(a).last_used < machine.images.at(b).last_used;
  });
  return images;
}

}  // namespace

void ImageTracker::record_use(Machine& machine, const Job& job, double now) {
  machine.images[job.image] = {now, job.spec.image_gb};
  if (machine.type == kNone) return;
  const double cache_gb = catalog_.types[machine.type].cache_gb;
  if (cache_gb > 0) evict_to_fit(machine, cache_gb);
}

// Applies the worker's own policy: it evicts the least recently used images when its cache is full.
void ImageTracker::evict_to_fit(Machine& machine, double cache_gb) {
  double sum_gb = 0;
  for (const auto& [image, cached] : machine.images) sum_gb += cached.size_gb;
  while (sum_gb > cache_gb && machine.images.size() > 1) {
    const auto oldest =
        std::min_element(machine.images.begin(), machine.images.end(),
                         [](auto& a, auto& b) { return a.second.last_used < b.second.last_used; });
    sum_gb -= oldest->second.size_gb;
    machine.images.erase(oldest);
  }
}

json ImageTracker::image_locations() const {
  std::map<Index, size_t> positions;
  json images = json::array();
  json machines = json::object();
  for (const auto& machine : machines_) {
    if (machine->state != MachineState::ready || machine->images.empty()) continue;
    for (const auto& [image, cached] : machine->images)
      if (positions.try_emplace(image, positions.size()).second)
        images.push_back(json::array({catalog_.images.name(image), cached.size_gb}));
    json list = json::array();
    for (const Index image : images_by_last_use(*machine)) list.push_back(positions.at(image));
    machines[machine->name] = std::move(list);
  }
  return {{"images", std::move(images)}, {"machines", std::move(machines)}};
}

void ImageTracker::load_image_locations(const json& locations, double now) {
  try {
    std::vector<NamedImage> images;
    for (const auto& entry : locations.at("images"))
      images.push_back(
          {catalog_.images.intern(entry.at(0).get<std::string>()), entry.at(1).get<double>()});
    for (const auto& [name, list] : locations.at("machines").items()) {
      const Index index = machines_.index_of(name);
      if (index == kNone) continue;
      double last_used = now - static_cast<double>(list.size());
      for (const auto& position : list) {
        const NamedImage& named = images.at(position.get<size_t>());
        machines_[index].images[named.image] = {last_used, named.size_gb};
        last_used += 1;
      }
    }
  } catch (const std::exception& e) {
    spdlog::debug("image locations cannot be read: {}", e.what());
  }
}

}  // namespace rookdyke
