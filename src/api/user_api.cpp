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

// Users wait 5 s for the response to a submission and 2 s for that to a poll. Requests are
// processed within these shorter times, so that the response arrives in time. kSubmitTimeoutS
// applies to cancellations too.
constexpr double kSubmitTimeoutS = 3.0;
constexpr double kPollTimeoutS = 1.5;
// If a poll that needed a read barrier was received longer ago than this, the response is a 503:
// the user has stopped waiting, and may have received a newer response from another controller
// since.
constexpr double kPollResponseMaxAgeS = 2;
// The same limit for responses to a submission that report a job which has not ended, counted from
// the deadline of the submission.
constexpr double kSubmitResponseGraceS = 1;
// Added to the encoded size of a job's row before the size is compared with the limits.
constexpr size_t kRowOverheadBytes = 16;
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
  reply(response, http_status::kNotFound, wire::encode_error("no such path"));
}

// ---------------------------------------------------------------- submissions

void UserApi::submit(const httplib::Request& request, httplib::Response& response) {
  const double deadline = steady_now() + kSubmitTimeoutS;
  const auto body = wire::unpack(request.body);
  if (!body || !body->is_object())
    return reply(response, http_status::kBadRequest, wire::encode_error("not a MessagePack map"));
  const auto id = wire::parse_job_id(*body);
  if (!id) return reply(response, http_status::kBadRequest, wire::encode_error("bad id"));

  if (respond_if_cached(*id, deadline, response)) return;
  const auto spec = admit(*id, *body, deadline, response);
  if (spec) accept(*id, *spec, deadline, response);
}

// Responds with the status of the job if it exists, even if the submission differs from the one
// that was accepted. Returns false if it does not exist.
bool UserApi::respond_from_ledger(const std::string& id, double deadline,
                                  httplib::Response& response) {
  std::optional<JobProgress> progress;
  bool unreadable = false;
  ledger_.read([&](const LedgerCache& ledger_cache) {
    progress = ledger_cache.job_progress(id);
    unreadable = ledger_cache.is_unreadable(id);
  });
  if (unreadable) {
    respond_unavailable(response, kUnreadable);
    return true;
  }
  if (!progress) return false;
  if (progress->status == JobStatus::open && steady_now() > deadline + kSubmitResponseGraceS)
    respond_unavailable(response, kTooLate);  // other controllers may have sent newer responses
  else
    respond_with_status(id, *progress, false, deadline, response);
  return true;
}

// Responds with the status of the job if the cache contains it, after a read barrier unless the job
// has ended. Returns false without a read barrier if the cache does not contain the job: most such
// jobs are new.
bool UserApi::respond_if_cached(const std::string& id, double deadline,
                                httplib::Response& response) {
  bool cached = false, ended = false;
  ledger_.read([&](const LedgerCache& ledger_cache) {
    if (const CachedJob* job = ledger_cache.job(id)) {
      cached = true;
      ended = job->row.status != JobStatus::open;
    }
  });
  if (!cached) return false;
  if (!ended && !ledger_.wait_for_barrier(deadline - steady_now())) {
    respond_unavailable(response, kLedgerUnavailable);
    return true;
  }
  return respond_from_ledger(id, deadline, response);
}

// Responds after a read barrier if the job exists or the ledger is unavailable; otherwise returns
// false. Must be called before a submission with a valid id is refused with 400 or 422, since
// another controller may have accepted the job.
bool UserApi::respond_if_accepted_elsewhere(const std::string& id, double deadline,
                                            httplib::Response& response) {
  if (!ledger_.wait_for_barrier(deadline - steady_now())) {
    respond_unavailable(response, kLedgerUnavailable);
    return true;
  }
  return respond_from_ledger(id, deadline, response);
}

// Returns the submitted job if it is valid and can ever run; otherwise sets the response and
// returns nullopt.
std::optional<JobSpec> UserApi::admit(const std::string& id, const json& body, double deadline,
                                      httplib::Response& response) {
  wire::DecodedJob decoded = wire::parse_job(body);
  if (const auto* error = std::get_if<wire::DecodeError>(&decoded)) {
    if (respond_if_accepted_elsewhere(id, deadline, response)) return std::nullopt;
    spdlog::info("submission {} refused: {} is missing or invalid", id, error->field);
    reply(response, http_status::kBadRequest,
          wire::encode_error("missing or invalid: " + error->field));
    return std::nullopt;
  }
  auto& spec = std::get<JobSpec>(decoded);
  const std::vector<MachineType> types = ledger_.machine_types();
  if (types.empty()) {
    respond_unavailable(response, "machine types are not known yet");
    return std::nullopt;
  }
  if (const auto rejection = rejection_reason(spec, types, settings_.teams, settings_.zones)) {
    if (respond_if_accepted_elsewhere(id, deadline, response)) return std::nullopt;
    spdlog::info("submission {} refused: {}", id, *rejection);
    reply(response, http_status::kUnprocessable, wire::encode_error(*rejection));
    return std::nullopt;
  }
  return std::make_optional(std::move(spec));
}

