#pragma once
// Messages between workers and a controller: heartbeats, the answers to them, and direct commands.
// Called by src/daemon/. Decoding never throws; a heartbeat is either valid as a whole or refused.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "model/scheduler_messages.h"
#include "model/types.h"

namespace rookdyke::wire {

using nlohmann::json;

// A worker's heartbeat, or its answer to a direct command, which has the same form. Empty: invalid.
std::optional<Heartbeat> parse_heartbeat(const json& message);

// The answer to a heartbeat that the leader accepted.
json heartbeat_reply(uint64_t fencing_token, const std::vector<WorkerCommand>& commands);
// Commands that the leader sends without waiting for a heartbeat.
json direct_command(uint64_t fencing_token, const DirectCommand& command);
// The answer to a heartbeat that reached a follower; an empty label: no leader is known.
json redirect(const std::string& leader_label);

}  // namespace rookdyke::wire
