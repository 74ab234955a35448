#pragma once
// What the leader asks of the cloud and what it makes of the answers: rentals, returns, and
// reconciliation with the cloud's list of machines. Owns the queue of rental requests and the
// memory of where the cloud lately had no capacity. Filled by ScaleOutPlanner; emptied by the
// daemon, which sends the calls (at most one rental at a time) and reports their outcome. A request
// keeps its name until the cloud has answered it, so that repeating it is idempotent (invariant 4).
// All times are seconds on the leader's clock.

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

// Where capacity is asked for.
struct ZoneAndKind {
  Index zone = kNone;
  MachineKind kind = MachineKind::on_demand;
  bool operator<(const ZoneAndKind& other) const {
    return std::tie(zone, kind) < std::tie(other.zone, other.kind);
  }
};

class CloudRequests {
 public:
  // A rental request without an answer so far.
  struct PendingRental {
    ZoneAndKind place;
    int count = 0;
  };

  // All must outlive this object.
  CloudRequests(const Settings& settings, Catalog& catalog, const LeadershipClaim& claim,
                JobTable& jobs, MachineTable& machines, TaskLifecycle& lifecycle,
                const MachineMonitor& monitor);

  // Queues a request for `count` machines, at least one and at most as many as one call may name.
  // False: the place lately had no capacity.
  bool request_machines(Index type, const ZoneAndKind& place, double count, double now);
  // Whether the rental interval has passed since the last request of any type.
  bool may_request(double now) const { return now >= request_at_; }
  // Whether the cloud lately had no capacity there for the type.
  bool lacks_capacity(Index type, const ZoneAndKind& place, double now) const;
  // Of one type, oldest first.
  std::vector<PendingRental> pending_rentals(Index type) const;

  // The request to send now, which stays queued until on_rental_result(); empty: none.
  std::optional<RentalRequest> next_rental_request(double now);
  // `names`: of the machines that were rented.
  void on_rental_result(const RentalRequest& request, CloudOutcome outcome,
                        const std::vector<std::string>& names, double now);

  // The names of machines to return now, with one call. `cancelled_only`: those that hold work of
  // cancelled jobs.
  std::vector<std::string> next_return(double now, bool cancelled_only);
  void on_return(const std::vector<std::string>& names, CloudOutcome outcome, double now);

  // The cloud's list of machines, asked for at `asked`: takes over machines that are not known and
  // notes those that are not listed.
  void on_machine_list(const std::vector<ListedMachine>& list, double asked, double now);

 private:
  void add_rented(const RentalRequest& request, const std::vector<std::string>& names, double now);
  void record_capacity_refusal(const RentalRequest& request, double now);
  void on_returned(Machine& machine, double now);
  void update_from_list(Machine& machine, const ListedMachine& listed, double now);

  const Settings& settings_;
  Catalog& catalog_;
  const LeadershipClaim& claim_;
  JobTable& jobs_;
  MachineTable& machines_;
  TaskLifecycle& lifecycle_;
  const MachineMonitor& monitor_;

  std::deque<RentalRequest> rental_requests_;  // unanswered, oldest first
  bool rental_in_flight_ = false;
  uint64_t last_rental_number_ = 0;
  double request_at_ = 0;                                     // no request is queued earlier
  double retry_at_ = 0;                                       // none is sent earlier
  std::vector<std::map<ZoneAndKind, double>> refused_until_;  // by type
};

}  // namespace rookdyke