ledger::JobRow UserApi::new_row(const JobSpec& spec, const std::string& transaction_id) const {
  ledger::JobRow row;
  row.tasks = spec.tasks;
  row.chunk_size = ledger::tasks_per_chunk(settings_.min_value_bytes());
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
    if (respond_if_accepted_elsewhere(id, deadline, response)) return;
    return reply(response, http_status::kBadRequest, wire::encode_error(kTooLong));
  }
  // Invariant 1: a job is accepted only if this transaction, which creates its row, was executed.
  transaction.conditions = {{ledger::job_key(id), 0}};
  transaction.changes = {{ledger::job_key(id), false, value, 0}};
  const auto result = ledger_.commit(transaction, deadline);
  if (!result || result->outcome == Outcome::not_executed)
    return respond_unavailable(response, kLedgerUnavailable);
  if (result->outcome == Outcome::rejected) {
    // The state service has lowered its size limits.
    if (respond_if_accepted_elsewhere(id, deadline, response)) return;
    if (size > settings_.min_value_bytes())
      return reply(response, http_status::kBadRequest, wire::encode_error(kTooLong));
    return respond_unavailable(response, kLedgerUnavailable);
  }
  if (result->outcome == Outcome::conflict) {
    // The job exists: a duplicate of this submission was executed first.
    if (respond_if_accepted_elsewhere(id, deadline, response)) return;
    return respond_unavailable(response, "try again");
  }
  ledger_.apply_committed({ledger::job_key(id), value, result->revision, false});
  reply(response, http_status::kCreated, wire::encode_job_accepted(id));
}

// ---------------------------------------------------------------- polls

void UserApi::poll(const std::string& id, httplib::Response& response) {
  const double received_at = steady_now();
  if (!wire::is_valid_job_id(id))
    return reply(response, http_status::kNotFound, wire::encode_error(kNoSuchJob));
  std::optional<JobProgress> progress;
  bool unreadable = false;
  ledger_.read([&](const LedgerCache& ledger_cache) {
    const CachedJob* job = ledger_cache.job(id);
    if (job && job->row.status != JobStatus::open) progress = ledger_cache.job_progress(id);
  });
  if (progress)  // a final status, which cannot be outdated
    return respond_with_status(id, *progress, true, received_at + kPollTimeoutS, response);
  // Invariant 5: without a read barrier, the response could be older than one that another
  // controller has sent.
  if (!ledger_.wait_for_barrier(kPollTimeoutS))
    return respond_unavailable(response, kLedgerUnavailable);
  bool too_late = false;
  ledger_.read([&](const LedgerCache& ledger_cache) {
    progress = ledger_cache.job_progress(id);
    unreadable = ledger_cache.is_unreadable(id);
    // Invariant 5: the process may have been suspended since the read barrier.
    too_late = steady_now() - received_at > kPollResponseMaxAgeS;
  });
  if (too_late) return respond_unavailable(response, kTooLate);
  if (unreadable) return respond_unavailable(response, kUnreadable);
  if (!progress) return reply(response, http_status::kNotFound, wire::encode_error(kNoSuchJob));
  respond_with_status(id, *progress, true, received_at + kPollTimeoutS, response);
}

// Sends every response that reports an existing job, except to the request that created or
// cancelled it. A cancellation is reported only once the leader knows it.
void UserApi::respond_with_status(const std::string& id, const JobProgress& progress,
                                  bool with_counts, double deadline, httplib::Response& response) {
  if (progress.status == JobStatus::cancelled && !ledger_.may_confirm_cancellation(id, deadline, 0))
    return respond_unavailable(response, kLeaderNotInformed, Connection::close);
  reply(response, http_status::kOk, wire::encode_job_status(id, progress, with_counts));
}

// ---------------------------------------------------------------- cancellations

