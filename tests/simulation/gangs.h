#pragma once
// What the processes of a simulated gang do among themselves: all begin once all are there, and all
// end soon after one is lost. The World owns one; workers call it as members come and go.

#include <cstdint>
#include <string>

namespace rookdyke::test {

class World;

class Gangs {
 public:
  explicit Gangs(World& world) : world_(world) {}

  // A member waits for its peers: if it is the last, the gang begins to run.
  void on_member_waiting(const std::string& job, uint64_t attempt);
  // A running member ended early: progress stops, and the others notice a little later.
  void on_member_lost(const std::string& job, uint64_t attempt);

 private:
  World& world_;
};

}  // namespace rookdyke::test
