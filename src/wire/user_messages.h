#pragma once
// Messages between users and a controller: submissions and the answers about jobs. Called by
// src/api/. Decoding never throws; a message is either valid as a whole or refused.

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>

#include "ledger/ledger_cache.h"
#include "model/types.h"

namespace rookdyke::wire {

using nlohmann::json;

// Why a message was refused.
struct DecodeError {
  // The protocol's name of a field that is missing or invalid (of several, the one checked last),
  // or what else is wrong.
  std::string field;
};

// Whether the text has the form of a job's id.
bool valid_job_id(const std::string& id);
// The id of a submission, if at least that much of it is valid.
std::optional<std::string> job_id(const json& submission);

// The job that a submission asks for.
using DecodedJob = std::variant<JobSpec, DecodeError>;
DecodedJob parse_job(const json& submission);

// The answer about a job; with_counts: also how many of its tasks are done and running.
json job_answer(const std::string& id, const JobProgress& answer, bool with_counts);
// The answer to a submission and to a cancellation that were carried out.
json job_accepted(const std::string& id);
json job_cancelled(const std::string& id);
// The body of an answer that refuses a request.
json refusal(const std::string& reason);

}  // namespace rookdyke::wire
