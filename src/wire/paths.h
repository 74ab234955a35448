#pragma once
// The fixed HTTP paths of the protocol. Paths with parameters are built by functions in
// cloud_messages.h and state_messages.h.

namespace rookdyke::wire {

// Served by controllers to users.
inline constexpr const char* kJobsPath = "/v2/runs";
inline constexpr const char* kCancelSuffix = "/abort";  // appended to the path of a job
// Served by controllers to the health checks of the platform and to workers.
inline constexpr const char* kHealthPath = "/healthz";
inline constexpr const char* kHeartbeatPath = "/hello";

// Served by workers.
inline constexpr const char* kDirectCommandPath = "/do";

// Served by the cloud.
inline constexpr const char* kMachineTypesPath = "/machine_types";
inline constexpr const char* kMachinesPath = "/machines";
inline constexpr const char* kReturnPath = "/machines/return";

// Served by the state service.
inline constexpr const char* kTransactionPath = "/txn";
inline constexpr const char* kLeasesPath = "/leases";

}  // namespace rookdyke::wire
