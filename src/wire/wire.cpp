#include "wire/wire.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <string_view>

namespace rookdyke::wire {

namespace {

constexpr size_t kMaxDepth = 32;
constexpr size_t kMaxName = 200;
constexpr size_t kMaxTypes = 100;
constexpr double kMaxAmount = 1e12;
constexpr uint64_t kMaxTasks = ledger::kMostTasks;
// Tokens are revisions of the ledger. One beyond any that can come to be would depose every leader
// for ever, and leave no higher one.
constexpr uint64_t kMaxToken = uint64_t{1} << 53;

// Stops a parse at kMaxDepth: the library descends by recursion, and a body of nothing but
// nested lists would run a connection's small stack over.
class DepthGuard : public nlohmann::json_sax<json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return ++depth_ <= kMaxDepth; }
  bool key(string_t&) override { return true; }
  bool end_object() override { return --depth_, true; }
  bool start_array(std::size_t) override { return ++depth_ <= kMaxDepth; }
  bool end_array() override { return --depth_, true; }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  size_t depth_ = 0;
};

const json* field(const json& j, const char* name) {
  if (!j.is_object()) return nullptr;
  auto it = j.find(name);
  return it == j.end() || it->is_null() ? nullptr : &*it;
}

std::string text_or(const json& j, const char* name, const std::string& other = "") {
  const json* v = field(j, name);
  return v && v->is_string() ? v->get<std::string>() : other;
}

uint64_t whole_or(const json& j, const char* name, uint64_t other = 0) {
  const json* v = field(j, name);
  if (!v) return other;
  if (v->is_number_unsigned()) return v->get<uint64_t>();
  if (v->is_number_integer() && v->get<int64_t>() >= 0)
    return static_cast<uint64_t>(v->get<int64_t>());
  return other;
}

double number_or(const json& j, const char* name, double other) {
  const json* v = field(j, name);
  return v && v->is_number() && std::isfinite(v->get<double>()) ? v->get<double>() : other;
}

std::optional<uint64_t> whole(const json& j, const char* name) {
  const json* v = field(j, name);
  if (!v || !v->is_number_integer()) return std::nullopt;
  if (!v->is_number_unsigned() && v->get<int64_t>() < 0) return std::nullopt;
  return v->get<uint64_t>();
}

bool is_amount(const json& v) {
  if (!v.is_number()) return false;
  const double d = v.get<double>();
  return std::isfinite(d) && d >= 0 && d <= kMaxAmount;
}

// A name that can be stored and told on: siblings are told in JSON, which holds UTF-8 alone.
bool is_name(const json& v) {
  if (!v.is_string()) return false;
  const auto& s = v.get_ref<const std::string&>();
  if (s.empty() || s.size() > kMaxName) return false;
  try {
    (void)v.dump();
  } catch (const json::exception&) {
    return false;
  }
  return true;
}

bool truth_or(const json& j, const char* name, bool other = false) {
  const json* v = field(j, name);
  return v && v->is_boolean() ? v->get<bool>() : other;
}

// Splits "<job>/<task>".
bool split_task(const std::string& s, std::string& job, uint32_t& task) {
  const size_t slash = s.rfind('/');
  if (slash == std::string::npos) return false;
  job = s.substr(0, slash);
  const char* end = s.data() + s.size();
  auto [p, ec] = std::from_chars(s.data() + slash + 1, end, task);
  return ec == std::errc() && p == end;
}

const char* verb(CommandKind v) {
  switch (v) {
    case CommandKind::start:
      return "run";
    case CommandKind::stop:
      return "stop";
    case CommandKind::forget:
      return "clear";
  }
  return "";
}

std::string escape(const std::string& s) {
  static constexpr std::string_view kHex = "0123456789ABCDEF";
  std::string out;
  for (const unsigned char c : s) {
    if (std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '/' || c == '~') {
      out += static_cast<char>(c);
    } else {
      out += '%';
      out += kHex[c >> 4];
      out += kHex[c & 15];
    }
  }
  return out;
}

}  // namespace

std::string pack(const json& j) {
  std::string out;
  json::to_msgpack(j, nlohmann::detail::output_adapter<char>(out));
  return out;
}

