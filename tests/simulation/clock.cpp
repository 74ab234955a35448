#include "simulation/clock.h"

#include <utility>

namespace rookdyke::test {

void Clock::run(double until) {
  while (!queue_.empty() && queue_.top().when <= until) {
    auto fn = std::move(const_cast<Event&>(queue_.top()).fn);
    now = queue_.top().when;
    queue_.pop();
    fn();
  }
  now = until;
}

}  // namespace rookdyke::test
