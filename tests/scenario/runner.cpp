#include "scenario/runner.h"

#include <algorithm>
#include <memory>
#include <optional>

#include "scenario/actions.h"
#include "scenario/expectations.h"
#include "scenario/setup.h"
#include "simulation/world.h"

namespace rookdyke::test {

namespace {

struct Scenario {
  std::unique_ptr<World> world;
  Expectations expectations;
  double end = 0;
};

bool ends_setup(const Line& line) {
  return line.keyword() == "at" || line.keyword() == "expect" || line.keyword() == "until";
}

void read(const Line& line, Scenario& scenario) {
  if (line.keyword() == "at")
    schedule(line, *scenario.world);
  else if (line.keyword() == "until")
    scenario.end = line.number(1);
  else if (line.keyword() == "troubles_over")
    scenario.world->checker.troubles_over = line.number(1);
  else if (line.keyword() == "expect")
    scenario.expectations.add(line);
  else
    line.fail_unknown(line.keyword());
}

Scenario prepare(const Script& script, std::optional<uint64_t> seed) {
  const auto events = std::find_if(script.begin(), script.end(), ends_setup);
  Setup setup;
  std::for_each(script.begin(), events, [&setup](const Line& line) { setup.read(line); });
  Scenario scenario;
  scenario.world = setup.build(seed);
  std::for_each(events, script.end(), [&scenario](const Line& line) { read(line, scenario); });
  if (scenario.end <= 0) throw ScriptError("line 0: no `until`");
  if (scenario.expectations.empty()) throw ScriptError("line 0: nothing is expected");
  return scenario;
}

void run(Scenario& scenario) {
  scenario.expectations.schedule_counts(*scenario.world, scenario.end);
  scenario.world->start();
  scenario.world->clock.run(scenario.end);
}

void add_broken_rules(const World& world, std::vector<std::string>& failures) {
  for (const std::string& broken : world.checker.broken())
    failures.push_back("broken rule: " + broken);
}

}  // namespace

std::vector<std::string> play(const Script& script) {
  Scenario scenario = prepare(script, std::nullopt);
  run(scenario);
  std::vector<std::string> failures = scenario.expectations.unmet(*scenario.world);
  add_broken_rules(*scenario.world, failures);
  return failures;
}

std::vector<std::string> play_with_seed(const Script& script, uint64_t seed) {
  Scenario scenario = prepare(script, seed);
  run(scenario);
  std::vector<std::string> failures;
  add_broken_rules(*scenario.world, failures);
  return failures;
}

}  // namespace rookdyke::test
