// What workers and users ask of a controller, and when a user may hear that a job is cancelled.

#include <algorithm>
#include <memory>

#include "simulation/controller.h"
#include "simulation/world.h"

namespace rookdyke::test {

using ledger::Outcome;
using nlohmann::json;

namespace {
// Seconds.
constexpr double kMaxStaleness = 3;
constexpr double kIsolatedAfter = 5;
constexpr double kLeaderKnownFor = 1.5;
constexpr double kSettleTimeout = 1.5, kPeerTimeout = 1;
// As the daemon's: an answer to a poll or a submission is refused that much after the question.
constexpr double kPollTooLate = 2, kSubmitTooLate = 4;
constexpr int kSettleTries = 3;
constexpr int kAccepted = 200, kMisdirected = 421;
}  // namespace

// ---- workers

bool SimController::may_answer_workers() {
  const double now = world_.clock.now;
  // As the daemon: one that hears neither peer controllers nor the state service refuses its
  // workers' heartbeats.
  if (world_.controllers.size() > 1 && now - heard_peer_ > kIsolatedAfter &&
      now - heard_state_ > kIsolatedAfter)
    return false;
  // After a stall it does not know yet whether it still leads.
  if (!lease_state_is_current()) return false;
  // Jobs may have been cancelled without its knowledge.
  const double stale = now - cancellation_staleness_.known_until();
  return stale <= staleness_bound(world_.settings.cancel_s, world_.settings.lease_s);
}

HeartbeatAnswer SimController::on_heartbeat(const Heartbeat& heartbeat) {
  HeartbeatAnswer answer;
  const double now = world_.clock.now;
  if (scheduler_ && !may_answer_workers()) return answer;
  if (scheduler_)
    scheduler_->allow_starts(lease_clock_.is_unexpired(now, kLeaseTtl) ||
                             now - cancellation_staleness_.known_until() < kMaxStaleness);
  if (scheduler_ && !scheduler_->has_lost_leadership()) {
    const HeartbeatReply reply = scheduler_->on_heartbeat(heartbeat, now);
    if (reply.verdict != HeartbeatReply::Verdict::deposed) {
      answer.status = kAccepted;
      answer.fencing_token = reply.fencing_token;
      answer.commands = reply.commands;
      return answer;
    }
    step_down();
  }
  answer.status = kMisdirected;
  if (now - heard_state_ < kLeaderKnownFor && ledger_cache_.leader() != label_)
    answer.leader = ledger_cache_.leader();
  return answer;
}

// ---- users

std::string SimController::status_of(const std::string& id) const {
  const auto answer = ledger_cache_.job_progress(id);
  if (!answer) return "404";
  if (answer->status == ledger::JobStatus::done) return "done";
  if (answer->status == ledger::JobStatus::cancelled) return "aborted";
  return answer->running ? "running" : "pending";
}

void SimController::on_user_request(UserRequest request, const JobSpec& spec, const Reply& reply) {
  const std::string cached = status_of(spec.id);
  if (cached == "done") return reply(cached);
  if (cached == "aborted") return reply_cancelled(spec.id, 0, reply);
  barrier([this, request, spec, reply, asked = world_.clock.now](bool ledger_read) {
    if (!ledger_read) return reply("");
    reply_to_read(request, spec, asked, reply);
  });
}

void SimController::reply_to_read(UserRequest request, const JobSpec& spec, double asked,
                                  const Reply& reply) {
  const std::string status = status_of(spec.id);
  const double took = world_.clock.now - asked;
  if (request == UserRequest::poll && took > kPollTooLate) return reply("");
  if (request == UserRequest::submit && took > kSubmitTooLate) return reply("");
  if (status == "aborted") return reply_cancelled(spec.id, 0, reply);
  if (request == UserRequest::poll || status == "done") return reply(status);
  const std::string transaction_id = new_transaction_id();
  if (request == UserRequest::abort) return abort(spec.id, transaction_id, reply);
  if (status != "404") return reply(status);
  submit(spec, transaction_id, reply);
}

std::string SimController::new_transaction_id() {
  return label_ + "." + std::to_string(life_) + "." + std::to_string(++transaction_count_);
}

void SimController::submit(const JobSpec& spec, const std::string& transaction_id,
                           const Reply& reply) {
  const std::string id = spec.id;
  const Settings& settings = world_.settings;
  const bool as_version_0_1 = world_.clock.now < world_.old_rows_until;
  ledger::Transaction t;
  t.transaction_id = transaction_id;
  ledger::JobRow row;
  row.transaction_id = t.transaction_id;
  row.tasks = spec.tasks;
  row.chunk_size =
      ledger::tasks_per_chunk(as_version_0_1 ? settings.value_bytes : settings.min_value_bytes());
  row.timestamp_s = world_.clock.now;
  row.spec = spec;
  const json value = ledger::encode(row);
  t.conditions = {{ledger::job_key(id), 0}};
  t.changes = {{ledger::job_key(id), false, value, 0}};
  settle(t, false, kSettleTries,
         [this, id, value, reply](const std::optional<ledger::Result>& result) {
           if (!result || result->outcome != Outcome::applied) return reply("");
           put_job(id, value, result->revision);
           reply("pending");
         });
}

void SimController::abort(const std::string& id, const std::string& transaction_id,
                          const Reply& reply) {
  ledger::Transaction t;
  t.transaction_id = transaction_id;
  const CachedJob* job = ledger_cache_.job(id);
  if (!job) return reply("404");
  ledger::JobRow row;
  row.transaction_id = t.transaction_id;
  row.status = ledger::JobStatus::cancelled;
  row.tasks = job->row.tasks;
  row.chunk_size = job->row.chunk_size;
  row.spec = job->row.spec;
  row.timestamp_s = world_.clock.now;
  uint64_t leader = 0;
  t.conditions = {{ledger::job_key(id), job->version}};
  if (!ledger_cache_.leader().empty()) {
    leader = ledger_cache_.leader_version();
    t.conditions.push_back({ledger::kLeaderKey, leader});
  }
  const json value = ledger::encode(row);
  t.changes = {{ledger::job_key(id), false, value, 0}};
  settle(t, false, kSettleTries,
         [this, id, value, leader, reply](const std::optional<ledger::Result>& result) {
           if (!result || result->outcome != Outcome::applied) return reply("");
           put_job(id, value, result->revision);
           reply_cancelled(id, leader, reply);
         });
}

void SimController::settle(const ledger::Transaction& t, bool resend, int tries,
                           const OnSettled& then) {
  auto result = std::make_shared<ledger::Result>();
  call(
      kStatePlace, kSettleTimeout,
      [this, t, resend, result] { *result = execute(world_.store, t, resend, t.changes.data()); },
      [this, t, resend, tries, result, then](bool ok) {
        const bool this_copy_was_not_executed =
            result->outcome == Outcome::not_executed || result->outcome == Outcome::rejected;
        const bool indeterminate = !ok || (this_copy_was_not_executed && resend);
        if (!indeterminate) return then(*result);
        if (tries <= 1) return then(std::nullopt);
        settle(t, true, tries - 1, then);
      });
}

// ---- cancellations

void SimController::reply_cancelled(const std::string& id, uint64_t leader, const Reply& reply) {
  may_confirm_cancellation(id, leader, [reply](bool may) { reply(may ? "aborted" : ""); });
}

// As Controller::may_say_aborted.
void SimController::may_confirm_cancellation(const std::string& id, uint64_t leader,
                                             const std::function<void(bool)>& then) {
  const CachedJob* job = ledger_cache_.job(id);
  if (!job || job->row.status != ledger::JobStatus::cancelled) return then(false);
  if (known_cancellations_.contains(id, job->version)) return then(true);
  if (scheduler_) {
    const bool ours = !scheduler_->has_lost_leadership() && lease_state_is_current() &&
                      fencing_token_ >= known_token();
    if (ours) known_cancellations_.acknowledge(id, job->version);
    return then(ours);
  }
  const uint64_t fencing_token =
      ledger_cache_.leader().empty() ? 0 : ledger_cache_.leader_version();
  const bool leader_is_later = leader > 0 ? leader <= fencing_token : revision_ >= job->version;
  const auto& controllers = world_.controllers;
  size_t to = controllers.size();
  for (size_t i = 0; i < controllers.size(); ++i)
    if (controllers[i]->label_ == ledger_cache_.leader()) to = i;
  if (fencing_token == 0 || !leader_is_later || to == controllers.size()) return then(false);
  tell_leader_of_cancellation(id, *job, to, fencing_token, then);
}

void SimController::tell_leader_of_cancellation(const std::string& id, const CachedJob& job,
                                                size_t leader, uint64_t fencing_token,
                                                const std::function<void(bool)>& then) {
  auto acknowledged = std::make_shared<uint64_t>(0);  // the token that the leader answers with
  call(
      controller_place(leader), kPeerTimeout,
      [this, leader, fencing_token, id, job, acknowledged] {
        *acknowledged = world_.controllers[leader]->on_cancellations(fencing_token, id, job);
      },
      [this, fencing_token, id, version = job.version, acknowledged, then](bool ok) {
        if (ok && *acknowledged >= fencing_token) {
          highest_token_ = std::max(highest_token_, *acknowledged);
          known_cancellations_.acknowledge(id, version);
        }
        then(known_cancellations_.contains(id, version));
      });
}

// As Controller::take_cancelled.
uint64_t SimController::on_cancellations(uint64_t fencing_token, const std::string& id,
                                         const CachedJob& job) {
  if (scheduler_ && fencing_token > fencing_token_) step_down();
  if (!scheduler_ || scheduler_->has_lost_leadership() || !lease_state_is_current()) return 0;
  put_job(id, ledger::encode(job.row), job.version);
  return fencing_token_;
}

void SimController::put_job(const std::string& id, const json& value, uint64_t version) {
  ledger_cache_.put(ledger::job_key(id), value, version);
  if (scheduler_) scheduler_->on_job_row(*ledger_cache_.job(id), id, world_.clock.now);
}

}  // namespace rookdyke::test
