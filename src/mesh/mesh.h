#pragma once
// The JSON messages that the controllers of a deployment exchange on mesh_addr, and the client for
// one peer controller.
//
// A view reports what its sender knows of the leader and of the state service, and how much of the
// shared write rate the sender needs. Through views, a leader that is partitioned from the state
// service learns of its successor and steps down before its lease ends, and controllers distinguish
// an outage of the state service from a partition. A cancellation notice informs the leader of
// cancellations, so that they can be confirmed to users (leadership/cancellations.h). Paths and
// keys must not change, since older versions of the program use them too.

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"

namespace rookdyke::mesh {

inline constexpr const char* kViewPath = "/mesh/v1/view";
inline constexpr const char* kCancelledPath = "/mesh/v1/cancelled";

// The state that a controller reports to its peer controllers.
struct View {
  std::string label;           // of the sender
  std::string incarnation;     // identifies the sender's process; changes when it restarts
  std::string leader;          // label of the known leader; empty: none is known
  uint64_t fencing_token = 0;  // the highest fencing token that the sender knows
  // The highest revision up to which, as far as the sender knows, a leader has read the ledger.
  uint64_t read_to = 0;
  bool state_ok = false;    // the state service responded to the sender recently
  double write_demand = 0;  // row changes per second that the sender needs
  // The images that machines have cached (ImageTracker::image_locations). Sent periodically by the
  // leader; otherwise null.
  nlohmann::json image_locations;
  // Whether the sender knows that the state service has lowered its write rate limit
  // (rate_lowered), and its limits on the sizes of values and transactions (sizes_lowered). Version
  // 0.1 neither sends nor reads these two fields.
  bool rate_lowered = false;
  bool sizes_lowered = false;
};

nlohmann::json encode(const View& view);
// Returns the body of the message that carries the view.
std::string serialize(const View& view);
// Returns nullopt if the message is malformed.
std::optional<View> decode(const std::string& text);

// Carries the rows of cancelled jobs, which are already durable, to the controller that holds the
// leader key.
struct CancellationNotice {
  struct Row {
    std::string job;
    nlohmann::json value;
    uint64_t version = 0;
  };
  uint64_t fencing_token = 0;  // of the leader that the sender knows; 0: none is known
  std::vector<Row> rows;
};

nlohmann::json encode(const CancellationNotice& notice);
// Returns nullopt if the message is malformed.
std::optional<CancellationNotice> decode_cancellation_notice(const std::string& text);

// HTTP client for one peer controller. Not thread-safe. The timeouts for connecting, and for each
// read and each write on the socket, are half a second or less.
class PeerClient {
 public:
  explicit PeerClient(const PeerController& peer);

  const std::string& label() const { return label_; }
  // Sends this controller's view and returns the peer's, or nullopt without a valid response.
  std::optional<View> exchange(const View& own_view);
  // Returns the fencing token under which the peer leads and has applied the rows, 0 if it has not
  // applied them (for example, because it does not lead), or nullopt without a valid response.
  std::optional<uint64_t> send_cancellations(const CancellationNotice& notice);

 private:
  std::string label_;
  httplib::Client http_;
};

}  // namespace rookdyke::mesh
