#include "checker/checker.h"

#include "checker/answer_rules.h"
#include "checker/placement_rules.h"
#include "checker/waiting_rules.h"

namespace rookdyke::test {

void Checker::submitted(double now, const JobSpec& spec, bool lacks_a_field) {
  JobObservation& job = jobs_[spec.id];
  job.spec = spec;
  job.submitted_at = now;
  job.lacks_a_field = lacks_a_field;
}

void Checker::told(double now, const std::string& id, const std::string& answer, bool cancel_asked,
                   const Asked& asked) {
  auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.spec.id.empty()) {
    check_invented(now, id, answer, violations_);
    return;
  }
  Asked when = asked;
  if (when.asked < 0) when.asked = now;
  if (when.given < 0) when.given = now;
  JobObservation& job = it->second;
  job.failing_since = job.silent_since = -1;
  job.cancel_asked = job.cancel_asked || cancel_asked;
  if (is_status(answer))
    check_status(now, job, answer, when, deployment_, violations_);
  else
    check_refusal(now, job, answer, when, violations_);
}

void Checker::poll_failed(double now, const std::string& id, bool others_answered) {
  check_silence({now, others_answered, troubles_over}, id, jobs_[id], violations_);
}

void Checker::rooms(double now, const std::vector<Room>& rooms,
                    const std::map<std::string, size_t>& held) {
  if (now >= troubles_over) check_waiting(now, rooms, held, jobs_, deployment_, violations_);
}

void Checker::starts(double now, const std::string& id, uint32_t task, const Place& at,
                     double ordered_at) {
  ++starts_;
  check_start({now, task, at, ordered_at}, id, jobs_, deployment_, violations_);
}

void Checker::leaves(const std::string& id, uint32_t task, const std::string& machine) {
  jobs_[id].on[task].erase(machine);
}

void Checker::tick(double now) { check_cancelled_jobs(now, jobs_, deployment_, violations_); }

std::vector<std::string> Checker::unfair(double begin_within_s) const {
  return unfair_shares(jobs_, begin_within_s);
}

}  // namespace rookdyke::test
