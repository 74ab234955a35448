#pragma once
// The events of a scenario: each line `at T ...` schedules what is to happen in its deployment.

#include "scenario/script.h"
#include "simulation/world.h"

namespace rookdyke::test {

// Schedules the event of one line. Throws ScriptError if it means nothing; nothing of the world
// changes before its clock runs.
void schedule(const Line& line, World& world);

}  // namespace rookdyke::test
