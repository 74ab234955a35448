#pragma once
// The role of a controller: the states of the leader election's state machine.

#include <cstdint>
#include <string_view>

namespace rookdyke {

// follower -> campaigning -> leading <-> unconfirmed -> follower
//                            leading -> cooldown -> follower
enum class Role : uint8_t {
  follower,
  campaigning,
  leading,      // holds the leader key as far as it can know
  unconfirmed,  // leader whose lease could not be renewed in time: answers heartbeats, decides
                // nothing
  cooldown,     // gave up leadership; does not campaign for a while, so that another is elected
};

// The role's name for log lines.
std::string_view to_string(Role role);

// Whether a controller in that role answers heartbeats with its fencing token.
constexpr bool is_leader(Role role) { return role == Role::leading || role == Role::unconfirmed; }

}  // namespace rookdyke
