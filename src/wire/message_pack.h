#pragma once
// MessagePack, the encoding of all messages of the protocol except those between controllers
// (mesh/mesh.h).

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace rookdyke::wire {

using nlohmann::json;

// The Content-Type of MessagePack bodies.
inline constexpr const char* kContentType = "application/msgpack";

// Encodes a message as the body of a request or response.
std::string pack(const json& message);

// Decodes a body. Returns nullopt if it is not exactly one well-formed message, or if it is nested
// more deeply than any message of the protocol, which could exhaust the caller's stack.
std::optional<json> unpack(const std::string& body);

}  // namespace rookdyke::wire
