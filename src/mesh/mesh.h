#pragma once
// The messages that sibling controllers exchange on mesh_addr, in JSON, and the client for one
// sibling. Views say who leads with which token, whether the state service answers, and how many
// changes a second their sender needs: a partitioned leader steps down sooner, and an outage is
// told from a partition. Notifications of cancellations let users hear of them
// (leadership/cancellations.h). Keys and paths are fixed: older versions understand them.

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"

namespace rookdyke::mesh {

inline constexpr const char* kViewPath = "/mesh/v1/view";
inline constexpr const char* kCancelledPath = "/mesh/v1/cancelled";

// What a controller knows, as it tells its siblings.
struct View {
  std::string label;
  std::string incarnation;         // names the process, not the controller
  std::string leader;              // its label; empty: none known
  uint64_t fencing_token = 0;      // the highest known of
  uint64_t read_to = 0;            // a leader has read the ledger up to this revision
  bool state_ok = false;           // the state service answered lately
  double write_demand = 0;         // changes a second that it needs
  nlohmann::json image_locations;  // from the leader, now and then; otherwise null
  // The state service has lowered its limit of changes a second. Version 0.1 ignores this and the
  // next, and sends neither.
  bool rate_lowered = false;
  bool sizes_lowered = false;  // the same of its limits of sizes
};

nlohmann::json encode(const View& view);
// The encoded view as it is sent.
std::string serialize(const View& view);
// Empty: malformed.
std::optional<View> decode(const std::string& text);

// Notifies the holder of the leader key of cancelled jobs, whose rows are durable already.
struct Cancelled {
  struct Row {
    std::string job;
    nlohmann::json value;
    uint64_t version = 0;
  };
  uint64_t fencing_token = 0;  // the leader's, as the sender knows it
  std::vector<Row> rows;
};

nlohmann::json encode(const Cancelled& cancelled);
// Empty: malformed.
std::optional<Cancelled> decode_cancelled(const std::string& text);

// The client for one sibling. For one thread; every call has timeouts below a second.
class Peer {
 public:
  explicit Peer(const Sibling& sibling);

  const std::string& label() const { return label_; }
  // Sends this controller's view and returns the sibling's; empty: no answer.
  std::optional<View> exchange(const View& ours);
  // The token that the sibling leads with, having applied the rows; 0: it does not lead. Empty: no
  // answer.
  std::optional<uint64_t> send_cancellations(const Cancelled& cancelled);

 private:
  std::string label_;
  httplib::Client http_;
};

}  // namespace rookdyke::mesh
