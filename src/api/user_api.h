#pragma once
// The handler of users' HTTP requests: submissions, polls and cancellations. The threads of the
// HTTP server call it. It reads and writes the ledger through the interface JobLedger, which
// ReplicaLedger (src/daemon/) implements. A job is reported as accepted or cancelled only after the
// write is durable.

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

// The access to the ledger that users' requests need. All functions are thread-safe and do their
// own locking; none may be called from the callback of `read`.
class JobLedger {
 public:
  virtual ~JobLedger() = default;

  // Read barrier: waits until `read` shows every write that was committed before this call. Returns
  // false if that takes longer than `timeout_s` or if the state service is failing.
  virtual bool wait_for_barrier(double timeout_s) = 0;
  // Calls `callback` with this controller's cache of the ledger, under the mutex that guards it:
  // the callback sees a consistent state and must not block.
  virtual void read(const std::function<void(const LedgerCache&)>& callback) const = 0;
  // The machine types that can be rented; empty until they and the ledger have been loaded.
  virtual std::vector<MachineType> machine_types() const = 0;

  // Returns an id that no other transaction has ever had.
  virtual std::string new_transaction_id() = 0;
  // Executes a transaction, and resends it while its outcome is indeterminate. Returns nullopt if
  // it could not be sent, or if its outcome stays indeterminate: it may then have been executed, or
  // be executed later, and the user has to retry. Returns before the deadline (seconds of
  // steady_now()) if the state service refuses the transaction or is failing, or if too many
  // requests wait for the state service.
  virtual std::optional<ledger::Result> commit(const ledger::Transaction& transaction,
                                               double deadline) = 0;
  // Applies a committed row to the cache, so that `read` shows it from now on.
  virtual void apply_committed(const wire::Row& row) = 0;

  // Whether a durable cancellation may be confirmed to its user, which requires that the leader
  // knows it. Waits for that until the deadline (seconds of steady_now()). `leader` is the fencing
  // token of the leader at the time of the write; 0 if unknown.
  virtual bool may_confirm_cancellation(const std::string& job, double deadline,
                                        uint64_t leader) = 0;
  // Whether a peer controller recently reported that it reaches the state service. If this
  // controller does not reach the state service at that time, the cause is a partition of this
  // controller rather than an outage of the state service.
  virtual bool peers_reach_state_service() const = 0;
};

// Thread-safe: requests share no state except the ledger.
class UserApi {
 public:
  // Both arguments must outlive this object.
  UserApi(const Settings& settings, JobLedger& ledger);

  // Serves one request; responds with 404 to any path that is not part of this API.
  void serve(const httplib::Request& request, httplib::Response& response);

 private:
  void submit(const httplib::Request& request, httplib::Response& response);
  void poll(const std::string& id, httplib::Response& response);
  void cancel(const std::string& id, httplib::Response& response);

  // Steps of a submission. Those that return bool return whether they have set the response.
  bool respond_from_ledger(const std::string& id, double deadline, httplib::Response& response);
  bool respond_if_cached(const std::string& id, double deadline, httplib::Response& response);
  bool respond_if_accepted_elsewhere(const std::string& id, double deadline,
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

  void respond_with_status(const std::string& id, const JobProgress& progress, bool with_counts,
                           double deadline, httplib::Response& response);
  // Whether respond_unavailable() closes the connection always, or only if a peer controller
  // reaches the state service. Closing it lets the load balancer route the user's retry to another
  // controller.
  enum class Connection { close_if_peers_reach_state_service, close };
  void respond_unavailable(httplib::Response& response, const char* reason,
                           Connection connection = Connection::close_if_peers_reach_state_service);

  const Settings& settings_;
  JobLedger& ledger_;
};

}  // namespace rookdyke
