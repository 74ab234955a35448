#include "fleet/boot_statistics.h"

#include <algorithm>
#include <vector>

namespace rookdyke {

namespace {

// A machine that is still booting after this many usual boots is late.
constexpr double kLateBoots = 1.8;
// Boots are remembered for so long.
constexpr double kMemory = 120;  // seconds
// Fewer boots or late machines than this show nothing.
constexpr size_t kLeastSamples = 3;
// A machine is waited for by this factor beyond the longest recent boot.
constexpr double kLongestBootMargin = 1.2;
// However long boots take, patience is stretched by this factor at most.
constexpr double kMostPatience = 2;

double median(std::vector<double> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

BootStatistics::BootStatistics(double published_s, double patience)
    : published_s_(published_s), patience_(patience), usual_s_(published_s) {}

void BootStatistics::record(double now, double took_s) { recent_.push_back({now, took_s}); }

void BootStatistics::update(double now, size_t overdue) {
  while (!recent_.empty() && recent_.front().up_at < now - kMemory) recent_.pop_front();
  most_are_late_ = overdue >= kLeastSamples && overdue > recent_.size();
  std::vector<double> times;
  for (const Boot& boot : recent_) times.push_back(boot.took_s);
  longest_s_ = times.empty() ? 0 : *std::max_element(times.begin(), times.end());
  usual_s_ = published_s_;
  if (times.size() >= kLeastSamples) usual_s_ = std::max(published_s_, median(std::move(times)));
}

double BootStatistics::overdue_after() const { return kLateBoots * published_s_; }

double BootStatistics::late_after() const { return kLateBoots * usual_s_; }

double BootStatistics::lost_after() const {
  const double least = patience_ * published_s_;
  return std::clamp(kLongestBootMargin * longest_s_, least, kMostPatience * least);
}

}  // namespace rookdyke
