#pragma once
// What siblings tell one another on mesh_addr, in JSON: who they believe leads, with which token,
// whether the state service answers them, and how many of the shared changes a second they have use
// for. Nothing correct rests on it; it makes a leader that is cut from the state service alone step
// aside sooner, tells an outage from a cut, and divides the rate of changes by need.

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"

namespace rookdyke::mesh {

inline constexpr const char* kView = "/mesh/v1/view";

struct View {
  std::string label;
  std::string leader;     // empty: none known
  uint64_t token = 0;     // the leader's
  bool state_ok = false;  // the state service answered lately
  double writes = 0;      // changes a second it has use for
  nlohmann::json images;  // from the leader, now and then: which machines hold which images
};

nlohmann::json encode(const View& v);
std::string text(const View& v);  // encoded, as it goes out
std::optional<View> decode(const std::string& text);

// One sibling; for one thread.
class Peer {
 public:
  explicit Peer(const Sibling& s);
  const std::string& label() const { return label_; }
  // Tells our view and hears theirs.
  std::optional<View> exchange(const View& ours);

 private:
  std::string label_;
  httplib::Client http_;
};

}  // namespace rookdyke::mesh
