#include "fleet/boot_statistics.h"

#include <algorithm>
#include <vector>

namespace rookdyke {

namespace {

// The age at which a booting machine is overdue, as a multiple of the published boot time, and
// late, as a multiple of the typical boot time.
constexpr double kLateFactor = 1.8;
constexpr double kSampleRetentionS = 120;
// With fewer recent boots, the typical boot time is the published one; with fewer overdue machines,
// most_are_overdue() is false.
constexpr size_t kMinSamples = 3;
// The boot timeout as a multiple of the longest recent boot.
constexpr double kLongestBootFactor = 1.2;
// Upper bound of the boot timeout, as a multiple of the minimum boot timeout.
constexpr double kMaxTimeoutFactor = 2;

double median(std::vector<double> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

BootStatistics::BootStatistics(double published_s, double timeout_factor)
    : published_s_(published_s), timeout_factor_(timeout_factor), typical_boot_s_(published_s) {}

void BootStatistics::record(double now, double boot_s) { recent_.push_back({now, boot_s}); }

void BootStatistics::update(double now, size_t overdue) {
  while (!recent_.empty() && recent_.front().up_at < now - kSampleRetentionS) recent_.pop_front();
  most_are_overdue_ = overdue >= kMinSamples && overdue > recent_.size();
  std::vector<double> times;
  for (const Boot& boot : recent_) times.push_back(boot.boot_s);
  longest_boot_s_ = times.empty() ? 0 : *std::max_element(times.begin(), times.end());
  typical_boot_s_ = published_s_;
  if (times.size() >= kMinSamples)
    typical_boot_s_ = std::max(published_s_, median(std::move(times)));
}

double BootStatistics::overdue_threshold_s() const { return kLateFactor * published_s_; }

double BootStatistics::late_threshold_s() const { return kLateFactor * typical_boot_s_; }

double BootStatistics::boot_timeout_s() const {
  const double minimum = timeout_factor_ * published_s_;
  return std::clamp(kLongestBootFactor * longest_boot_s_, minimum, kMaxTimeoutFactor * minimum);
}

}  // namespace rookdyke
