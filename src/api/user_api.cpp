#include "api/user_api.h"

#include <spdlog/spdlog.h>

#include <atomic>
#include <chrono>
#include <utility>
#include <variant>

#include "admission/admission.h"
#include "api/http_reply.h"
#include "net/http_status.h"
#include "net/server.h"
#include "net/steady_clock.h"

namespace rookdyke {

using ledger::JobStatus;
using ledger::Outcome;
using nlohmann::json;

namespace {

// Users wait 5 s for the answer to a submission and 2 s for one to a poll; these are the times
// within which we decide.
constexpr double kSubmitTimeoutS = 3.0;
constexpr double kPollTimeoutS = 1.5;
// A later answer is not given: its user has stopped waiting, and has perhaps had a newer one from
// another replica since.
constexpr double kPollAnswerMaxAgeS = 2;
constexpr double kSubmitAnswerGraceS = 1;  // beyond the deadline
constexpr size_t kRowOverheadBytes = 16;   // of a row's value, beyond its text
constexpr unsigned kMaxRetryAfterS = 3;

constexpr const char* kLedgerUnavailable = "the ledger does not answer";
constexpr const char* kNoSuchJob = "no such job";
constexpr const char* kTooLate = "too late";
constexpr const char* kTooLong = "the description is too long";
constexpr const char* kUnreadable = "the job's row cannot be read";
constexpr const char* kLeaderNotInformed = "the leader has not heard of the cancellation";

bool ends_with(const std::string& s, const std::string& end) {
  return s.size() >= end.size() && s.compare(s.size() - end.size(), end.size(), end) == 0;
}

double unix_time_s() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace

UserApi::UserApi(const Settings& settings, JobLedger& ledger)
    : settings_(settings), ledger_(ledger) {}

void UserApi::serve(const httplib::Request& request, httplib::Response& response) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  static const std::string job_prefix = std::string(wire::kJobsPath) + "/";
  static const std::string cancel_suffix = wire::kCancelSuffix;
  const bool post = request.method == "POST";
  const bool get = request.method == "GET";
  if (path == wire::kJobsPath && post) return submit(request, response);
  if (path.compare(0, job_prefix.size(), job_prefix) == 0) {
    const std::string rest = path.substr(job_prefix.size());
    if (post && ends_with(rest, cancel_suffix))
      return cancel(rest.substr(0, rest.size() - cancel_suffix.size()), response);
    if (get) return poll(rest, response);
  }
  reply(response, http_status::kNotFound, wire::refusal("no such path"));
}

// ---------------------------------------------------------------- submissions

void UserApi::submit(const httplib::Request& request, httplib::Response& response) {
  const double deadline = steady_now() + kSubmitTimeoutS;
  const auto body = wire::unpack(request.body);
  if (!body || !body->is_object())
    return reply(response, http_status::kBadRequest, wire::refusal("not a MessagePack map"));
  const auto id = wire::job_id(*body);
  if (!id) return reply(response, http_status::kBadRequest, wire::refusal("bad id"));

  if (answer_if_known(*id, deadline, response)) return;
  const auto spec = admit(*id, *body, deadline, response);
  if (spec) accept(*id, *spec, deadline, response);
}

// A job that exists is answered with its state, whatever the submission says now.
bool UserApi::answer_from_ledger(const std::string& id, double deadline,
                                 httplib::Response& response) {
  std::optional<JobProgress> answer;
  bool unreadable = false;
  ledger_.read([&](const LedgerCache& ledger_cache) {
    answer = ledger_cache.job_progress(id);
    unreadable = ledger_cache.is_unreadable(id);
  });
  if (unreadable) {
    refuse(response, kUnreadable);
    return true;
  }
  if (!answer) return false;
  if (answer->status == JobStatus::open && steady_now() > deadline + kSubmitAnswerGraceS)
    refuse(response, kTooLate);  // other replicas may have given newer answers since
  else
    answer_job(id, *answer, false, deadline, response);
  return true;
}

// The same, without a read barrier for jobs that the cache does not have: most are new.
bool UserApi::answer_if_known(const std::string& id, double deadline, httplib::Response& response) {
  bool seen = false, finished = false;
  ledger_.read([&](const LedgerCache& ledger_cache) {
    if (const CachedJob* job = ledger_cache.job(id)) {
      seen = true;
      finished = job->row.status != JobStatus::open;
    }
  });
  if (!seen) return false;
  if (!finished && !ledger_.wait_for_barrier(deadline - steady_now())) {
    refuse(response, kLedgerUnavailable);
    return true;
  }
  return answer_from_ledger(id, deadline, response);
}

// Before any 400 or 422: another replica may have accepted the job.
bool UserApi::answer_if_accepted_elsewhere(const std::string& id, double deadline,
                                           httplib::Response& response) {
  if (!ledger_.wait_for_barrier(deadline - steady_now())) {
    refuse(response, kLedgerUnavailable);
    return true;
  }
  return answer_from_ledger(id, deadline, response);
}

// The job that the submission asks for, if it is valid and can ever run. Empty: it was answered.
std::optional<JobSpec> UserApi::admit(const std::string& id, const json& body, double deadline,
                                      httplib::Response& response) {
  wire::DecodedJob decoded = wire::parse_job(body);
  if (const auto* error = std::get_if<wire::DecodeError>(&decoded)) {
    if (answer_if_accepted_elsewhere(id, deadline, response)) return std::nullopt;
    spdlog::info("submission {} refused: {} is missing or invalid", id, error->field);
    reply(response, http_status::kBadRequest, wire::refusal("missing or invalid: " + error->field));
    return std::nullopt;
  }
  auto& spec = std::get<JobSpec>(decoded);
  const std::vector<MachineType> types = ledger_.machine_types();
  if (types.empty()) {
    refuse(response, "machine types are not known yet");
    return std::nullopt;
  }
  if (const auto never = rejection_reason(spec, types, settings_.teams, settings_.zones)) {
    if (answer_if_accepted_elsewhere(id, deadline, response)) return std::nullopt;
    spdlog::info("submission {} refused: {}", id, *never);
    reply(response, http_status::kUnprocessable, wire::refusal(*never));
    return std::nullopt;
  }
  return std::make_optional(std::move(spec));
}

ledger::JobRow UserApi::new_row(const JobSpec& spec, const std::string& transaction_id) const {
  ledger::JobRow row;
  row.tasks = spec.tasks;
  row.chunk_size = ledger::tasks_per_chunk(settings_.lasting_value_bytes());
  row.timestamp_s = unix_time_s();
  row.spec = spec;
  row.transaction_id = transaction_id;
  return row;
}

void UserApi::accept(const std::string& id, const JobSpec& spec, double deadline,
                     httplib::Response& response) {
  ledger::Transaction transaction;
  transaction.transaction_id = ledger_.new_transaction_id();
  const ledger::JobRow row = new_row(spec, transaction.transaction_id);
  const json value = ledger::encode(row);
  const size_t size = ledger::value_size(value) + kRowOverheadBytes;
  if (size > settings_.value_bytes) {
    if (answer_if_accepted_elsewhere(id, deadline, response)) return;
    return reply(response, http_status::kBadRequest, wire::refusal(kTooLong));
  }
  // Invariant 1: accepted means that this create-if-absent was executed.
  transaction.conditions = {{ledger::job_key(id), 0}};
  transaction.changes = {{ledger::job_key(id), false, value, 0}};
  const auto result = ledger_.commit(transaction, deadline);
  if (!result || result->outcome == Outcome::refused) return refuse(response, kLedgerUnavailable);
  if (result->outcome == Outcome::rejected) {
    // The state service has lowered its limits.
    if (answer_if_accepted_elsewhere(id, deadline, response)) return;
    if (size > settings_.lasting_value_bytes())
      return reply(response, http_status::kBadRequest, wire::refusal(kTooLong));
    return refuse(response, kLedgerUnavailable);
  }
  if (result->outcome == Outcome::conflict) {
    // The job exists: another copy of this submission was executed first.
    if (answer_if_accepted_elsewhere(id, deadline, response)) return;
    return refuse(response, "try again");
  }
  ledger_.apply_committed({ledger::job_key(id), value, result->revision, false});
  reply(response, http_status::kCreated, wire::job_accepted(id));
}

// ---------------------------------------------------------------- polls

void UserApi::poll(const std::string& id, httplib::Response& response) {
  const double asked = steady_now();
  if (!wire::valid_job_id(id))
    return reply(response, http_status::kNotFound, wire::refusal(kNoSuchJob));
  std::optional<JobProgress> answer;
  bool unreadable = false;
  ledger_.read([&](const LedgerCache& ledger_cache) {
    const CachedJob* job = ledger_cache.job(id);
    if (job && job->row.status != JobStatus::open) answer = ledger_cache.job_progress(id);
  });
  if (answer)  // final: no newer answer can exist
    return answer_job(id, *answer, true, asked + kPollTimeoutS, response);
  // Invariant 5: without a barrier it could be older than what another replica has answered.
  if (!ledger_.wait_for_barrier(kPollTimeoutS)) return refuse(response, kLedgerUnavailable);
  bool late = false;
  ledger_.read([&](const LedgerCache& ledger_cache) {
    answer = ledger_cache.job_progress(id);
    unreadable = ledger_cache.is_unreadable(id);
    // Invariant 5 again: the process may have been suspended since the barrier.
    late = steady_now() - asked > kPollAnswerMaxAgeS;
  });
  if (late) return refuse(response, kTooLate);
  if (unreadable) return refuse(response, kUnreadable);
  if (!answer) return reply(response, http_status::kNotFound, wire::refusal(kNoSuchJob));
  answer_job(id, *answer, true, asked + kPollTimeoutS, response);
}

// Every answer about a known job is sent here.
void UserApi::answer_job(const std::string& id, const JobProgress& answer, bool with_counts,
                         double deadline, httplib::Response& response) {
  if (answer.status == JobStatus::cancelled && !ledger_.may_confirm_cancelled(id, deadline, 0))
    return refuse(response, kLeaderNotInformed, Connection::close);
  reply(response, http_status::kOk, wire::job_answer(id, answer, with_counts));
}

// ---------------------------------------------------------------- cancellations

// A cancellation that is ready to be written, or the answer about a job in a final state.
struct UserApi::Cancellation {
  std::optional<JobProgress> finished;
  ledger::Transaction transaction;
  ledger::JobRow row;
  uint64_t leader = 0;  // version of the leader key that the write is conditional on; 0: none
};

// After a read barrier, conditional on the rows as the cache showed them. Empty: it was answered.
std::optional<UserApi::Cancellation> UserApi::prepare_cancellation(const std::string& id,
                                                                   double deadline,
                                                                   httplib::Response& response) {
  if (!ledger_.wait_for_barrier(deadline - steady_now())) {
    refuse(response, kLedgerUnavailable);
    return std::nullopt;
  }
  bool known = false, unreadable = false;
  Cancellation cancellation;
  ledger_.read([&](const LedgerCache& ledger_cache) {
    unreadable = ledger_cache.is_unreadable(id);
    const CachedJob* job = ledger_cache.job(id);
    if (!job) return;
    known = true;
    if (job->row.status != JobStatus::open) cancellation.finished = ledger_cache.job_progress(id);
    cancellation.row.tasks = job->row.tasks;
    cancellation.row.chunk_size = job->row.chunk_size;
    cancellation.row.spec = job->row.spec;
    cancellation.transaction.conditions = {{ledger::job_key(id), job->version}};
    // The leader key must be unchanged at the write, so that it is known which leader has to learn
    // of it. Without a leader, the next one reads the row; its user has to ask again.
    if (!ledger_cache.leader().empty()) {
      cancellation.leader = ledger_cache.leader_version();
      cancellation.transaction.conditions.push_back({ledger::kLeaderKey, cancellation.leader});
    }
  });
  if (unreadable) {
    refuse(response, kUnreadable);
    return std::nullopt;
  }
  if (!known) {
    reply(response, http_status::kNotFound, wire::refusal(kNoSuchJob));
    return std::nullopt;
  }
  cancellation.transaction.transaction_id = ledger_.new_transaction_id();
  return cancellation;
}

void UserApi::cancel(const std::string& id, httplib::Response& response) {
  const double deadline = steady_now() + kSubmitTimeoutS;
  if (!wire::valid_job_id(id))
    return reply(response, http_status::kNotFound, wire::refusal(kNoSuchJob));
  while (true) {
    auto cancellation = prepare_cancellation(id, deadline, response);
    if (!cancellation) return;
    if (cancellation->finished)
      return answer_job(id, *cancellation->finished, false, deadline, response);
    cancellation->row.status = JobStatus::cancelled;
    cancellation->row.timestamp_s = unix_time_s();
    cancellation->row.transaction_id = cancellation->transaction.transaction_id;
    ledger::shorten_cancelled(cancellation->row, settings_.lasting_value_bytes());
    const json value = ledger::encode(cancellation->row);
    cancellation->transaction.changes = {{ledger::job_key(id), false, value, 0}};
    const auto result = ledger_.commit(cancellation->transaction, deadline);
    if (!result || result->outcome == Outcome::refused || result->outcome == Outcome::rejected)
      return refuse(response, kLedgerUnavailable);
    if (result->outcome == Outcome::conflict) continue;  // a row has changed since: read again
    ledger_.apply_committed({ledger::job_key(id), value, result->revision, false});
    if (!ledger_.may_confirm_cancelled(id, deadline, cancellation->leader))
      return refuse(response, kLeaderNotInformed, Connection::close);
    return reply(response, http_status::kOk, wire::job_cancelled(id));
  }
}

// Refuses at once, with a time to retry after: a different one for each, so that not all clients
// return in the same second after an outage. The connection is closed if siblings can serve the
// user better: kept open, it would bring the retry back here until the load balancer fails over.
void UserApi::refuse(httplib::Response& response, const char* reason, Connection connection) {
  static std::atomic<unsigned> refusals{0};
  response.set_header("Retry-After", std::to_string(1 + refusals++ % kMaxRetryAfterS));
  if (connection == Connection::close || ledger_.siblings_are_served()) {
    response.set_header("Connection", "close");
    net::Server::close_after_answer();
  }
  reply(response, http_status::kUnavailable, wire::refusal(reason));
}

}  // namespace rookdyke
