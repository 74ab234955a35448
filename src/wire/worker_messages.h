#pragma once
// Messages between workers and a controller: heartbeats, their replies, and direct commands. Used
// by src/daemon/. Decoding never throws; a heartbeat is invalid as a whole if its machine name, its
// epoch, sequence number or fencing token, or any of its tasks is invalid.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "model/scheduler_messages.h"
#include "model/types.h"

namespace rookdyke::wire {

using nlohmann::json;

// Decodes a worker's heartbeat or its response to a direct command, which has the same format.
// Returns nullopt if the message is invalid.
std::optional<Heartbeat> parse_heartbeat(const json& message);

// Encodes the leader's reply to a heartbeat that it accepted.
json encode_heartbeat_reply(uint64_t fencing_token, const std::vector<WorkerCommand>& commands);
// Encodes commands that the leader sends without waiting for a heartbeat.
json encode_direct_command(const DirectCommand& command);
// Encodes the reply to a heartbeat that reached a follower. The label is empty if no leader is
// known.
json encode_redirect(const std::string& leader_label);

}  // namespace rookdyke::wire
