#include "scenario/submissions.h"

#include <array>
#include <cstdio>
#include <map>

namespace rookdyke::test {

namespace {
constexpr double kDefaultRuntime = 10;  // seconds

struct Submission {
  JobSpec spec;
  double run_s = 0;
  bool faulty = false;
  double cancel_chance = 0, cancel_within_s = 0;
};

JobShape read_shape(const Line& line) {
  static const std::map<std::string, JobShape> shapes = {
      {"array", JobShape::array}, {"gang", JobShape::gang}, {"service", JobShape::service}};
  auto shape = shapes.find(line.word(4));
  if (shape == shapes.end()) line.fail("no such shape");
  return shape->second;
}

Priority read_priority(const Line& line) {
  static const std::map<std::string, Priority> priorities = {
      {"idle", Priority::idle}, {"urgent", Priority::urgent}, {"critical", Priority::critical}};
  auto priority = priorities.find(line.text_option("rank", ""));
  return priority == priorities.end() ? Priority::standard : priority->second;
}

JobSpec read_spec(const Line& line, const std::string& default_team) {
  JobSpec spec;
  spec.id = line.word(3);
  spec.shape = read_shape(line);
  spec.tasks = static_cast<uint32_t>(line.number(5));
  spec.per_task = {line.option("cpus", 1), line.option("gpus", 1), line.option("mem", 1)};
  spec.job_class = line.text_option("lot", "lot");
  spec.team = line.text_option("team", default_team);
  spec.zone = line.text_option("zone", "");
  spec.priority = read_priority(line);
  spec.spot = line.has("spot");
  spec.single_zone = line.has("one_zone");
  spec.spread_zones = line.has("scatter");
  spec.image = line.text_option("image", "img");
  if (const auto image = line.find("image")) spec.image_gb = line.number(*image + 2);
  if (const auto save = line.find("save")) {
    spec.checkpoint_interval_s = line.number(*save + 1);
    spec.checkpoint_duration_s = line.number(*save + 2);
  }
  return spec;
}

Submission read_submission(const Line& line, const std::string& default_team) {
  Submission s;
  s.spec = read_spec(line, default_team);
  const bool service = s.spec.shape == JobShape::service;
  s.run_s = line.option("run", service ? 0 : kDefaultRuntime);
  s.spec.expected_runtime_s = service ? 0 : s.run_s;
  s.faulty = line.has("faulty");
  if (const auto cancelled = line.find("cancelled")) {
    s.cancel_chance = line.number(*cancelled + 1);
    s.cancel_within_s = line.number(*cancelled + 2);
  }
  return s;
}

std::string job_id(uint64_t number) {
  std::array<char, 32> id{};
  std::snprintf(id.data(), id.size(), "wk-%06llu", static_cast<unsigned long long>(number));
  return id.data();
}
}  // namespace

void schedule_submission(const Line& line, World& world) {
  const Submission s = read_submission(line, world.settings.teams[0].name);
  world.clock.at(line.number(1), [&world, s] {
    world.users.submit(s.spec, s.run_s, s.faulty);
    if (s.cancel_chance <= 0 || world.chance() >= s.cancel_chance) return;
    world.clock.after(s.cancel_within_s * world.chance(),
                      [&world, id = s.spec.id] { world.users.abort(id); });
  });
}

void schedule_stream(const Line& line, World& world) {
  constexpr size_t kShape = 8;
  const double begin = line.number(1), interval = line.number(5), end = line.number(7);
  if (interval <= 0) line.fail("every 0 s");
  uint64_t number = std::stoull(line.word(3).substr(std::string("wk-").size()));
  for (double at = begin; at < end; at += interval) {
    std::vector<std::string> words{"at", std::to_string(at), "submit", job_id(number++)};
    for (size_t i = kShape; i < line.size(); ++i) words.push_back(line.word(i));
    schedule_submission(Line(line.line_number(), std::move(words)), world);
  }
}

}  // namespace rookdyke::test
