#pragma once
// The role of a controller: the states of the leader election's state machine.

#include <cstdint>
#include <string_view>

namespace rookdyke {

// follower <-> campaigning -> leading <-> unconfirmed
// leading, unconfirmed -> follower
// leading -> cooldown -> follower
enum class Role : uint8_t {
  follower,
  campaigning,
  leading,      // holds the leader key, to its knowledge
  unconfirmed,  // leader whose lease could not be renewed in time: replies to heartbeats, but makes
                // no scheduling decisions
  cooldown,     // resigned as leader; does not campaign for a while, so that a peer is elected
};

// The role's name for log lines.
std::string_view to_string(Role role);

// Whether a controller in this role replies to heartbeats with its fencing token.
constexpr bool is_leader(Role role) { return role == Role::leading || role == Role::unconfirmed; }

}  // namespace rookdyke