// A cancellation that is ready to be written or, if `final_progress` is set, the progress of a job
// that has already ended.
struct UserApi::Cancellation {
  std::optional<JobProgress> final_progress;
  ledger::Transaction transaction;
  ledger::JobRow row;
  // Fencing token of the leader, which is the version of the leader key that the write is
  // conditional on; 0: no leader.
  uint64_t leader_token = 0;
};

// Prepares a transaction that is conditional on the rows as the cache shows them after a read
// barrier. If the job cannot be cancelled, sets the response and returns nullopt.
std::optional<UserApi::Cancellation> UserApi::prepare_cancellation(const std::string& id,
                                                                   double deadline,
                                                                   httplib::Response& response) {
  if (!ledger_.wait_for_barrier(deadline - steady_now())) {
    respond_unavailable(response, kLedgerUnavailable);
    return std::nullopt;
  }
  bool known = false, unreadable = false;
  Cancellation cancellation;
  ledger_.read([&](const LedgerCache& ledger_cache) {
    unreadable = ledger_cache.is_unreadable(id);
    const CachedJob* job = ledger_cache.job(id);
    if (!job) return;
    known = true;
    if (job->row.status != JobStatus::open)
      cancellation.final_progress = ledger_cache.job_progress(id);
    cancellation.row.tasks = job->row.tasks;
    cancellation.row.chunk_size = job->row.chunk_size;
    cancellation.row.spec = job->row.spec;
    cancellation.transaction.conditions = {{ledger::job_key(id), job->version}};
    // The write is conditional on the leader key, so that it is known which leader has to be
    // notified. Without a leader, the next leader reads the row, and the user has to retry.
    if (!ledger_cache.leader().empty()) {
      cancellation.leader_token = ledger_cache.leader_version();
      cancellation.transaction.conditions.push_back(
          {ledger::kLeaderKey, cancellation.leader_token});
    }
  });
  if (unreadable) {
    respond_unavailable(response, kUnreadable);
    return std::nullopt;
  }
  if (!known) {
    reply(response, http_status::kNotFound, wire::encode_error(kNoSuchJob));
    return std::nullopt;
  }
  cancellation.transaction.transaction_id = ledger_.new_transaction_id();
  return cancellation;
}

void UserApi::cancel(const std::string& id, httplib::Response& response) {
  const double deadline = steady_now() + kSubmitTimeoutS;
  if (!wire::is_valid_job_id(id))
    return reply(response, http_status::kNotFound, wire::encode_error(kNoSuchJob));
  while (true) {
    auto cancellation = prepare_cancellation(id, deadline, response);
    if (!cancellation) return;
    if (cancellation->final_progress)
      return respond_with_status(id, *cancellation->final_progress, false, deadline, response);
    cancellation->row.status = JobStatus::cancelled;
    cancellation->row.timestamp_s = unix_time_s();
    cancellation->row.transaction_id = cancellation->transaction.transaction_id;
    ledger::shorten_cancelled(cancellation->row, settings_.min_value_bytes());
    const json value = ledger::encode(cancellation->row);
    cancellation->transaction.changes = {{ledger::job_key(id), false, value, 0}};
    const auto result = ledger_.commit(cancellation->transaction, deadline);
    if (!result || result->outcome == Outcome::not_executed || result->outcome == Outcome::rejected)
      return respond_unavailable(response, kLedgerUnavailable);
    if (result->outcome == Outcome::conflict) continue;  // a row has changed
    ledger_.apply_committed({ledger::job_key(id), value, result->revision, false});
    if (!ledger_.may_confirm_cancellation(id, deadline, cancellation->leader_token))
      return respond_unavailable(response, kLeaderNotInformed, Connection::close);
    return reply(response, http_status::kOk, wire::encode_job_cancelled(id));
  }
}

// Responds with 503 and a Retry-After that varies from one response to the next, so that clients do
// not all retry in the same second after an outage. Closes the connection if `connection` requires
// it or a peer controller reaches the state service: on an open connection, the retry would reach
// this controller again until the load balancer fails over.
void UserApi::respond_unavailable(httplib::Response& response, const char* reason,
                                  Connection connection) {
  static std::atomic<unsigned> response_count{0};
  response.set_header("Retry-After", std::to_string(1 + response_count++ % kMaxRetryAfterS));
  if (connection == Connection::close || ledger_.peers_reach_state_service()) {
    response.set_header("Connection", "close");
    net::Server::close_after_response();
  }
  reply(response, http_status::kUnavailable, wire::encode_error(reason));
}

}  // namespace rookdyke
