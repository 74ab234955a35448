#pragma once
// The users' requests over HTTP: submissions, polls and cancellations. Called by the HTTP server's
// threads; reads and writes the ledger through the interface JobLedger, which the controller
// implements. A job is answered as accepted or cancelled only after that is durable.

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

// What users' requests need of their replica. All functions are thread-safe and do their own
// locking; none may be called from within `read`.
class JobLedger {
 public:
  virtual ~JobLedger() = default;

  // Read barrier: true once `read` shows at least all that was committed before this call; false if
  // that can't be had in time, or at all.
  virtual bool wait_for_barrier(double timeout_s) = 0;
  // Calls `look` with the replica's cache of the ledger, under the mutex that guards it: `look`
  // sees a consistent state, and must not block.
  virtual void read(const std::function<void(const LedgerCache&)>& look) const = 0;
  // What machines can be rented; empty as long as that, or the ledger, has not been read.
  virtual std::vector<MachineType> machine_types() const = 0;

  // An id that no other transaction ever had.
  virtual std::string new_transaction_id() = 0;
  // Executes a transaction; one that is not answered is retried unchanged. Empty: it is unknown
  // whether it is or will be executed, and the user has to ask again. Gives up before the deadline
  // (seconds of steady_now()) if the state service refuses, or too many wait for it.
  virtual std::optional<ledger::Result> commit(const ledger::Transaction& transaction,
                                               double deadline) = 0;
  // Applies a committed row to the cache: `read` shows it from now on.
  virtual void apply_committed(const wire::Row& row) = 0;

  // Whether a durable cancellation may be confirmed to its user, since the leader knows of it;
  // waits for that until the deadline (seconds of steady_now()). `leader`: version of the leader
  // key that the write was conditional on, 0: unknown.
  virtual bool may_confirm_cancelled(const std::string& job, double deadline, uint64_t leader) = 0;
  // Whether the state service answers the siblings, as they report: if it does not answer here,
  // only this replica is cut off from it.
  virtual bool siblings_are_served() const = 0;
};

// Answers users. Thread-safe: requests have no state in common but the ledger.
class UserApi {
 public:
  // Both must outlive this object.
  UserApi(const Settings& settings, JobLedger& ledger);

  // Serves one request; a path that is none of the users' gets 404.
  void serve(const httplib::Request& request, httplib::Response& response);

 private:
  void submit(const httplib::Request& request, httplib::Response& response);
  void poll(const std::string& id, httplib::Response& response);
  void cancel(const std::string& id, httplib::Response& response);

  // Steps of a submission. Those that return bool return whether the request was answered.
  bool answer_from_ledger(const std::string& id, double deadline, httplib::Response& response);
  bool answer_if_known(const std::string& id, double deadline, httplib::Response& response);
  bool answer_if_accepted_elsewhere(const std::string& id, double deadline,
                                    httplib::Response& response);
  std::optional<JobSpec> admit(const std::string& id, const nlohmann::json& body, double deadline,
                               httplib::Response& response);
  ledger::JobRow new_row(const JobSpec& spec, const std::string& transaction_id) const;
  void accept(const std::string& id, const JobSpec& spec, double deadline,
              httplib::Response& response);

  // Steps of a cancellation.
  struct Cancellation;
  std::optional<Cancellation> prepare_cancellation(const std::string& id, double deadline,
                                                   httplib::Response& response);

  void answer_job(const std::string& id, const JobProgress& answer, bool with_counts,
                  double deadline, httplib::Response& response);
  // Whether a refusal closes the connection, so that the load balancer sends the retry elsewhere.
  enum class Connection { close_if_siblings_are_served, close };
  void refuse(httplib::Response& response, const char* reason,
              Connection connection = Connection::close_if_siblings_are_served);

  const Settings& settings_;
  JobLedger& ledger_;
};

}  // namespace rookdyke
