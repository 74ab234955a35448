#pragma once
// Percent-encoding of keys and names in the URLs of the state service and the cloud.

#include <string>

namespace rookdyke::wire {

// Encodes a text as part of a path or query. Slashes stay as they are, as the state service expects
// in keys.
std::string percent_encode(const std::string& text);

}  // namespace rookdyke::wire
