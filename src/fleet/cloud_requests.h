#pragma once
// The leader's requests to the cloud and the handling of the responses: rentals, returns, and
// reconciliation with the cloud's list of machines. Owns the queue of rental requests and a record
// of the zones and kinds for which the cloud had no capacity recently. ScaleOutPlanner queues
// requests; the daemon sends them (at most one rental at a time) and reports their outcome. A
// request keeps its name until on_rental_result() settles it, so that repeating it is idempotent
// (invariant 4). All times are seconds on the leader's steady clock.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "fleet/machine_monitor.h"
#include "leadership/leadership_claim.h"
#include "model/machine.h"
#include "model/scheduler_messages.h"
#include "model/settings.h"
#include "scheduler/catalog.h"
#include "scheduler/job_table.h"
#include "scheduler/machine_table.h"
#include "scheduler/task_lifecycle.h"

namespace rookdyke {

enum class MachineKind : uint8_t { on_demand, spot };

// Zone and kind of the machines in a rental request.
struct ZoneAndKind {
  Index zone = kNone;
  MachineKind kind = MachineKind::on_demand;
  bool operator<(const ZoneAndKind& other) const {
    return std::tie(zone, kind) < std::tie(other.zone, other.kind);
  }
};

class CloudRequests {
 public:
  // A rental request that is not settled yet: one that was not sent, or may have to be repeated.
  struct PendingRental {
    ZoneAndKind zone_and_kind;
    int count = 0;
  };

  // All references must outlive this object.
  CloudRequests(const Settings& settings, Catalog& catalog, const LeadershipClaim& claim,
                JobTable& jobs, MachineTable& machines, TaskLifecycle& lifecycle,
                const MachineMonitor& monitor);

  // Queues a request for `count` machines, clamped to the range that one request may ask for.
  // Returns false, and queues nothing, while lacks_capacity() holds for the type, zone and kind.
  bool request_machines(Index type, const ZoneAndKind& zone_and_kind, double count, double now);
  // Whether the rental interval has passed since a request for any type was last queued.
  bool may_request(double now) const { return now >= next_request_at_; }
  // Whether the cloud reported no capacity for the type, zone and kind within the capacity retry
  // interval.
  bool lacks_capacity(Index type, const ZoneAndKind& zone_and_kind, double now) const;
  // The pending rentals of one type, oldest first.
  std::vector<PendingRental> pending_rentals(Index type) const;

  // The request to send now, if any. It stays queued until on_rental_result() settles it.
  std::optional<RentalRequest> next_rental_request(double now);
  // `names`: the machines that were rented.
  void on_rental_result(const RentalRequest& request, CloudOutcome outcome,
                        const std::vector<std::string>& names, double now);

  // Selects the machines to return now, in one call to the cloud, marks them as being returned, and
  // returns their names. `cancelled_only`: only machines that may run tasks of cancelled jobs.
  std::vector<std::string> next_return(double now, bool cancelled_only);
  void on_return_result(const std::vector<std::string>& names, CloudOutcome outcome, double now);

  // Reconciles the machine table with the cloud's list of machines: adds unknown machines and marks
  // those whose absence from the list is conclusive. `requested_at`: when the list was requested.
  void on_machine_list(const std::vector<ListedMachine>& list, double requested_at, double now);

 private:
  void add_rented(const RentalRequest& request, const std::vector<std::string>& names, double now);
  void record_no_capacity(const RentalRequest& request, double now);
  void mark_returned(Machine& machine, double now);
  void update_from_list(Machine& machine, const ListedMachine& listed, double now);

  const Settings& settings_;
  Catalog& catalog_;
  const LeadershipClaim& claim_;
  JobTable& jobs_;
  MachineTable& machines_;
  TaskLifecycle& lifecycle_;
  const MachineMonitor& monitor_;

  std::deque<RentalRequest> rental_requests_;  // not settled yet, oldest first
  bool rental_in_flight_ = false;
  uint64_t last_rental_number_ = 0;
  double next_request_at_ = 0;  // earliest time at which a request may be queued
  double retry_at_ = 0;         // earliest time at which a request may be sent
  std::vector<std::map<ZoneAndKind, double>> no_capacity_until_;  // by type
};

}  // namespace rookdyke
