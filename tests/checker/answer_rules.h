#pragma once
// The rules about what users are told: `invented`, `forgotten`, `accepted_unfit`, `went_back` and
// `not_done`. The Checker calls them for each answer, and for each poll without one.

#include <string>

#include "checker/observations.h"

namespace rookdyke::test {

// One of "pending", "running", "done" and "aborted": the job is known.
bool is_status(const std::string& answer);

// An answer about a job that was never submitted.
void check_invented(double now, const std::string& id, const std::string& answer,
                    Violations& violations);
// An answer that is no status: an accepted job may not be unknown or malformed.
void check_refusal(double now, const JobObservation& job, const std::string& answer,
                   const Asked& when, Violations& violations);
// A status: the job has to be one that may be accepted, the status has to follow from those before,
// and to be true. Records what was told.
void check_status(double now, JobObservation& job, const std::string& status, const Asked& when,
                  const Deployment& deployment, Violations& violations);
// A poll without an answer.
struct FailedPoll {
  double now = 0;
  bool others_answered = false;  // within the last seconds
  double troubles_over = 0;
};
void check_silence(const FailedPoll& poll, const std::string& id, JobObservation& job,
                   Violations& violations);

}  // namespace rookdyke::test
