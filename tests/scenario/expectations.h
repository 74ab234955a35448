#pragma once
// What must be so at the end of a scenario, or at a time of its own: the lines `expect ...`.

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "scenario/script.h"
#include "simulation/world.h"

namespace rookdyke::test {

class Expectations {
 public:
  void add(const Line& line) { lines_.push_back(line); }
  bool empty() const { return lines_.empty(); }
  // Schedules counts of machines that are expected before the end.
  void schedule_counts(World& world, double end);
  // What is not as expected; to be called at the end. Throws ScriptError if a line means nothing.
  std::vector<std::string> unmet(World& world) const;

 private:
  // What a line found instead of what it expects; empty: all is as expected.
  using Found = std::vector<std::string>;
  Found check(const Line& line, World& world) const;
  Found check_machines(const Line& line, const World& world) const;

  std::vector<Line> lines_;
  std::map<int, size_t> counted_at_;  // by the number of the line that expects it at its own time
};

}  // namespace rookdyke::test
