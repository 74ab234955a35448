#pragma once
// What siblings tell one another on mesh_addr, in JSON: who leads, with which token, whether the
// state service answers, what changes a second they have use for. It makes a cut leader step aside
// sooner and tells an outage from a cut. One rule rests on what they say of cancellations
// (leadership/cancellations.h): no user hears of one that the leader may not know.

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"

namespace rookdyke::mesh {

inline constexpr const char* kView = "/mesh/v1/view";
inline constexpr const char* kCancelled = "/mesh/v1/cancelled";

struct View {
  std::string label;
  std::string incarnation;     // names the process, not the node
  std::string leader;          // empty: none known
  uint64_t fencing_token = 0;  // the highest known of
  uint64_t read_to = 0;        // a leader has read the ledger up to here
  bool state_ok = false;       // the state service answered lately
  double writes = 0;           // changes a second it has use for
  nlohmann::json images;       // from the leader, now and then: which machines hold which images
  // The state service has lowered its limits: of changes a second, of sizes. Version 0.1 reads past
  // these and says neither.
  bool rate_lowered = false, sizes_lowered = false;
};

nlohmann::json encode(const View& v);
std::string text(const View& v);  // encoded, as it goes out
std::optional<View> decode(const std::string& text);

// To the holder of the leader key: rows of cancelled jobs, durable already. `token` is the leader's
// as the sender knows it.
struct Cancelled {
  struct Row {
    std::string job;
    nlohmann::json value;
    uint64_t version = 0;
  };
  uint64_t fencing_token = 0;
  std::vector<Row> rows;
};
nlohmann::json encode(const Cancelled& c);
std::optional<Cancelled> decode_cancelled(const std::string& text);

// One sibling; for one thread.
class Peer {
 public:
  explicit Peer(const Sibling& s);
  const std::string& label() const { return label_; }
  // Tells our view and hears theirs.
  std::optional<View> exchange(const View& ours);
  // The token that it holds, having taken the rows up; 0: it holds none. Empty: no answer.
  std::optional<uint64_t> send_cancellations(const Cancelled& c);

 private:
  std::string label_;
  httplib::Client http_;
};

}  // namespace rookdyke::mesh
