#pragma once
// Simulated time: an event queue. The World owns the one clock of a run; every other part schedules
// its events with it. Events of the same moment run in the order in which they were scheduled, so a
// run depends on nothing but its seed.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace rookdyke::test {

class Clock {
 public:
  double now = 0;  // seconds since the start of the run

  // Runs `fn` at that time, or now if it has passed.
  void at(double when, std::function<void()> fn) {
    queue_.push({std::max(when, now), next_++, std::move(fn)});
  }
  // Runs `fn` after so many seconds.
  void after(double s, std::function<void()> fn) { at(now + s, std::move(fn)); }
  // Runs all events up to and including that time.
  void run(double until);

 private:
  struct Event {
    double when;
    uint64_t order;
    std::function<void()> fn;
    bool operator<(const Event& o) const {
      return when != o.when ? when > o.when : order > o.order;
    }
  };
  std::priority_queue<Event> queue_;
  uint64_t next_ = 0;
};

}  // namespace rookdyke::test
