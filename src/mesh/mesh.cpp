#include "mesh/mesh.h"

namespace rookdyke::mesh {

using nlohmann::json;

namespace {
constexpr int kMaxDepth = 32;
constexpr uint64_t kMaxToken = uint64_t{1} << 53;  // tokens are revisions of the ledger
}  // namespace

json encode(const View& v) {
  json out = {{"label", v.label},
              {"leader", v.leader},
              {"token", v.token},
              {"state_ok", v.state_ok},
              {"writes", v.writes}};
  if (!v.images.is_null()) out["images"] = v.images;
  return out;
}

std::string text(const View& v) {
  // Names come from users and workers; one that is no UTF-8 must not end the caller.
  return encode(v).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<View> decode(const std::string& text) {
  // The library copies by recursion: a message of nothing but nested lists ends a small stack.
  bool deep = false;
  const auto shallow = [&](int depth, json::parse_event_t, json&) {
    deep = deep || depth > kMaxDepth;
    return !deep;
  };
  const json j = json::parse(text, shallow, false);
  if (j.is_discarded() || deep) return std::nullopt;
  try {
    View v;
    j.at("label").get_to(v.label);
    j.at("leader").get_to(v.leader);
    // -1 would be read as the highest of all tokens, and depose every leader for ever.
    const json& token = j.at("token");
    if (!token.is_number_unsigned() || token.get<uint64_t>() > kMaxToken) return std::nullopt;
    token.get_to(v.token);
    j.at("state_ok").get_to(v.state_ok);
    v.writes = j.value("writes", 0.0);
    if (v.writes < 0) return std::nullopt;
    if (j.contains("images")) v.images = j.at("images");
    return v;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

Peer::Peer(const Sibling& s) : label_(s.label), http_(s.mesh.host, s.mesh.port) {
  http_.set_keep_alive(true);
  http_.set_tcp_nodelay(true);
  http_.set_connection_timeout(0, 400'000);
  http_.set_read_timeout(0, 500'000);
  http_.set_write_timeout(0, 500'000);
}

std::optional<View> Peer::exchange(const View& ours) {
  const auto r = http_.Post(kView, text(ours), "application/json");
  if (!r || r->status != 200) return std::nullopt;
  return decode(r->body);
}

}  // namespace rookdyke::mesh
