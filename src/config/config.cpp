#include "config/config.h"

#include <ini.h>

#include <charconv>
#include <cmath>
#include <fstream>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

namespace rookdyke {

using nlohmann::json;

namespace {

[[noreturn]] void bad(const std::string& what) { throw ConfigError("settings: " + what); }

const json& need(const json& j, const char* field, const std::string& where) {
  if (!j.is_object() || !j.contains(field)) bad("missing " + where + field);
  return j.at(field);
}

std::string text(const json& j, const char* field, const std::string& where) {
  const json& v = need(j, field, where);
  if (!v.is_string() || v.get_ref<const std::string&>().empty())
    bad(where + field + " must be a text");
  return v.get<std::string>();
}

double number(const json& j, const char* field, const std::string& where, double least,
              double most) {
  const json& v = need(j, field, where);
  if (!v.is_number()) bad(where + field + " must be a number");
  const double d = v.get<double>();
  if (!std::isfinite(d) || d < least || d > most) bad(where + field + " is out of range");
  return d;
}

Endpoint endpoint(const std::string& s, const std::string& where) {
  const size_t colon = s.rfind(':');
  Endpoint e;
  if (colon == std::string::npos || colon == 0) bad(where + " must be HOST:PORT");
  e.host = s.substr(0, colon);
  const char* end = s.data() + s.size();
  auto [p, ec] = std::from_chars(s.data() + colon + 1, end, e.port);
  if (ec != std::errc() || p != end || e.port < 1 || e.port > 65535) bad(where + " has a bad port");
  return e;
}

size_t value_bytes(const json& state, const std::string& where) {
  return static_cast<size_t>(number(state, "value_kb", where, 0.25, 1e6) * 1024);
}

// The limits that the state service will have from some moment on, if it tells.
std::optional<StateLimits> next_limits(const json& state) {
  if (!state.contains("next") || state.at("next").is_null()) return std::nullopt;
  const json& next = state.at("next");
  const std::string where = "params.state.next.";
  if (!next.is_object()) bad("params.state.next must be an object");
  StateLimits limits;
  limits.value_bytes = value_bytes(next, where);
  limits.txn_ops = static_cast<size_t>(number(next, "txn_ops", where, 1, 1e6));
  limits.write_rps = number(next, "write_rps", where, 0.5, 1e9);
  return limits;
}

}  // namespace

Config parse_config(const std::string& body) {
  const json j = json::parse(body, nullptr, false);
  if (j.is_discarded() || !j.is_object()) bad("not a JSON object");
  Config c;
  c.scheduler.label = text(j, "label", "");
  c.bind = endpoint(text(j, "bind", ""), "bind");
  c.mesh = endpoint(text(j, "mesh_addr", ""), "mesh_addr");
  const json& siblings = need(j, "siblings", "");
  if (!siblings.is_array()) bad("siblings must be a list");
  for (const json& s : siblings)
    c.siblings.push_back({text(s, "label", "siblings."),
                          endpoint(text(s, "endpoint", "siblings."), "siblings.endpoint")});
  const json& ext = need(j, "external", "");
  c.cloud = endpoint(text(ext, "cloud", "external."), "external.cloud");
  c.state = endpoint(text(ext, "state", "external."), "external.state");
  const json& p = need(j, "params", "");
  c.nodes = static_cast<int>(number(p, "nodes", "params.", 1, 1000));
  const json& zones = need(p, "zones", "params.");
  if (!zones.is_array()) bad("params.zones must be a list");
  for (const json& z : zones) {
    if (!z.is_string()) bad("params.zones must hold texts");
    c.scheduler.zones.push_back(z.get<std::string>());
  }
  const json& teams = need(p, "teams", "params.");
  if (!teams.is_array()) bad("params.teams must be a list");
  for (const json& t : teams) {
    const std::string w = "params.teams.";
    c.scheduler.teams.push_back({text(t, "name", w), number(t, "cpus", w, 0, 1e9),
                                 number(t, "cpus_max", w, 0, 1e9), number(t, "gpus", w, 0, 1e9),
                                 number(t, "gpus_max", w, 0, 1e9)});
  }
  // Other kinds of objectives may come; they order nothing.
  if (p.contains("objectives")) {
    const json& list = p.at("objectives");
    if (!list.is_array()) bad("params.objectives must be a list");
    for (const json& o : list) {
      const std::string ow = "params.objectives.", kind = text(o, "kind", ow);
      if (kind != "wait" && kind != "finished") continue;
      c.scheduler.objectives.push_back(
          {kind == "wait", text(o, "class", ow), number(o, "within_s", ow, 0, 1e9)});
    }
  }
  const json& w = need(p, "workers", "params.");
  const std::string ww = "params.workers.";
  c.scheduler.heartbeat_interval_s = number(w, "report_s", ww, 0.1, 3600);
  c.scheduler.lease_s = number(w, "lease_s", ww, 0.5, 86400);
  c.scheduler.gang_wait_s = number(w, "gang_wait_s", ww, 0, 86400);
  c.scheduler.gang_peer_s = number(w, "gang_peer_s", ww, 0, 86400);
  c.scheduler.cancel_s = number(w, "cancel_s", ww, 0, 86400);
  const json& s = need(p, "state", "params.");
  const std::string sw = "params.state.";
  c.state_rps = number(s, "rps", sw, 1, 1e9);
  c.write_rps = number(s, "write_rps", sw, 0.5, 1e9);
  c.scheduler.value_bytes = value_bytes(s, sw);
  c.scheduler.txn_ops = static_cast<size_t>(number(s, "txn_ops", sw, 1, 1e6));
  c.scheduler.next_limits = next_limits(s);
  const json& cl = need(p, "cloud", "params.");
  c.cloud_rps = number(cl, "rps", "params.cloud.", 0.1, 1e9);
  c.scheduler.list_lag_s = number(cl, "list_lag_s", "params.cloud.", 0, 3600);
  const json& r = need(p, "resources", "params.");
  c.cores = number(r, "cores", "params.resources.", 0.001, 1e6);
  c.memory_mb = number(r, "memory_mb", "params.resources.", 1, 1e9);
  c.max_sockets = static_cast<size_t>(number(r, "max_sockets", "params.resources.", 16, 1e9));
  return c;
}

size_t connections_from_siblings(const Config& c) {
  // One each; a sibling that restarts or gave up waiting comes with a second before we know.
  return 4 + 3 * c.siblings.size();
}

size_t connections_from_outside(const Config& c) {
  // Listeners, polls, clients of the state service and the cloud, direct commands: some thirty; one
  // to each sibling. A rush leaves some connections between the network and us.
  const size_t own = 40 + c.siblings.size() + connections_from_siblings(c) + c.max_sockets / 32;
  return c.max_sockets > 2 * own ? c.max_sockets - own : c.max_sockets / 2;
}

namespace {

struct Field {
  double* real;
  int* whole;
  double least, most;
};

struct IniReader {
  std::map<std::string, std::map<std::string, Field>> known;
  std::string error;

