#pragma once
// The users' requests over HTTP: submissions, polls and cancellations. What the replica knows and
// how it writes lies behind the interface JobLedger.

#include <httplib.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "ledger/ledger_cache.h"
#include "ledger/rows.h"
#include "model/settings.h"
#include "model/types.h"
#include "wire/wire.h"

namespace rookdyke {

// What users' requests need of their replica. All functions are thread-safe and lock for
// themselves; none may be called from within `read`.
class JobLedger {
 public:
  virtual ~JobLedger() = default;

  // Read barrier: true once `read` shows at least all that was committed before this call; false if
  // that can't be had in time, or at all.
  virtual bool wait_for_barrier(double timeout_s) = 0;
  // Calls `look` with the replica's copy of the ledger, under the mutex that guards it: `look` sees
  // one moment, and must not block.
  virtual void read(const std::function<void(const LedgerCache&)>& look) const = 0;
  // What machines can be rented; empty as long as that, or the ledger, has not been read.
  virtual std::vector<MachineType> machine_types() const = 0;

  // A mark that no other transaction ever had.
  virtual std::string new_transaction_id() = 0;
  // Brings a transaction to an outcome: an unanswered one is repeated word for word. Empty: it may
  // yet be executed, or not; the user has to ask again. It is waited for only while it may succeed:
  // a state service that refuses, or a queue that is too long, ends it at once. `deadline` is of
  // steady_now().
  virtual std::optional<ledger::Result> commit(const ledger::Transaction& transaction,
                                               double deadline) = 0;
  // A row that was committed: `read` shows it from now on.
  virtual void apply_committed(const wire::Row& row) = 0;

  // Whether a user may hear "aborted" of a job whose cancellation is durable; waits for that until
  // the deadline. `leader`: whose key the write was conditional on, 0: unknown.
  virtual bool may_confirm_cancelled(const std::string& job, double deadline, uint64_t leader) = 0;
  // Siblings say that the state service answers them: trouble with it is this replica's alone.
  virtual bool siblings_are_served() const = 0;
};

// Answers users. Thread-safe: requests are served in threads of their own, and share nothing but
// the ledger.
class UserApi {
 public:
  // Both must outlive this object.
  UserApi(const Settings& settings, JobLedger& ledger);

  // Serves one request; a path that is none of the users' gets 404.
  void serve(const httplib::Request& request, httplib::Response& response);

 private:
  void submit(const httplib::Request& request, httplib::Response& response);
  void poll(const std::string& id, httplib::Response& response);
  void abort(const std::string& id, httplib::Response& response);

  // Steps of a submission. Those that return bool: whether it was answered.
  bool answer_known(const std::string& id, double deadline, httplib::Response& response);
  bool answer_if_seen(const std::string& id, double deadline, httplib::Response& response);
  bool answer_if_accepted_elsewhere(const std::string& id, double deadline,
                                    httplib::Response& response);
  std::optional<JobSpec> admit(const std::string& id, const nlohmann::json& body, double deadline,
                               httplib::Response& response);
  void accept(const std::string& id, const JobSpec& spec, double deadline,
              httplib::Response& response);

  // Steps of a cancellation.
  struct Cancellation;
  std::optional<Cancellation> prepare_cancellation(const std::string& id, double deadline,
                                                   httplib::Response& response);

  void answer_job(const std::string& id, const JobAnswer& answer, bool with_counts, double deadline,
                  httplib::Response& response);
  // Why the connection is let go with a refusal.
  enum class Elsewhere { if_siblings_are_served, always };
  void refuse(httplib::Response& response, const char* why,
              Elsewhere elsewhere = Elsewhere::if_siblings_are_served);

  const Settings& settings_;
  JobLedger& ledger_;
};

}  // namespace rookdyke
