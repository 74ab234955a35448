#pragma once
// Messages between users and a controller: submissions, and responses about jobs. Used by src/api/.
// Decoding never throws; a submission with any invalid field is refused.

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>

#include "ledger/ledger_cache.h"
#include "model/types.h"

namespace rookdyke::wire {

using nlohmann::json;

// The reason why a submission was refused.
struct DecodeError {
  // The protocol's name of the missing or invalid field (the last one that is checked, if there are
  // several), or a description of another error.
  std::string field;
};

// Whether the text has the format of a job id.
bool is_valid_job_id(const std::string& id);
// Returns the id of a submission if it is valid, regardless of the other fields.
std::optional<std::string> parse_job_id(const json& submission);

using DecodedJob = std::variant<JobSpec, DecodeError>;
// Decodes a submission.
DecodedJob parse_job(const json& submission);

// Encodes a response that reports the status of a job and, if `with_counts` is set, how many of its
// tasks are done and running.
json encode_job_status(const std::string& id, const JobProgress& progress, bool with_counts);
// Encode the responses to a submission and a cancellation that were successful.
json encode_job_accepted(const std::string& id);
json encode_job_cancelled(const std::string& id);
// Encodes a response that refuses a request.
json encode_error(const std::string& reason);

}  // namespace rookdyke::wire
