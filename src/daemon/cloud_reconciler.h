#pragma once
// Brings the cloud's machines in line with what the scheduler wants: reads machine types and
// prices, returns and rents machines, and reads the list of those that there are. Results go to
// the scheduler of the same term.

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
  // What to do next: a request to the cloud, or nothing for a while.
  struct Wait {
    double longest_s = 0;
  };
  struct FetchTypes {
    bool store_in_ledger = false;  // leads, and the ledger has none yet
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
    uint64_t fencing_token = 0;  // of the term that it belongs to; 0: none
  };

  Work wait_for_work();
  Action next_action(ControllerState& state, double now);

  void perform(const Wait& action, uint64_t fencing_token);
  void perform(const FetchTypes& action, uint64_t fencing_token);
  void perform(const ReturnMachines& action, uint64_t fencing_token);
  void perform(const RentMachines& action, uint64_t fencing_token);
  void perform(const ListMachines& action, uint64_t fencing_token);
  void store_types(const std::vector<MachineType>& types, uint64_t fencing_token);
  // Whether the term of that token still holds, asked right before a request goes out.
  cloud::Client::MaySend may_send(uint64_t fencing_token);

  SharedState& shared_;
  cloud::Client cloud_;
  state::Client state_client_;
  const double list_interval_s_;
  double next_list_ = 0;
  double next_types_ = 0;
};

}  // namespace rookdyke
