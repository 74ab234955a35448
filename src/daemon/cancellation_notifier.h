#pragma once
// Notifies the leader of cancelled jobs whose users wait for a confirmation (CancellationGate). On
// the leader, also writes to the ledger the revision up to which it has read the ledger, for peer
// controllers that it does not reach over the mesh.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "config/config.h"
#include "daemon/shared_state.h"
#include "daemon/transaction_ids.h"
#include "mesh/mesh.h"
#include "state/client.h"

namespace rookdyke {

class CancellationNotifier {
 public:
  // All arguments must outlive this object.
  CancellationNotifier(const Config& config, SharedState& shared, state::RateLimiters& limiters,
                       TransactionIds& ids);

  // The thread's loop; returns after SharedState::stop.
  void run();

 private:
  struct Notification {
    std::string leader;  // label
    mesh::CancellationNotice message;
  };
  // std::monostate: nothing to do, returned after a wait.
  using Work = std::variant<std::monostate, ledger::Transaction, Notification>;

  Work wait_for_work();
  ledger::Transaction read_revision_publication(ControllerState& state);
  Notification next_notification(ControllerState& state);

  void perform(std::monostate none);
  void perform(const ledger::Transaction& publication);
  void perform(const Notification& notification);

  SharedState& shared_;
  TransactionIds& ids_;
  state::Client client_;
  std::map<std::string, std::unique_ptr<mesh::PeerClient>> peers_;  // by label
};

}  // namespace rookdyke
