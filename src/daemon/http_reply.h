#pragma once
// Answers of this controller over HTTP, in MessagePack.

#include <httplib.h>

#include <nlohmann/json.hpp>

#include "wire/wire.h"

namespace rookdyke {

namespace http_status {
inline constexpr int kOk = 200;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kMisdirected = 421;  // with the leader's label, if it is known
inline constexpr int kUnavailable = 503;
}  // namespace http_status

inline void reply(httplib::Response& response, int status, const nlohmann::json& body) {
  response.status = status;
  response.set_content(wire::pack(body), "application/msgpack");
}

}  // namespace rookdyke
