#pragma once
// Applies the scheduler's decisions on machines in the cloud: fetches machine types and prices,
// returns and rents machines, and lists the rented ones. Results go to the scheduler only if the
// term in which a request was decided still runs.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cloud/client.h"
#include "config/config.h"
#include "daemon/shared_state.h"
#include "net/rate_limiter.h"
#include "state/client.h"

namespace rookdyke {

class CloudReconciler {
 public:
  // All arguments must outlive this object.
  CloudReconciler(const Config& config, SharedState& shared, net::RateLimiter& cloud_limiter,
                  state::RateLimiters& state_limiters);

  // The thread's loop; returns after SharedState::stop.
  void run();

 private:
  // The possible next steps: a request to the cloud, or a wait.
  struct Wait {
    double timeout_s = 0;
  };
  struct FetchTypes {
    bool store_in_ledger = false;  // as leader, while the ledger holds no types
  };
  struct ReturnMachines {
    std::vector<std::string> names;
  };
  struct RentMachines {
    RentalRequest request;
  };
  struct ListMachines {};
  using Action = std::variant<Wait, FetchTypes, ReturnMachines, RentMachines, ListMachines>;
  struct Work {
    Action action;
    uint64_t fencing_token = 0;  // of the term in which it was decided; 0: not the leader
  };

  Work wait_for_work();
  Action next_action(ControllerState& state, double now);

  void perform(const Wait& action, uint64_t fencing_token);
  void perform(const FetchTypes& action, uint64_t fencing_token);
  void perform(const ReturnMachines& action, uint64_t fencing_token);
  void perform(const RentMachines& action, uint64_t fencing_token);
  void perform(const ListMachines& action, uint64_t fencing_token);
  void store_types(const std::vector<MachineType>& types, uint64_t fencing_token);
  // Returns a predicate that cloud::Client calls right before it sends a request: whether the term
  // with this fencing token is current (SharedState::term_is_current).
  cloud::Client::MaySend may_send(uint64_t fencing_token);

  SharedState& shared_;
  cloud::Client cloud_;
  state::Client state_client_;
  const double list_interval_s_;
  double next_list_at_ = 0;  // steady_now()
  double next_types_fetch_at_ = 0;
};

}  // namespace rookdyke
