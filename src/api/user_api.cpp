#include "api/user_api.h"

#include <spdlog/spdlog.h>

#include <atomic>
#include <chrono>
#include <utility>
#include <variant>

#include "admission/admission.h"
#include "net/server.h"
#include "net/steady_clock.h"

namespace rookdyke {

using ledger::JobStatus;
using ledger::Outcome;
using nlohmann::json;

namespace {

// A user waits 5 s for an answer to a submission and 2 s for one to a poll.
constexpr double kSubmitPatience = 3.0;
constexpr double kPollPatience = 1.5;
// An answer that took longer has nobody who waits for it; what it says may be older than what its
// user has been told since.
constexpr double kPollTooLate = 2;
constexpr double kTooLate = 1;       // beyond the time that a request is given
constexpr size_t kRowOverhead = 16;  // of a row's value, beyond its text
constexpr unsigned kRetryAfterMost = 3;

constexpr const char* kLedgerSilent = "the ledger does not answer";
constexpr const char* kTooLong = "the description is too long";
constexpr const char* kUnreadable = "the job's row cannot be read";
constexpr const char* kLeaderUnaware = "the leader has not heard of the cancellation";

void reply(httplib::Response& response, int status, const json& body) {
  response.status = status;
  response.set_content(wire::pack(body), wire::kContentType);
}

bool ends_with(const std::string& s, const std::string& end) {
  return s.size() >= end.size() && s.compare(s.size() - end.size(), end.size(), end) == 0;
}

double day_time() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace

UserApi::UserApi(const Settings& settings, JobLedger& ledger)
    : settings_(settings), ledger_(ledger) {}

void UserApi::serve(const httplib::Request& request, httplib::Response& response) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  static const std::string jobs = std::string(wire::kJobsPath) + "/";
  static const std::string abort_end = wire::kCancelSuffix;
  const bool post = request.method == "POST";
  const bool get = request.method == "GET";
  if (path == wire::kJobsPath && post) return submit(request, response);
  if (path.compare(0, jobs.size(), jobs) == 0) {
    const std::string rest = path.substr(jobs.size());
    if (post && ends_with(rest, abort_end))
      return abort(rest.substr(0, rest.size() - abort_end.size()), response);
    if (get) return poll(rest, response);
  }
  reply(response, 404, wire::refusal("no such path"));
}

// ---------------------------------------------------------------- submissions

void UserApi::submit(const httplib::Request& request, httplib::Response& response) {
  const double deadline = steady_now() + kSubmitPatience;
  const auto body = wire::unpack(request.body);
  if (!body || !body->is_object())
    return reply(response, 400, wire::refusal("not a MessagePack map"));
  const auto id = wire::job_id(*body);
  if (!id) return reply(response, 400, wire::refusal("bad id"));

  if (answer_if_seen(*id, deadline, response)) return;
  const auto spec = admit(*id, *body, deadline, response);
  if (spec) accept(*id, *spec, deadline, response);
}

// A job that is known already is answered with its state, whatever the body says now.
bool UserApi::answer_known(const std::string& id, double deadline, httplib::Response& response) {
  std::optional<JobAnswer> answer;
  bool unreadable = false;
  ledger_.read([&](const LedgerCache& ledger_cache) {
    answer = ledger_cache.answer(id);
    unreadable = ledger_cache.unreadable(id);
  });
  if (unreadable) {
    refuse(response, kUnreadable);
    return true;
  }
  if (!answer) return false;
  if (answer->status == JobStatus::open && steady_now() > deadline + kTooLate)
    refuse(response, "too late");  // we stood still: others may have told its user more since
  else
    answer_job(id, *answer, false, deadline, response);
  return true;
}

// The same, without a barrier for jobs that our copy does not have: most are new.
bool UserApi::answer_if_seen(const std::string& id, double deadline, httplib::Response& response) {
  bool seen = false, finished = false;
  ledger_.read([&](const LedgerCache& ledger_cache) {
    if (const CachedJob* job = ledger_cache.job(id)) {
      seen = true;
      finished = job->row.status != JobStatus::open;
    }
  });
  if (!seen) return false;
  if (!finished && !ledger_.wait_for_barrier(deadline - steady_now())) {
    refuse(response, kLedgerSilent);
    return true;
  }
  return answer_known(id, deadline, response);
}

// Before any 400 or 422: nobody may have accepted it.
bool UserApi::answer_if_accepted_elsewhere(const std::string& id, double deadline,
                                           httplib::Response& response) {
  if (!ledger_.wait_for_barrier(deadline - steady_now())) {
    refuse(response, kLedgerSilent);
    return true;
  }
  return answer_known(id, deadline, response);
}

// What the body asks for, if such a job can ever run; empty: it was answered.
std::optional<JobSpec> UserApi::admit(const std::string& id, const json& body, double deadline,
                                      httplib::Response& response) {
  wire::DecodedJob decoded = wire::parse_job(body);
  if (const auto* error = std::get_if<wire::DecodeError>(&decoded)) {
    if (answer_if_accepted_elsewhere(id, deadline, response)) return std::nullopt;
    spdlog::info("submission {} refused: {} is missing or invalid", id, error->field);
    reply(response, 400, wire::refusal("missing or invalid: " + error->field));
    return std::nullopt;
  }
  auto& spec = std::get<JobSpec>(decoded);
  const std::vector<MachineType> types = ledger_.machine_types();
  if (types.empty()) {
    refuse(response, "machine types are not known yet");
    return std::nullopt;
  }
  if (const auto never = never_runs(spec, types, settings_.teams, settings_.zones)) {
    if (answer_if_accepted_elsewhere(id, deadline, response)) return std::nullopt;
    spdlog::info("submission {} refused: {}", id, *never);
    reply(response, 422, wire::refusal(*never));
    return std::nullopt;
  }
  return std::move(spec);
}

void UserApi::accept(const std::string& id, const JobSpec& spec, double deadline,
                     httplib::Response& response) {
  ledger::Transaction t;
  t.transaction_id = ledger_.new_transaction_id();
  ledger::JobRow row;
  row.tasks = spec.tasks;
  row.chunk_size = ledger::tasks_per_chunk(settings_.lasting_value_bytes());
  row.timestamp_s = day_time();
  row.spec = spec;
  row.transaction_id = t.transaction_id;
  const json value = ledger::encode(row);
  const size_t size = ledger::value_size(value) + kRowOverhead;
  if (size > settings_.value_bytes) {
    if (answer_if_accepted_elsewhere(id, deadline, response)) return;
    return reply(response, 400, wire::refusal(kTooLong));
  }
  // Invariant 1: accepted means that this create-if-absent was executed.
  t.conditions = {{ledger::job_key(id), 0}};
  t.changes = {{ledger::job_key(id), false, value, 0}};
  const auto result = ledger_.commit(t, deadline);
  if (!result || result->outcome == Outcome::refused) return refuse(response, kLedgerSilent);
  if (result->outcome == Outcome::rejected) {
    // Since the state service has lowered its limits.
    if (answer_if_accepted_elsewhere(id, deadline, response)) return;
    if (size > settings_.lasting_value_bytes())
      return reply(response, 400, wire::refusal(kTooLong));
    return refuse(response, kLedgerSilent);
  }
  if (result->outcome == Outcome::conflict) {
    // Somebody's copy of this submission came first.
    if (answer_if_accepted_elsewhere(id, deadline, response)) return;
    return refuse(response, "try again");
  }
  ledger_.apply_committed({ledger::job_key(id), value, result->revision, false});
  reply(response, 201, wire::job_accepted(id));
}

// ---------------------------------------------------------------- polls

void UserApi::poll(const std::string& id, httplib::Response& response) {
  const double asked = steady_now();
  if (!wire::valid_job_id(id)) return reply(response, 404, wire::refusal("no such job"));
  std::optional<JobAnswer> answer;
  bool unreadable = false;
  ledger_.read([&](const LedgerCache& ledger_cache) {
    const CachedJob* job = ledger_cache.job(id);
    if (job && job->row.status != JobStatus::open) answer = ledger_cache.answer(id);
  });
  if (answer)  // final: no newer answer can exist
    return answer_job(id, *answer, true, asked + kPollPatience, response);
  // Invariant 5: anything else could be older than what another node has said.
  if (!ledger_.wait_for_barrier(kPollPatience)) return refuse(response, kLedgerSilent);
  bool late = false;
  ledger_.read([&](const LedgerCache& ledger_cache) {
    answer = ledger_cache.answer(id);
    unreadable = ledger_cache.unreadable(id);
    // Invariant 5 again: we may have stood still between the barrier and here.
    late = steady_now() - asked > kPollTooLate;
  });
  if (late) return refuse(response, "too late");
  if (unreadable) return refuse(response, kUnreadable);
  if (!answer) return reply(response, 404, wire::refusal("no such job"));
  answer_job(id, *answer, true, asked + kPollPatience, response);
}

// Every answer about a known job goes out here.
void UserApi::answer_job(const std::string& id, const JobAnswer& answer, bool with_counts,
                         double deadline, httplib::Response& response) {
  if (answer.status == JobStatus::cancelled && !ledger_.may_confirm_cancelled(id, deadline, 0))
    return refuse(response, kLeaderUnaware, Elsewhere::always);
  reply(response, 200, wire::job_answer(id, answer, with_counts));
}

// ---------------------------------------------------------------- cancellations

// A cancellation that is ready to be written, or the answer of a job that is over.
struct UserApi::Cancellation {
  std::optional<JobAnswer> finished;
  ledger::Transaction transaction;
  ledger::JobRow row;
  uint64_t leader = 0;  // whose key the write is conditional on; 0: nobody leads
};

// After a barrier, on condition of what one moment showed. Empty: it was answered.
std::optional<UserApi::Cancellation> UserApi::prepare_cancellation(const std::string& id,
                                                                   double deadline,
                                                                   httplib::Response& response) {
  if (!ledger_.wait_for_barrier(deadline - steady_now())) {
    refuse(response, kLedgerSilent);
    return std::nullopt;
  }
  bool known = false, unreadable = false;
  Cancellation c;
  ledger_.read([&](const LedgerCache& ledger_cache) {
    unreadable = ledger_cache.unreadable(id);
    const CachedJob* job = ledger_cache.job(id);
    if (!job) return;
    known = true;
    if (job->row.status != JobStatus::open) c.finished = ledger_cache.answer(id);
    c.row.tasks = job->row.tasks;
    c.row.chunk_size = job->row.chunk_size;
    c.row.spec = job->row.spec;
    c.transaction.conditions = {{ledger::job_key(id), job->version}};
    // Held at the time of the write, so that we know who has to hear of it. While nobody leads
    // the next leader finds the row; its user has to ask again.
    if (!ledger_cache.leader().empty()) {
      c.leader = ledger_cache.leader_version();
      c.transaction.conditions.push_back({ledger::kLeaderKey, c.leader});
    }
  });
  if (unreadable) {
    refuse(response, kUnreadable);
    return std::nullopt;
  }
  if (!known) {
    reply(response, 404, wire::refusal("no such job"));
    return std::nullopt;
  }
  c.transaction.transaction_id = ledger_.new_transaction_id();
  return c;
}

void UserApi::abort(const std::string& id, httplib::Response& response) {
  const double deadline = steady_now() + kSubmitPatience;
  if (!wire::valid_job_id(id)) return reply(response, 404, wire::refusal("no such job"));
  while (true) {
    auto c = prepare_cancellation(id, deadline, response);
    if (!c) return;
    if (c->finished) return answer_job(id, *c->finished, false, deadline, response);
    c->row.status = JobStatus::cancelled;
    c->row.timestamp_s = day_time();
    c->row.transaction_id = c->transaction.transaction_id;
    ledger::shorten_cancelled(c->row, settings_.lasting_value_bytes());
    const json value = ledger::encode(c->row);
    c->transaction.changes = {{ledger::job_key(id), false, value, 0}};
    const auto result = ledger_.commit(c->transaction, deadline);
    if (!result || result->outcome == Outcome::refused || result->outcome == Outcome::rejected)
      return refuse(response, kLedgerSilent);
    if (result->outcome == Outcome::conflict) continue;  // it moved: look again
    ledger_.apply_committed({ledger::job_key(id), value, result->revision, false});
    if (!ledger_.may_confirm_cancelled(id, deadline, c->leader))
      return refuse(response, kLeaderUnaware, Elsewhere::always);
    return reply(response, 200, wire::job_cancelled(id));
  }
}

// The service cannot take it now and says so at once, and when to come back: spread out, so that
// not all return in the same second after an outage. A node that is alone in its trouble, or whose
// siblings may know more (`always`), lets the connection go too: kept, it would bring the same
// user back here, until the load balancer finds out.
void UserApi::refuse(httplib::Response& response, const char* why, Elsewhere elsewhere) {
  static std::atomic<unsigned> turn{0};
  response.set_header("Retry-After", std::to_string(1 + turn++ % kRetryAfterMost));
  if (elsewhere == Elsewhere::always || ledger_.siblings_are_served()) {
    response.set_header("Connection", "close");
    net::Server::close_after_answer();
  }
  reply(response, 503, wire::refusal(why));
}

}  // namespace rookdyke
