#pragma once
// Plays a scenario: sets up its deployment, schedules its events, runs the clock to its end and
// compares what was found with what is expected.

#include <cstdint>
#include <string>
#include <vector>

#include "scenario/script.h"

namespace rookdyke::test {

// What is not as expected, and the rules that were broken. Throws ScriptError.
std::vector<std::string> play(const Script& script);
// With another seed than the scenario's own only the rules are looked at: the expectations are made
// for the scenario's run.
std::vector<std::string> play_with_seed(const Script& script, uint64_t seed);

}  // namespace rookdyke::test
