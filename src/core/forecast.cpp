#include "core/forecast.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

namespace rookdyke {

namespace {

// Nearest-rank percentile of one resource over the kept misses.
double percentile(const std::deque<Amounts>& misses, double Amounts::*field, double share) {
  std::vector<double> v;
  v.reserve(misses.size());
  for (const Amounts& m : misses) v.push_back(m.*field);
  const size_t rank = std::clamp<size_t>(
      static_cast<size_t>(std::ceil(share * static_cast<double>(v.size()))), 1, v.size());
  std::nth_element(v.begin(), v.begin() + static_cast<std::ptrdiff_t>(rank - 1), v.end());
  return v[rank - 1];
}

}  // namespace

Amounts Forecast::trend(double now) const {
  // Least squares over the window; the slope carries the last sample one boot ahead.
  const auto n = static_cast<double>(recent_.size());
  const Amounts last = recent_.back().value;
  if (n < 3) return last;
  double mean_t = 0;
  Amounts mean;
  for (const Point& p : recent_) {
    mean_t += p.at / n;
    mean += p.value.times(1.0 / n);
  }
  double tt = 0;
  Amounts ty;
  for (const Point& p : recent_) {
    const double dt = p.at - mean_t;
    tt += dt * dt;
    Amounts d = p.value;
    d -= mean;
    ty += d.times(dt);
  }
  if (tt <= 0) return last;
  Amounts out = last;
  out += ty.times((now + ahead_ - recent_.back().at) / tt);
  // Up eagerly, down lazily, as the post has it: a falling trend is not carried on. Carried on, it
  // had machines drained that the work still running needed minutes later.
  return {std::max(last.cpus, out.cpus), std::max(last.gpus, out.gpus),
          std::max(last.mem, out.mem)};
}

void Forecast::sample(double now, const Amounts& demand) {
  while (!pending_.empty() && pending_.front().at <= now) {
    Amounts miss = demand;
    miss -= pending_.front().value;
    pending_.pop_front();
    misses_.push_back(
        {std::max(0.0, miss.cpus), std::max(0.0, miss.gpus), std::max(0.0, miss.mem)});
    if (misses_.size() > static_cast<size_t>(tuning_.history)) misses_.pop_front();
  }
  recent_.push_back({now, demand});
  while (recent_.front().at < now - tuning_.trend_s - 0.5) recent_.pop_front();
  next_ = trend(now);
  pending_.push_back({now + ahead_, next_});
}

Amounts Forecast::spare() const {
  if (misses_.empty()) return {};
  return {percentile(misses_, &Amounts::cpus, tuning_.percentile),
          percentile(misses_, &Amounts::gpus, tuning_.percentile),
          percentile(misses_, &Amounts::mem, tuning_.percentile)};
}

double Forecast::target(const Amounts& size) const {
  Amounts want = next_;
  want += spare();
  double ratio = want.share_of(size.times(tuning_.safe_fraction));
  if (misses_.empty()) ratio += tuning_.start_spare;
  return std::ceil(ratio - 1e-9);
}

}  // namespace rookdyke
