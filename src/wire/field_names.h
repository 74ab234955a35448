#pragma once
// The field names and values of the protocol. The constants are named by the terms of this code
// base; their strings are fixed by the protocol. The encoders and decoders of src/wire/ use these
// constants, and all other code uses the structs of src/model/ and src/ledger/.
//
// Glossary, from the protocol's word to the term of this code base:
//
//   crew      team                        tenure    epoch of a worker's session
//   lot       job class                   tally     sequence number of a heartbeat
//   kit       container image             warrant   fencing token
//   breed     machine type                steward   leader
//   yard      zone                        recall_s  seconds until the cloud reclaims a machine
//   croft     machine                     orders    commands to a worker
//   loaners   spot machines               leave_s   grace period of a stop command
//   shift     task                        hire      id of a rental request
//   go        attempt                     stamp     version of a row
//   standing  status, phase or state      ledger    revision of the state service
//   rank      priority                    tether    lease
//   ensemble  gang                        marker_s  checkpoint interval
//   scatter   spread over zones           stow_s    checkpoint duration

namespace rookdyke::wire {

// One namespace per message or group of messages. Suffixes name the unit: S for seconds, Ms for
// milliseconds, Gb for gigabytes.
namespace field {

// A submitted job.
namespace job {
inline constexpr const char* kId = "id";
inline constexpr const char* kJobClass = "lot";
inline constexpr const char* kTeam = "crew";
inline constexpr const char* kImage = "kit";
inline constexpr const char* kImageGb = "image_gb";
inline constexpr const char* kShape = "shape";
inline constexpr const char* kPriority = "rank";
inline constexpr const char* kTaskCount = "shifts";
inline constexpr const char* kCpus = "cpus";
inline constexpr const char* kGpus = "gpus";
inline constexpr const char* kMemoryGb = "mem_gb";
inline constexpr const char* kMachineTypes = "breeds";
inline constexpr const char* kZone = "yard";
inline constexpr const char* kSingleZone = "one_zone";
inline constexpr const char* kSpreadZones = "scatter";
inline constexpr const char* kSpot = "loaners";
inline constexpr const char* kExpectedRuntimeS = "expected_s";
inline constexpr const char* kCheckpointIntervalS = "marker_s";
inline constexpr const char* kCheckpointDurationS = "stow_s";
inline constexpr const char* kDeadlineS = "due_s";
}  // namespace job

// The response to a submission, a poll or a cancellation.
namespace job_status {
inline constexpr const char* kId = "id";
inline constexpr const char* kStatus = "standing";
inline constexpr const char* kDoneTasks = "done";
inline constexpr const char* kRunningTasks = "running";
}  // namespace job_status

// The body of a response that refuses a request.
namespace error_response {
inline constexpr const char* kReason = "error";
}  // namespace error_response

// A worker's heartbeat.
namespace heartbeat {
inline constexpr const char* kMachine = "croft";
inline constexpr const char* kAddress = "addr";
inline constexpr const char* kType = "breed";
inline constexpr const char* kZone = "yard";
inline constexpr const char* kSpot = "loaners";
inline constexpr const char* kEpoch = "tenure";
inline constexpr const char* kSequence = "tally";
inline constexpr const char* kFencingToken = "warrant";
inline constexpr const char* kReclaimNoticeS = "recall_s";
inline constexpr const char* kTasks = "shifts";
}  // namespace heartbeat

// A task in a worker's heartbeat.
namespace task {
inline constexpr const char* kTask = "shift";  // "<job>/<task>"
inline constexpr const char* kAttempt = "go";
inline constexpr const char* kPhase = "standing";
inline constexpr const char* kExitCause = "cause";
inline constexpr const char* kCheckpointSaved = "stored";
}  // namespace task

// Commands to a worker: in the reply to a heartbeat, or sent directly.
namespace command {
inline constexpr const char* kFencingToken = "warrant";
inline constexpr const char* kEpoch = "tenure";
inline constexpr const char* kCommands = "orders";
inline constexpr const char* kKind = "verb";
inline constexpr const char* kTask = "shift";  // "<job>/<task>"
inline constexpr const char* kAttempt = "go";
inline constexpr const char* kGracePeriodS = "leave_s";
}  // namespace command

// The reply to a heartbeat that reached a follower.
namespace redirect {
inline constexpr const char* kLeader = "steward";
}  // namespace redirect

// The machine types of the cloud.
namespace machine_type {
inline constexpr const char* kTypes = "breeds";
inline constexpr const char* kName = "name";
inline constexpr const char* kCpus = "cpus";
inline constexpr const char* kGpus = "gpus";
inline constexpr const char* kMemoryGb = "mem_gb";
inline constexpr const char* kCacheGb = "local_gb";
inline constexpr const char* kFetchGbPerS = "fetch_gb_per_s";
inline constexpr const char* kPricePerHour = "hourly";
inline constexpr const char* kSpotPricePerHour = "low_price";
inline constexpr const char* kBootS = "boot_s";
inline constexpr const char* kZones = "yards";
}  // namespace machine_type

// Requests that rent and return machines, and their responses.
namespace rental {
inline constexpr const char* kRequestId = "hire";
inline constexpr const char* kType = "breed";
inline constexpr const char* kZone = "yard";
inline constexpr const char* kSpot = "loaners";
inline constexpr const char* kCount = "how_many";
inline constexpr const char* kMachines = "crofts";
}  // namespace rental

// A page of the cloud's list of rented machines.
namespace machine_list {
inline constexpr const char* kMachines = "crofts";
inline constexpr const char* kMore = "truncated";
inline constexpr const char* kName = "id";
inline constexpr const char* kAddress = "addr";
inline constexpr const char* kType = "breed";
inline constexpr const char* kZone = "yard";
inline constexpr const char* kSpot = "loaners";
inline constexpr const char* kState = "standing";
inline constexpr const char* kAgeS = "age_s";
}  // namespace machine_list

// The rows, transactions, events and leases of the state service.
namespace state_service {
inline constexpr const char* kRevision = "ledger";
inline constexpr const char* kKey = "k";
inline constexpr const char* kValue = "v";
inline constexpr const char* kVersion = "stamp";
inline constexpr const char* kRows = "rows";
inline constexpr const char* kMore = "truncated";
inline constexpr const char* kEvents = "log";
inline constexpr const char* kConditions = "if";
inline constexpr const char* kChanges = "then";
inline constexpr const char* kWrite = "write";
inline constexpr const char* kDelete = "delete";
inline constexpr const char* kFailedKeys = "failed";
inline constexpr const char* kLease = "tether";
inline constexpr const char* kLeaseTtlMs = "ttl_ms";
}  // namespace state_service

}  // namespace field

// The values of enumerated fields.
namespace value {

namespace shape {
inline constexpr const char* kArray = "array";
inline constexpr const char* kGang = "ensemble";
inline constexpr const char* kService = "service";
}  // namespace shape

namespace priority {
inline constexpr const char* kIdle = "idle";
inline constexpr const char* kStandard = "standard";
inline constexpr const char* kUrgent = "urgent";
inline constexpr const char* kCritical = "critical";
}  // namespace priority

namespace job_status {
inline constexpr const char* kPending = "pending";
inline constexpr const char* kRunning = "running";
inline constexpr const char* kDone = "done";
inline constexpr const char* kCancelled = "aborted";
}  // namespace job_status

namespace phase {
inline constexpr const char* kFetching = "pulling";
inline constexpr const char* kGangWaiting = "gathering";
inline constexpr const char* kRunning = "running";
inline constexpr const char* kCheckpointing = "saving";
inline constexpr const char* kExited = "exited";
}  // namespace phase

// Every other cause means that the task failed with an error.
namespace exit_cause {
inline constexpr const char* kDone = "done";
inline constexpr const char* kStopped = "halted";
inline constexpr const char* kGangPeerLost = "peers";
inline constexpr const char* kGangTimeout = "alone";
inline constexpr const char* kInsufficientResources = "no_room";
inline constexpr const char* kAlreadyPresent = "in_use";
inline constexpr const char* kUnknownTask = "no_such";
}  // namespace exit_cause

namespace command {
inline constexpr const char* kStart = "run";
inline constexpr const char* kStop = "stop";
inline constexpr const char* kForget = "clear";
}  // namespace command

// Every other state means that the machine is still booting.
namespace machine_state {
inline constexpr const char* kRunning = "running";
inline constexpr const char* kFailed = "failed";
}  // namespace machine_state

// The reason given by the cloud when it refuses a rental for lack of machines.
namespace error_response {
inline constexpr const char* kNoCapacity = "no capacity";
}  // namespace error_response

}  // namespace value

}  // namespace rookdyke::wire
