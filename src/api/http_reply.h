#pragma once
// Answers of this controller over HTTP, in MessagePack.

#include <httplib.h>

#include <nlohmann/json.hpp>

#include "wire/wire.h"

namespace rookdyke {

// Sets the status and the body, encoded as the protocol has it.
inline void reply(httplib::Response& response, int status, const nlohmann::json& body) {
  response.status = status;
  response.set_content(wire::pack(body), wire::kContentType);
}

}  // namespace rookdyke
