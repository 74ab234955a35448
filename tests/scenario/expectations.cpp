#include "scenario/expectations.h"

#include <algorithm>
#include <cstdint>

namespace rookdyke::test {

namespace {

using Found = std::vector<std::string>;

constexpr double kAtTheEnd = 1e18;
constexpr double kServedAfter = 5;        // seconds after the submission
constexpr double kFairStartWithin = 240;  // seconds

double due(const Line& line) { return line.option("by", kAtTheEnd); }

// Compares with the limit in words `i` and `i + 1`: at_most N, or at_least N.
bool is_within(const Line& line, size_t i, double value) {
  const double limit = line.number(i + 1);
  return line.word(i) == "at_most" ? value <= limit : value >= limit;
}

Found found_unless(bool as_expected, const std::string& what) {
  return as_expected ? Found{} : Found{what};
}

bool counts_machines(const std::string& what) {
  return what == "machines" || what == "hires" || what == "returns";
}

size_t machine_count(const std::string& what, const World& world) {
  if (what == "machines") return world.cloud.machine_count();
  return what == "hires" ? world.cloud.rentals : world.cloud.returns;
}

Found check_writes(const Line& line, size_t n) {
  return found_unless(is_within(line, 2, static_cast<double>(n)), std::to_string(n));
}

Found check_all_known(const World& world) {
  Found unknown;
  for (const auto& [id, job] : world.users.jobs)
    if (job.told != "done" && job.told != "aborted") unknown.push_back(id + " " + job.told);
  return unknown;
}

Found check_work_per_round(const Line& line, World& world) {
  const SimController* leader = world.leader();
  if (!leader) return {"nobody leads"};
  const Scheduler::Work& work = leader->scheduler()->work_counters();
  const double per_round = static_cast<double>(work.machines_examined + work.jobs_examined) /
                           static_cast<double>(std::max<uint64_t>(1, work.rounds));
  return found_unless(per_round <= line.number(3), std::to_string(per_round));
}

Found check_events(const Line& line, World& world) {
  const size_t n = world.event_counts[line.word(2)];
  return found_unless(is_within(line, 3, static_cast<double>(n)), std::to_string(n));
}

Found check_job(const Line& line, const World& world) {
  const std::string& what = line.word(1);
  const std::string& id = line.word(2);
  auto it = world.users.jobs.find(id);
  if (it == world.users.jobs.end()) line.fail("no such job");
  const UserJob& job = it->second;
  if (what == "done")
    return found_unless(job.done_at >= 0 && job.done_at <= due(line),
                        job.told + ", done at " + std::to_string(job.done_at));
  if (what == "aborted") return found_unless(job.cancelled_at >= 0, job.told);
  if (what == "started")
    return found_unless(job.first_start >= 0 && job.first_start <= due(line),
                        std::to_string(job.first_start));
  if (what == "served") {
    const double share = world.users.served_share(id, kServedAfter);
    return found_unless(share >= line.number(4), std::to_string(share));
  }
  if (what == "starts")
    return found_unless(is_within(line, 3, static_cast<double>(job.starts)),
                        std::to_string(job.starts));
  line.fail_unknown(what);
}

}  // namespace

void Expectations::schedule_counts(World& world, double end) {
  for (const Line& line : lines_) {
    const std::string what = line.word(1);
    const double when = due(line);
    if (!counts_machines(what) || when >= end) continue;
    world.clock.at(when, [this, &world, what, number = line.line_number()] {
      counted_at_[number] = machine_count(what, world);
    });
  }
}

std::vector<std::string> Expectations::unmet(World& world) const {
  std::vector<std::string> unmet;
  for (const Line& line : lines_)
    for (const std::string& found : check(line, world))
      unmet.push_back("line " + std::to_string(line.line_number()) + ": " + line.text() + "- was " +
                      found);
  return unmet;
}

Found Expectations::check_machines(const Line& line, const World& world) const {
  auto counted = counted_at_.find(line.line_number());
  const size_t n =
      counted != counted_at_.end() ? counted->second : machine_count(line.word(1), world);
  const auto value = static_cast<double>(n);
  return found_unless(is_within(line, 2, value), std::to_string(value));
}

Found Expectations::check(const Line& line, World& world) const {
  const std::string& what = line.word(1);
  if (counts_machines(what)) return check_machines(line, world);
  if (what == "rejected") return check_writes(line, world.store.rejected);
  if (what == "largest_write") return check_writes(line, world.store.largest_written);
  if (what == "all_known") return check_all_known(world);
  if (what == "fair") return world.checker.unfair(kFairStartWithin);
  if (what == "work_a_round") return check_work_per_round(line, world);
  if (what == "met") return check_events(line, world);
  if (what == "leader") return found_unless(world.leader(), "nobody");
  return check_job(line, world);
}

}  // namespace rookdyke::test
