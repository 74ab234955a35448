#pragma once
// MessagePack bodies, the encoding of all messages of the protocol.

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace rookdyke::wire {

using nlohmann::json;

// The Content-Type of all bodies.
inline constexpr const char* kContentType = "application/msgpack";

// The body that holds this message.
std::string pack(const json& message);

// The message that a body holds; empty if it is not exactly one well-formed message. Nesting deeper
// than any message of the protocol is refused before it can exhaust the caller's stack.
std::optional<json> unpack(const std::string& body);

}  // namespace rookdyke::wire
