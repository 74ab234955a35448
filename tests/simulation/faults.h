#pragma once
// How often faults are injected at random, and how severe they are. The World owns one; scenarios
// change it as they run. All are doubles, so that a scenario can change any of them for a while.

namespace rookdyke::test {

struct Faults {
  // Chances per message: its request or answer is lost, the request is delivered twice, or late.
  double message_loss = 0, message_duplication = 0, message_delay = 0;
  // Chance per heartbeat that a copy of it comes late, to any controller, and up to how late.
  double late_heartbeats = 0, late_heartbeats_s = 0;
  // Chance per heartbeat that a copy of it reaches all controllers as a new leader begins.
  double kept_heartbeats = 0;
  double late_writes = 0;   // chance per transaction to be executed late and not answered
  double lost_answers = 0;  // chance per transaction to be executed at once and not answered
  // Direct commands or their answers are held up: chance, and for up to how long.
  double held_commands = 0, held_commands_s = 0;
  // Chance per executed direct command that a copy of it comes later, and up to how much later.
  double repeated_commands = 0, repeated_commands_s = 0;
  double slow_state_s = 0;   // the state service answers after up to so many seconds
  double cancel_at_end = 0;  // chance that a job is cancelled as its last task ends
  double never_boots = 0;    // chance that a machine never comes up
  double late_list = 1;      // the cloud's list lags by so many times the lag of the settings
  double slow_boots = 1;     // machines take so many times as long to come up
};

}  // namespace rookdyke::test
