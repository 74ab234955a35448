#include "mesh/mesh.h"

#include <chrono>
#include <utility>

namespace rookdyke::mesh {

using nlohmann::json;

namespace {

constexpr int kMaxDepth = 32;
constexpr uint64_t kMaxRevision = uint64_t{1} << 53;
constexpr int kOk = 200;
constexpr const char* kContentType = "application/json";
constexpr std::chrono::milliseconds kConnectTimeout(400);
constexpr std::chrono::milliseconds kTransferTimeout(500);

// Parses a JSON text; the result is discarded if the text is malformed or nested too deeply. The
// library copies values recursively, so deeply nested lists would overflow the small stack of a
// thread.
json parse(const std::string& text) {
  bool too_deep = false;
  const auto accept = [&](int depth, json::parse_event_t, json&) {
    too_deep = too_deep || depth > kMaxDepth;
    return !too_deep;
  };
  json parsed = json::parse(text, accept, false);
  return too_deep ? json(json::value_t::discarded) : parsed;
}

// Replaces invalid UTF-8; the library's default is to throw. Names in users' and workers' messages
// are checked when they are received (wire::is_name), but names in rows of the ledger are not.
std::string dump(const json& message) {
  return message.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Parses a revision of the state service; fencing tokens are revisions too. Negative numbers and
// numbers above kMaxRevision are invalid: -1 would be converted to the highest token, which would
// depose every leader permanently.
std::optional<uint64_t> parse_revision(const json& value) {
  if (!value.is_number_unsigned() || value.get<uint64_t>() > kMaxRevision) return std::nullopt;
  return value.get<uint64_t>();
}

}  // namespace

json encode(const View& view) {
  json out = {{"label", view.label},
              {"incarnation", view.incarnation},
              {"read_to", view.read_to},
              {"leader", view.leader},
              {"token", view.fencing_token},
              {"state_ok", view.state_ok},
              {"writes", view.write_demand},
              {"rate_lowered", view.rate_lowered},
              {"sizes_lowered", view.sizes_lowered}};
  if (!view.image_locations.is_null()) out["images"] = view.image_locations;
  return out;
}

std::string serialize(const View& view) { return dump(encode(view)); }

std::optional<View> decode(const std::string& text) {
  const json message = parse(text);
  if (message.is_discarded()) return std::nullopt;
  try {
    View view;
    message.at("label").get_to(view.label);
    message.at("leader").get_to(view.leader);
    const auto fencing_token = parse_revision(message.at("token"));
    // If `read_to` were too high, cancellations that no leader knows would be confirmed to users.
    const auto read_to = parse_revision(message.value("read_to", json(uint64_t{0})));
    if (!fencing_token || !read_to) return std::nullopt;
    view.fencing_token = *fencing_token;
    view.read_to = *read_to;
    message.at("state_ok").get_to(view.state_ok);
    view.write_demand = message.value("writes", 0.0);
    if (view.write_demand < 0) return std::nullopt;
    view.incarnation = message.value("incarnation", "");
    view.rate_lowered = message.value("rate_lowered", false);
    view.sizes_lowered = message.value("sizes_lowered", false);
    if (message.contains("images")) view.image_locations = message.at("images");
    return view;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

json encode(const CancellationNotice& notice) {
  json rows = json::array();
  for (const CancellationNotice::Row& row : notice.rows)
    rows.push_back(json::array({row.job, row.value, row.version}));
  return {{"token", notice.fencing_token}, {"rows", std::move(rows)}};
}

std::optional<CancellationNotice> decode_cancellation_notice(const std::string& text) {
  const json message = parse(text);
  if (message.is_discarded()) return std::nullopt;
  try {
    CancellationNotice notice;
    const auto fencing_token = parse_revision(message.at("token"));
    if (!fencing_token) return std::nullopt;
    notice.fencing_token = *fencing_token;
    for (const json& row : message.at("rows")) {
      const auto version = parse_revision(row.at(2));
      if (!version) return std::nullopt;
      notice.rows.push_back({row.at(0).get<std::string>(), row.at(1), *version});
    }
    return notice;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

PeerClient::PeerClient(const PeerController& peer)
    : label_(peer.label), http_(peer.mesh.host, peer.mesh.port) {
  http_.set_keep_alive(true);
  http_.set_tcp_nodelay(true);
  http_.set_connection_timeout(kConnectTimeout);
  http_.set_read_timeout(kTransferTimeout);
  http_.set_write_timeout(kTransferTimeout);
}

std::optional<View> PeerClient::exchange(const View& own_view) {
  const auto response = http_.Post(kViewPath, serialize(own_view), kContentType);
  if (!response || response->status != kOk) return std::nullopt;
  return decode(response->body);
}

std::optional<uint64_t> PeerClient::send_cancellations(const CancellationNotice& notice) {
  const auto response = http_.Post(kCancelledPath, dump(encode(notice)), kContentType);
  if (!response || response->status != kOk) return std::nullopt;
  const json reply = parse(response->body);
  if (!reply.is_object() || !reply.contains("token")) return std::nullopt;
  return parse_revision(reply["token"]);
}

}  // namespace rookdyke::mesh
