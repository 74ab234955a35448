#include "mesh/mesh.h"

namespace rookdyke::mesh {

using nlohmann::json;

namespace {
constexpr int kMaxDepth = 32;
constexpr uint64_t kMaxToken = uint64_t{1} << 53;  // tokens are revisions of the ledger

// The library copies by recursion: a message of nothing but nested lists ends a small stack.
json parse(const std::string& text) {
  bool deep = false;
  const auto shallow = [&](int depth, json::parse_event_t, json&) {
    deep = deep || depth > kMaxDepth;
    return !deep;
  };
  json j = json::parse(text, shallow, false);
  return deep ? json(json::value_t::discarded) : j;
}

// -1 would be read as the highest of all tokens, and depose every leader for ever.
std::optional<uint64_t> revision(const json& j) {
  if (!j.is_number_unsigned() || j.get<uint64_t>() > kMaxToken) return std::nullopt;
  return j.get<uint64_t>();
}
}  // namespace

json encode(const View& v) {
  json out = {
      {"label", v.label},   {"incarnation", v.incarnation},   {"read_to", v.read_to},
      {"leader", v.leader}, {"token", v.fencing_token},       {"state_ok", v.state_ok},
      {"writes", v.writes}, {"rate_lowered", v.rate_lowered}, {"sizes_lowered", v.sizes_lowered}};
  if (!v.images.is_null()) out["images"] = v.images;
  return out;
}

std::string text(const View& v) {
  // Names come from users and workers; one that is no UTF-8 must not end the caller.
  return encode(v).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<View> decode(const std::string& text) {
  const json j = parse(text);
  if (j.is_discarded()) return std::nullopt;
  try {
    View v;
    j.at("label").get_to(v.label);
    j.at("leader").get_to(v.leader);
    const auto fencing_token = revision(j.at("token"));
    // One that is too high would let users hear of what no leader knows.
    const auto read_to = revision(j.value("read_to", json(uint64_t{0})));
    if (!fencing_token || !read_to) return std::nullopt;
    v.fencing_token = *fencing_token;
    v.read_to = *read_to;
    j.at("state_ok").get_to(v.state_ok);
    v.writes = j.value("writes", 0.0);
    if (v.writes < 0) return std::nullopt;
    v.incarnation = j.value("incarnation", "");
    v.rate_lowered = j.value("rate_lowered", false);
    v.sizes_lowered = j.value("sizes_lowered", false);
    if (j.contains("images")) v.images = j.at("images");
    return v;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

json encode(const Cancelled& c) {
  json rows = json::array();
  for (const Cancelled::Row& r : c.rows) rows.push_back(json::array({r.job, r.value, r.version}));
  return {{"token", c.fencing_token}, {"rows", std::move(rows)}};
}

std::optional<Cancelled> decode_cancelled(const std::string& text) {
  const json j = parse(text);
  if (j.is_discarded()) return std::nullopt;
  try {
    Cancelled c;
    const auto fencing_token = revision(j.at("token"));
    if (!fencing_token) return std::nullopt;
    c.fencing_token = *fencing_token;
    for (const json& r : j.at("rows")) {
      const auto version = revision(r.at(2));
      if (!version) return std::nullopt;
      c.rows.push_back({r.at(0).get<std::string>(), r.at(1), *version});
    }
    return c;
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

std::optional<uint64_t> Peer::send_cancellations(const Cancelled& c) {
  const auto r =
      http_.Post(kCancelled, encode(c).dump(-1, ' ', false, json::error_handler_t::replace),
                 "application/json");
  if (!r || r->status != 200) return std::nullopt;
  const json j = parse(r->body);
  return j.is_object() && j.contains("token") ? revision(j["token"]) : std::nullopt;
}

}  // namespace rookdyke::mesh
