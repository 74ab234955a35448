#include "checker/answer_rules.h"

#include <algorithm>

namespace rookdyke::test {

namespace {
// Seconds. After all troubles, a job about which nothing is answered for this long is forgotten.
constexpr double kUnanswered = 75;
// Before that: while others are answered.
constexpr double kUnansweredInTroubles = 90;
// Users wait for an answer to a question for this long.
constexpr double kTooLate = 2;

bool is_open(const std::string& answer) { return answer == "pending" || answer == "running"; }

// Whether an answer is from before its user heard something at that moment.
bool is_on_its_way(const Asked& when, double heard) {
  return std::max(when.asked, when.given - kTooLate) <= heard;
}

// What a job has to have at once to be served as its user wants it.
uint32_t tasks_at_once(const JobSpec& s) { return s.shape == JobShape::array ? 1 : s.tasks; }

bool fits_a_type(const JobSpec& spec, const std::vector<MachineType>& types) {
  return types.empty() || std::any_of(types.begin(), types.end(), [&](const MachineType& type) {
           return allows_type(spec.types, type.name) && spec.per_task.fits_in(type.size);
         });
}

// Why it can never run; empty: it can.
std::string reason_unfit(const JobObservation& job, const Deployment& deployment) {
  if (job.lacks_a_field) return "lacks a field";
  const TeamQuota* team = deployment.team(job.spec.team);
  if (!team) return "is of an unknown team";
  if (!is_within_quota(*team, job.spec.per_task.scaled(tasks_at_once(job.spec))))
    return "is over its team's limit";
  if (!fits_a_type(job.spec, deployment.types)) return "fits no machine type";
  return "";
}

// What a controller has said itself it knows, in whatever order its answers are heard. Records what
// it says.
bool contradicts_itself(JobObservation& job, bool open, const Asked& when) {
  if (when.controller < 0) return false;
  if (open) {
    auto over = job.over_said.find(when.controller);
    double& said = job.open_said.try_emplace(when.controller, when.given).first->second;
    said = std::max(said, when.given);
    return over != job.over_said.end() && when.given > over->second;
  }
  auto last = job.open_said.find(when.controller);
  double& said = job.over_said.try_emplace(when.controller, when.given).first->second;
  said = std::min(said, when.given);
  return last != job.open_said.end() && last->second > when.given;
}

// No controller may give an older answer once a user has heard more. A controller can't know what
// another has told in the meantime: its read of the ledger may have been answered before, and its
// answer takes time. So an answer counts as of the moment of its question, if that is no longer
// than kTooLate ago. What it has said itself a controller knows, and that counts at once.
void check_order(double now, JobObservation& job, const std::string& status, const Asked& when,
                 Violations& violations) {
  const bool open = is_open(status);
  const std::string was = job.called_done ? "done" : "aborted";
  const bool contradicts_others =
      job.over_at >= 0 && status != was && !(open && is_on_its_way(when, job.over_at));
  if (contradicts_itself(job, open, when) || contradicts_others)
    violations.add(now, "went_back", job.spec.id + " was " + was + ", is " + status);
}
}  // namespace

bool is_status(const std::string& answer) {
  return is_open(answer) || answer == "done" || answer == "aborted";
}

void check_invented(double now, const std::string& id, const std::string& answer,
                    Violations& violations) {
  if (is_status(answer)) violations.add(now, "invented", id + " is " + answer);
}

void check_refusal(double now, const JobObservation& job, const std::string& answer,
                   const Asked& when, Violations& violations) {
  const bool refused = answer == "404" || answer == "400" || answer == "422";
  if (job.accepted && !is_on_its_way(when, job.accepted_at) && refused)
    violations.add(now, "forgotten", job.spec.id + " is answered " + answer);
}

void check_status(double now, JobObservation& job, const std::string& status, const Asked& when,
                  const Deployment& deployment, Violations& violations) {
  const std::string& id = job.spec.id;
  if (const std::string why = reason_unfit(job, deployment); !job.accepted && !why.empty())
    violations.add(now, "accepted_unfit", id + " " + why);
  if (!job.accepted) job.accepted_at = now;
  job.accepted = true;
  check_order(now, job, status, when, violations);
  if (status == "aborted" && !job.cancel_asked)
    violations.add(now, "went_back", id + " was never cancelled");
  if (status == "done") {
    if (job.done.size() < job.spec.tasks) violations.add(now, "not_done", id);
    job.called_done = true;
  }
  if (status == "aborted") {
    job.cancelled_at = job.called_aborted ? std::min(job.cancelled_at, when.given) : when.given;
    job.called_aborted = true;
  }
  if (!is_open(status) && job.over_at < 0) job.over_at = now;
}

void check_silence(const FailedPoll& poll, const std::string& id, JobObservation& job,
                   Violations& violations) {
  if (!job.accepted) return;
  const double now = poll.now;
  if (job.silent_since < 0) job.silent_since = now;
  if (now >= poll.troubles_over) {
    // One that nobody could ask about when the troubles ended has been silent since then, however
    // late its next question.
    if (now - std::max(job.silent_since, poll.troubles_over) > kUnanswered)
      violations.add(now, "forgotten", id + " cannot be asked about after all troubles");
    return;
  }
  if (!poll.others_answered) return;
  if (job.failing_since < 0) job.failing_since = now;
  if (now - job.failing_since > kUnansweredInTroubles) {
    violations.add(now, "forgotten", id + " cannot be asked about");
    job.failing_since = now;
  }
}

}  // namespace rookdyke::test
