#pragma once
// Helper for HTTP responses with MessagePack bodies.

#include <httplib.h>

#include <nlohmann/json.hpp>

#include "wire/wire.h"

namespace rookdyke {

// Sets the status, the MessagePack body and the content type of a response.
inline void reply(httplib::Response& response, int status, const nlohmann::json& body) {
  response.status = status;
  response.set_content(wire::pack(body), wire::kContentType);
}

}  // namespace rookdyke