std::optional<json> unpack(const std::string& body) {
  try {
    DepthGuard guard;
    if (!json::sax_parse(body, &guard, json::input_format_t::msgpack)) return std::nullopt;
    json j = json::from_msgpack(body, true, false);
    if (j.is_discarded()) return std::nullopt;
    return j;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

bool valid_job_id(const std::string& id) {
  constexpr size_t kHead = 3;
  if (id.compare(0, kHead, "wk-") != 0 || id.size() < kHead + 6 || id.size() > kHead + 18)
    return false;
  return std::all_of(id.begin() + kHead, id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::optional<std::string> job_id(const json& body) {
  const std::string id = text_or(body, "id");
  return valid_job_id(id) ? std::optional(id) : std::nullopt;
}

std::optional<JobSpec> parse_job(const json& b, std::string& error) {
  JobSpec s;
  error.clear();
  auto name = [&](const char* f, std::string& to) {
    const json* v = field(b, f);
    if (!v || !is_name(*v))
      error = f;
    else
      to = v->get<std::string>();
  };
  auto amount = [&](const char* f, double& to) {
    const json* v = field(b, f);
    if (!v || !is_amount(*v))
      error = f;
    else
      to = v->get<double>();
  };
  auto flag = [&](const char* f, bool& to) {
    const json* v = field(b, f);
    if (!v || !v->is_boolean())
      error = f;
    else
      to = v->get<bool>();
  };
  if (!b.is_object()) {
    error = "not a map";
    return std::nullopt;
  }
  if (auto id = job_id(b))
    s.id = *id;
  else
    error = "id";
  name("lot", s.job_class);
  name("crew", s.team);
  name("kit", s.image);
  std::string word;
  name("shape", word);
  if (word == "ensemble")
    s.shape = JobShape::gang;
  else if (word == "service")
    s.shape = JobShape::service;
  else if (word != "array")
    error = "shape";
  word.clear();
  name("rank", word);
  if (word == "critical")
    s.priority = Priority::critical;
  else if (word == "urgent")
    s.priority = Priority::urgent;
  else if (word == "standard")
    s.priority = Priority::standard;
  else if (word == "idle")
    s.priority = Priority::idle;
  else
    error = "rank";
  const uint64_t tasks = whole_or(b, "shifts");
  if (tasks < 1 || tasks > kMaxTasks) error = "shifts";
  s.tasks = static_cast<uint32_t>(std::min(tasks, kMaxTasks));
  amount("cpus", s.per_task.cpus);
  amount("gpus", s.per_task.gpus);
  amount("mem_gb", s.per_task.memory_gb);
  amount("image_gb", s.image_gb);
  amount("expected_s", s.expected_runtime_s);
  amount("marker_s", s.checkpoint_interval_s);
  amount("stow_s", s.checkpoint_duration_s);
  if (field(b, "due_s")) amount("due_s", s.deadline_s);
  flag("one_zone", s.single_zone);
  flag("scatter", s.spread_zones);
  flag("loaners", s.spot);
  if (const json* v = field(b, "breeds")) {
    if (!v->is_array() || v->empty() || v->size() > kMaxTypes) {
      error = "breeds";
    } else {
      for (const json& t : *v) {
        if (!is_name(t))
          error = "breeds";
        else
          s.types.push_back(t.get<std::string>());
      }
    }
  }
  if (field(b, "yard")) name("yard", s.zone);
  if (!error.empty()) return std::nullopt;
  return s;
}

json job_answer(const std::string& id, const JobAnswer& a, bool with_counts) {
  const char* status = a.status == ledger::JobStatus::done        ? "done"
                       : a.status == ledger::JobStatus::cancelled ? "aborted"
                       : a.running > 0                            ? "running"
                                                                  : "pending";
  json out = {{"id", id}, {"standing", status}};
  if (with_counts) {
    out["done"] = a.done;
    out["running"] = a.running;
  }
  return out;
}

std::optional<Heartbeat> parse_heartbeat(const json& b) {
  Heartbeat r;
  const json* machine = field(b, "croft");
  if (!machine || !is_name(*machine)) return std::nullopt;
  r.machine = machine->get<std::string>();
  r.addr = text_or(b, "addr");
  r.type = text_or(b, "breed");
  r.zone = text_or(b, "yard");
  r.spot = truth_or(b, "loaners");
  // Any other number read in place of one of these would prove what it does not.
  const auto epoch = whole(b, "tenure"), seq = whole(b, "tally"),
             fencing_token = whole(b, "warrant");
  if (!epoch || *epoch < 1 || !seq || !fencing_token || *fencing_token > kMaxToken)
    return std::nullopt;
  r.epoch = *epoch;
  r.seq = *seq;
  r.fencing_token = *fencing_token;
  r.notice_s = number_or(b, "recall_s", -1);
  const json* tasks = field(b, "shifts");
  if (!tasks) return r;
  if (!tasks->is_array()) return std::nullopt;
  for (const json& t : *tasks) {
    TaskStatus o;
    if (!split_task(text_or(t, "shift"), o.job, o.task)) return std::nullopt;
    const auto attempt = whole(t, "go");
    if (!attempt) return std::nullopt;
    o.attempt = *attempt;
    const std::string st = text_or(t, "standing");
    if (st == "pulling")
      o.phase = TaskPhase::fetching;
    else if (st == "gathering")
      o.phase = TaskPhase::gang_waiting;
    else if (st == "running")
      o.phase = TaskPhase::running;
    else if (st == "saving")
      o.phase = TaskPhase::checkpointing;
    else if (st == "exited")
      o.phase = TaskPhase::exited;
    else
      return std::nullopt;
    if (o.phase == TaskPhase::exited) {
      const std::string why = text_or(t, "cause");
      o.cause = why == "done"      ? ExitCause::done
                : why == "halted"  ? ExitCause::stopped
                : why == "peers"   ? ExitCause::gang_peer_lost
                : why == "alone"   ? ExitCause::gang_timeout
                : why == "no_room" ? ExitCause::insufficient_resources
                : why == "in_use"  ? ExitCause::already_present
                : why == "no_such" ? ExitCause::unknown_task
                                   : ExitCause::error;
      o.saved = truth_or(t, "stored");
    }
    r.tasks.push_back(std::move(o));
  }
  return r;
}

json report_answer(uint64_t fencing_token, const std::vector<WorkerCommand>& commands) {
  json list = json::array();
  for (const WorkerCommand& o : commands) {
    json e = {
        {"verb", verb(o.verb)}, {"shift", o.job + "/" + std::to_string(o.task)}, {"go", o.attempt}};
    if (o.verb == CommandKind::stop) e["leave_s"] = o.grace_s;
    list.push_back(std::move(e));
  }
  return {{"warrant", fencing_token}, {"orders", std::move(list)}};
}

json direct(uint64_t fencing_token, const DirectCommand& d) {
  json out = report_answer(fencing_token, d.commands);
  out["tenure"] = d.epoch;
  return out;
}

json redirect(const std::string& leader) {
  if (leader.empty()) return json::object();
  return {{"steward", leader}};
}

namespace {
bool is_type(const json& t) {
  const json* n = field(t, "name");
  if (!n || !is_name(*n)) return false;
  for (const char* f : {"cpus", "gpus", "mem_gb"})
    if (const json* v = field(t, f); !v || !is_amount(*v)) return false;
  for (const char* f : {"local_gb", "fetch_gb_per_s", "hourly", "low_price", "boot_s"})
    if (const json* v = field(t, f); v && !is_amount(*v)) return false;
  const json* zones = field(t, "yards");
  return zones && zones->is_array() && std::all_of(zones->begin(), zones->end(), is_name);
}
}  // namespace

std::optional<std::vector<MachineType>> parse_types(const json& b) {
  const json* list = field(b, "breeds");
  if (!list || !list->is_array()) return std::nullopt;
  std::vector<MachineType> out;
  for (const json& t : *list) {
    // One that is read wrongly, or left out, would have jobs refused that can run.
    if (!is_type(t) || has_type(out, text_or(t, "name"))) {
      spdlog::error("cloud: the machine types cannot be read");
      return std::nullopt;
    }
    MachineType i;
    i.name = text_or(t, "name");
    i.size = {number_or(t, "cpus", 0), number_or(t, "gpus", 0), number_or(t, "mem_gb", 0)};
    i.cache_gb = number_or(t, "local_gb", 0);
    i.fetch_gb_per_s = std::max(1e-3, number_or(t, "fetch_gb_per_s", 1));
    i.price = number_or(t, "hourly", 0);
    i.spot_price = number_or(t, "low_price", i.price);
    i.boot_s = std::max(1.0, number_or(t, "boot_s", 60));
    if (const json* z = field(t, "yards"); z && z->is_array())
      for (const json& name : *z)
        if (name.is_string()) i.zones.push_back(name.get<std::string>());
    out.push_back(std::move(i));
  }
  if (out.empty()) return std::nullopt;
  return out;
}

json rent(const RentalRequest& h) {
  return {{"hire", h.name},
          {"breed", h.type},
          {"yard", h.zone},
          {"loaners", h.spot},
          {"how_many", h.count}};
}

std::optional<std::vector<std::string>> parse_hired(const json& b) {
  const json* list = field(b, "crofts");
  if (!list || !list->is_array()) return std::nullopt;
  std::vector<std::string> out;
  for (const json& n : *list)
    if (is_name(n)) out.push_back(n.get<std::string>());
  return out;
}

json return_machines(const std::vector<std::string>& names) { return {{"crofts", names}}; }

std::string list_path(const std::string& after, int most) {
  std::string p = "/machines?most=" + std::to_string(most);
  if (!after.empty()) p += "&after=" + escape(after);
  return p;
}

std::optional<std::vector<ListedMachine>> parse_machines(const json& b, bool& more) {
  const json* list = field(b, "crofts");
  if (!list || !list->is_array()) return std::nullopt;
  more = truth_or(b, "truncated");
  std::vector<ListedMachine> out;
  for (const json& m : *list) {
    ListedMachine l;
    const json* id = field(m, "id");
    if (!id || !is_name(*id)) continue;
    l.name = id->get<std::string>();
    l.addr = text_or(m, "addr");
    l.type = text_or(m, "breed");
    l.zone = text_or(m, "yard");
    l.spot = truth_or(m, "loaners");
    const std::string st = text_or(m, "standing");
    l.state = st == "running"  ? ListedMachine::State::running
              : st == "failed" ? ListedMachine::State::failed
                               : ListedMachine::State::booting;
    l.age_s = number_or(m, "age_s", 0);
    out.push_back(std::move(l));
  }
  return out;
}

std::string key_path(const std::string& key) { return "/keys/" + escape(key); }

std::string range_path(const std::string& prefix, const std::string& after, int most) {
  std::string p = "/keys?under=" + escape(prefix) + "&most=" + std::to_string(most);
  if (!after.empty()) p += "&after=" + escape(after);
  return p;
}

std::string watch_path(const std::string& prefix, uint64_t after, int hold_ms) {
  return "/watch?under=" + escape(prefix) + "&after=" + std::to_string(after) +
         "&hold_ms=" + std::to_string(hold_ms);
}

json transaction(const ledger::Transaction& t) {
  json conditions = json::array(), changes = json::array();
  for (const ledger::Condition& c : t.conditions)
    conditions.push_back({{"k", c.key}, {"stamp", c.version}});
  for (const ledger::Change& c : t.changes) {
    if (c.erase) {
      changes.push_back({{"delete", c.key}});
    } else {
      json e = {{"write", c.key}, {"v", c.value}};
      if (c.lease) e["tether"] = c.lease;
      changes.push_back(std::move(e));
    }
  }
  return {{"if", std::move(conditions)}, {"then", std::move(changes)}};
}

std::optional<uint64_t> parse_revision(const json& b) { return whole(b, "ledger"); }

std::vector<std::string> parse_failed(const json& b) {
  std::vector<std::string> out;
  if (const json* v = field(b, "failed"); v && v->is_array())
    for (const json& k : *v)
      if (k.is_string()) out.push_back(k.get<std::string>());
  return out;
}

std::optional<Row> parse_row(const json& b) {
  const json* k = field(b, "k");
  const auto version = whole(b, "stamp");
  if (!k || !k->is_string() || !version) return std::nullopt;
  Row r;
  r.key = k->get<std::string>();
  if (const json* v = field(b, "v")) r.value = *v;
  r.version = *version;
  return r;
}

std::optional<Rows> parse_rows(const json& b) {
  const json* list = field(b, "rows");
  auto revision = parse_revision(b);
  if (!list || !list->is_array() || !revision) return std::nullopt;
  Rows out;
  out.revision = *revision;
  out.more = truth_or(b, "truncated");
  for (const json& e : *list) {
    auto r = parse_row(e);
    if (!r) return std::nullopt;  // without it, a job that it holds would be answered 404
    out.rows.push_back(std::move(*r));
  }
  return out;
}

std::optional<Rows> parse_events(const json& b) {
  const json* list = field(b, "log");
  auto revision = parse_revision(b);
  if (!revision) return std::nullopt;
  Rows out;
  out.revision = *revision;
  if (!list) return out;
  if (!list->is_array()) return std::nullopt;
  for (const json& e : *list) {
    Row r;
    const auto version = whole(e, "stamp");
    if (!version) return std::nullopt;
    r.version = *version;
    if (const json* k = field(e, "write"); k && k->is_string()) {
      r.key = k->get<std::string>();
      if (const json* v = field(e, "v")) r.value = *v;
    } else if (const json* d = field(e, "delete"); d && d->is_string()) {
      r.key = d->get<std::string>();
      r.erased = true;
    } else {
      return std::nullopt;
    }
    out.rows.push_back(std::move(r));
  }
  return out;
}

json lease(double ttl_s) { return {{"ttl_ms", static_cast<int64_t>(std::lround(ttl_s * 1000))}}; }

std::optional<uint64_t> parse_lease(const json& b) { return whole(b, "tether"); }

}  // namespace rookdyke::wire