  void set(const std::string& section, const std::string& key, const std::string& value) {
    auto s = known.find(section);
    if (s == known.end()) {
      error = "unknown section [" + section + "]";
      return;
    }
    auto k = s->second.find(key);
    if (k == s->second.end()) {
      error = "unknown key " + key + " in [" + section + "]";
      return;
    }
    const Field& f = k->second;
    double d = 0;
    const char* end = value.data() + value.size();
    auto [p, ec] = std::from_chars(value.data(), end, d);
    if (ec != std::errc() || p != end || !std::isfinite(d) || d < f.least || d > f.most ||
        (f.whole && d != std::floor(d))) {
      error = "bad value for " + key + " in [" + section + "]";
      return;
    }
    if (f.real)
      *f.real = d;
    else
      *f.whole = static_cast<int>(d);
  }
};

}  // namespace

void apply_ini(Config& c, const std::string& path) {
  Tuning& t = c.scheduler.tuning;
  IniReader reader;
  reader.known = {{"forecast",
                   {{"sample_s", {&t.sample_s, nullptr, 0.5, 600}},
                    {"trend_s", {&t.trend_s, nullptr, 0, 3600}},
                    {"percentile", {&t.percentile, nullptr, 0.01, 1}},
                    {"history", {nullptr, &t.history, 1, 100000}},
                    {"safe_fraction", {&t.safe_fraction, nullptr, 0.05, 1}},
                    {"boot_window_s", {&t.boot_window_s, nullptr, 0, 3600}},
                    {"start_spare", {&t.start_spare, nullptr, 0, 1000}}}},
                  {"fleet",
                   {{"lull_s", {&t.scale_in_delay_s, nullptr, 0, 86400}},
                    {"drain_deadline_s", {&t.drain_deadline_s, nullptr, 1, 86400}},
                    {"hire_every_s", {&t.rental_interval_s, nullptr, 0.2, 600}},
                    {"refusal_s", {&t.capacity_retry_s, nullptr, 1, 3600}},
                    {"boot_patience", {&t.boot_timeout_factor, nullptr, 1, 100}},

                    {"silence_s", {&t.heartbeat_timeout_s, nullptr, 0, 3600}}}},
                  {"rounds",
                   {{"small_first", {&t.short_job_preference_s, nullptr, 0, 100}},
                    {"round_s", {&t.round_s, nullptr, 0.02, 60}},
                    {"round_max_s", {&t.round_max_s, nullptr, 0.02, 60}}}},
                  {"node",
                   {{"lease_ttl_s", {&c.lease_ttl_s, nullptr, 0.5, 60}},
                    {"watch_s", {&c.leader_watch_s, nullptr, 0.02, 10}},
                    {"follow_s", {&c.follower_watch_s, nullptr, 0.02, 10}}}}};
  const int rc = ini_parse(
      path.c_str(),
      [](void* user, const char* section, const char* name, const char* value) -> int {
        auto* r = static_cast<IniReader*>(user);
        if (r->error.empty()) r->set(section, name, value);
        return 1;
      },
      &reader);
  if (rc < 0) throw ConfigError("ini: cannot read " + path);
  if (!reader.error.empty()) throw ConfigError("ini: " + reader.error);
  if (rc > 0)
    throw ConfigError("ini: " + path + " line " + std::to_string(rc) + " cannot be understood");
  if (t.round_max_s < t.round_s) throw ConfigError("ini: round_max_s is below round_s");
}

Config read_config(const std::string& json_path, const std::optional<std::string>& ini_path) {
  std::ifstream in(json_path);
  if (!in) bad("cannot read " + json_path);
  std::stringstream all;
  all << in.rdbuf();
  Config c = parse_config(all.str());
  if (ini_path) apply_ini(c, *ini_path);
  return c;
}

}  // namespace rookdyke
