#pragma once
// The protocol's fixed HTTP paths. Paths with parameters are built by functions in
// cloud_messages.h and state_messages.h.

namespace rookdyke::wire {

// Served by a controller to users.
inline constexpr const char* kJobsPath = "/v2/runs";
inline constexpr const char* kCancelSuffix = "/abort";  // after a job's path
// Served by a controller to the platform's health checks and to workers.
inline constexpr const char* kHealthPath = "/healthz";
inline constexpr const char* kHeartbeatPath = "/hello";  // heartbeats

// Served by workers: direct commands.
inline constexpr const char* kDirectCommandPath = "/do";

// Served by the cloud.
inline constexpr const char* kMachineTypesPath = "/machine_types";
inline constexpr const char* kMachinesPath = "/machines";
inline constexpr const char* kReturnPath = "/machines/return";

// Served by the state service.
inline constexpr const char* kTransactionPath = "/txn";
inline constexpr const char* kLeasesPath = "/leases";

}  // namespace rookdyke::wire
