#include "fleet/forecast.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

namespace rookdyke {

namespace {

// Nearest-rank percentile of one resource over the misses.
double percentile(const std::deque<Resources>& misses, double Resources::*field, double share) {
  std::vector<double> v;
  v.reserve(misses.size());
  for (const Resources& m : misses) v.push_back(m.*field);
  const size_t rank = std::clamp<size_t>(
      static_cast<size_t>(std::ceil(share * static_cast<double>(v.size()))), 1, v.size());
  std::nth_element(v.begin(), v.begin() + static_cast<std::ptrdiff_t>(rank - 1), v.end());
  return v[rank - 1];
}

}  // namespace

Resources Forecast::extrapolate(double now) const {
  // Extrapolates from the last sample with the least-squares slope over the trend window.
  const auto n = static_cast<double>(recent_.size());
  const Resources last = recent_.back().value;
  if (n < 3) return last;
  double mean_t = 0;
  Resources mean;
  for (const Point& p : recent_) {
    mean_t += p.at / n;
    mean += p.value.scaled(1.0 / n);
  }
  double sum_tt = 0;
  Resources sum_ty;
  for (const Point& p : recent_) {
    const double dt = p.at - mean_t;
    sum_tt += dt * dt;
    Resources d = p.value;
    d -= mean;
    sum_ty += d.scaled(dt);
  }
  if (sum_tt <= 0) return last;
  Resources extrapolated = last;
  extrapolated += sum_ty.scaled((now + horizon_s_ - recent_.back().at) / sum_tt);
  // Scale-out follows the trend, scale-in does not: extrapolating a falling trend drained
  // machines that running work needed again minutes later.
  return {std::max(last.cpus, extrapolated.cpus), std::max(last.gpus, extrapolated.gpus),
          std::max(last.memory_gb, extrapolated.memory_gb)};
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
  predicted_ = extrapolate(now);
  pending_.push_back({now + horizon_s_, predicted_});
}

Resources Forecast::spare() const {
  if (misses_.empty()) return {};
  return {percentile(misses_, &Resources::cpus, tuning_.percentile),
          percentile(misses_, &Resources::gpus, tuning_.percentile),
          percentile(misses_, &Resources::memory_gb, tuning_.percentile)};
}

double Forecast::target(const Resources& size) const {
  Resources needed = predicted_;
  needed += spare();
  double ratio = needed.dominant_share(size.scaled(tuning_.safe_fraction));
  if (misses_.empty()) ratio += tuning_.start_spare;
  return std::ceil(ratio - 1e-9);  // the subtrahend absorbs rounding errors
}

}  // namespace rookdyke
