#include "fleet/forecast.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

namespace rookdyke {

namespace {

// Nearest-rank percentile of one resource over the kept misses.
double percentile(const std::deque<Resources>& misses, double Resources::*field, double share) {
  std::vector<double> v;
  v.reserve(misses.size());
  for (const Resources& m : misses) v.push_back(m.*field);
  const size_t priority = std::clamp<size_t>(
      static_cast<size_t>(std::ceil(share * static_cast<double>(v.size()))), 1, v.size());
  std::nth_element(v.begin(), v.begin() + static_cast<std::ptrdiff_t>(priority - 1), v.end());
  return v[priority - 1];
}

}  // namespace

Resources Forecast::trend(double now) const {
  // Least squares over the window; the slope carries the last sample one boot ahead.
  const auto n = static_cast<double>(recent_.size());
  const Resources last = recent_.back().value;
  if (n < 3) return last;
  double mean_t = 0;
  Resources mean;
  for (const Point& p : recent_) {
    mean_t += p.at / n;
    mean += p.value.scaled(1.0 / n);
  }
  double tt = 0;
  Resources ty;
  for (const Point& p : recent_) {
    const double dt = p.at - mean_t;
    tt += dt * dt;
    Resources d = p.value;
    d -= mean;
    ty += d.scaled(dt);
  }
  if (tt <= 0) return last;
  Resources out = last;
  out += ty.scaled((now + ahead_ - recent_.back().at) / tt);
  // Up eagerly, down lazily, as the post has it: a falling trend is not carried on. Carried on, it
  // had machines drained that the work still running needed minutes later.
  return {std::max(last.cpus, out.cpus), std::max(last.gpus, out.gpus),
          std::max(last.memory_gb, out.memory_gb)};
}

void Forecast::sample(double now, const Resources& demand) {
  while (!pending_.empty() && pending_.front().at <= now) {
    Resources miss = demand;
    miss -= pending_.front().value;
    pending_.pop_front();
    misses_.push_back(
        {std::max(0.0, miss.cpus), std::max(0.0, miss.gpus), std::max(0.0, miss.memory_gb)});
    if (misses_.size() > static_cast<size_t>(tuning_.history)) misses_.pop_front();
  }
  recent_.push_back({now, demand});
  while (recent_.front().at < now - tuning_.trend_s - 0.5) recent_.pop_front();
  next_ = trend(now);
  pending_.push_back({now + ahead_, next_});
}

Resources Forecast::spare() const {
  if (misses_.empty()) return {};
  return {percentile(misses_, &Resources::cpus, tuning_.percentile),
          percentile(misses_, &Resources::gpus, tuning_.percentile),
          percentile(misses_, &Resources::memory_gb, tuning_.percentile)};
}

double Forecast::target(const Resources& size) const {
  Resources want = next_;
  want += spare();
  double ratio = want.dominant_share(size.scaled(tuning_.safe_fraction));
  if (misses_.empty()) ratio += tuning_.start_spare;
  return std::ceil(ratio - 1e-9);
}

}  // namespace rookdyke
