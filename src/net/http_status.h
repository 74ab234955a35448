#pragma once
// The HTTP status codes that the APIs use.

namespace rookdyke::http_status {

inline constexpr int kNone = 0;  // no response
inline constexpr int kOk = 200;
inline constexpr int kCreated = 201;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kPayloadTooLarge = 413;
inline constexpr int kMisdirected = 421;  // the body has the leader's label, if known
inline constexpr int kUnprocessable = 422;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kInternalError = 500;
inline constexpr int kUnavailable = 503;

}  // namespace rookdyke::http_status
