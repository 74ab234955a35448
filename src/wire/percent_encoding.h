#pragma once
// Percent-encoding of keys and names in the URLs of the state service and the cloud.

#include <string>

namespace rookdyke::wire {

// The text as a part of a path or query; slashes stay, as the state service expects of keys.
std::string percent_encode(const std::string& text);

}  // namespace rookdyke::wire
