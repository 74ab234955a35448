#pragma once
// The events of a scenario that submit jobs.

#include "scenario/script.h"
#include "simulation/world.h"

namespace rookdyke::test {

// at T submit ID SHAPE TASKS ...
void schedule_submission(const Line& line, World& world);
// at T stream ID every S until U SHAPE TASKS ...
void schedule_stream(const Line& line, World& world);

}  // namespace rookdyke::test
