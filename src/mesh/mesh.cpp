#include "mesh/mesh.h"

namespace rookdyke::mesh {

using nlohmann::json;

json encode(const View& v) {
  json out = {{"label", v.label},     {"incarnation", v.incarnation},
              {"read_to", v.read_to}, {"leader", v.leader},
              {"token", v.token},     {"state_ok", v.state_ok},
              {"writes", v.writes}};
  if (!v.images.is_null()) out["images"] = v.images;
  return out;
}

std::optional<View> decode(const std::string& text) {
  const json j = json::parse(text, nullptr, false);
  if (j.is_discarded()) return std::nullopt;
  try {
    View v;
    j.at("label").get_to(v.label);
    j.at("leader").get_to(v.leader);
    j.at("token").get_to(v.token);
    j.at("state_ok").get_to(v.state_ok);
    v.writes = j.value("writes", 0.0);
    v.incarnation = j.value("incarnation", "");
    v.read_to = j.value("read_to", uint64_t{0});
    if (j.contains("images")) v.images = j.at("images");
    return v;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

json encode(const Cancelled& c) {
  json rows = json::array();
  for (const Cancelled::Row& r : c.rows) rows.push_back(json::array({r.job, r.value, r.stamp}));
  return {{"token", c.token}, {"rows", std::move(rows)}};
}

std::optional<Cancelled> decode_cancelled(const std::string& text) {
  const json j = json::parse(text, nullptr, false);
  if (j.is_discarded()) return std::nullopt;
  try {
    Cancelled c;
    j.at("token").get_to(c.token);
    for (const json& r : j.at("rows"))
      c.rows.push_back({r.at(0).get<std::string>(), r.at(1), r.at(2).get<uint64_t>()});
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
  const auto r = http_.Post(kView, encode(ours).dump(), "application/json");
  if (!r || r->status != 200) return std::nullopt;
  return decode(r->body);
}

std::optional<uint64_t> Peer::tell(const Cancelled& c) {
  const auto r = http_.Post(kCancelled, encode(c).dump(), "application/json");
  if (!r || r->status != 200) return std::nullopt;
  const json j = json::parse(r->body, nullptr, false);
  if (!j.is_object() || !j.contains("token") || !j["token"].is_number_unsigned())
    return std::nullopt;
  return j["token"].get<uint64_t>();
}

}  // namespace rookdyke::mesh
