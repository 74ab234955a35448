#include "ledger/rows.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <exception>

namespace rookdyke::ledger {

std::string job_key(const std::string& job) { return kJobPrefix + job; }
std::string page_key(uint32_t n) { return kPagePrefix + std::to_string(n); }
std::string rented_list_key(uint32_t n) { return kRentedListPrefix + std::to_string(n); }
std::optional<uint32_t> rented_list_row_number(const std::string& key) {
  uint32_t n = 0;
  const char* end = key.data() + key.size();
  const auto [p, ec] = std::from_chars(key.data() + key.rfind('/') + 1, end, n);
  if (ec != std::errc() || p != end) return std::nullopt;
  return n;
}

void TaskSet::add(uint32_t task) {
  auto it = std::lower_bound(ranges_.begin(), ranges_.end(), task,
                             [](const auto& r, uint32_t t) { return r.second < t; });
  if (it != ranges_.end() && it->first <= task) return;
  const bool joins_left = it != ranges_.begin() && std::prev(it)->second + 1 == task;
  const bool joins_right = it != ranges_.end() && task + 1 == it->first;
  if (joins_left && joins_right) {
    std::prev(it)->second = it->second;
    ranges_.erase(it);
  } else if (joins_left) {
    std::prev(it)->second = task;
  } else if (joins_right) {
    it->first = task;
  } else {
    ranges_.insert(it, {task, task});
  }
}

bool TaskSet::has(uint32_t task) const {
  auto it = std::lower_bound(ranges_.begin(), ranges_.end(), task,
                             [](const auto& r, uint32_t t) { return r.second < t; });
  return it != ranges_.end() && it->first <= task;
}

uint32_t TaskSet::count() const {
  uint32_t n = 0;
  for (const auto& [a, b] : ranges_) n += b - a + 1;
  return n;
}

json TaskSet::encode() const {
  json out = json::array();
  for (const auto& [a, b] : ranges_) {
    out.push_back(a);
    out.push_back(b);
  }
  return out;
}

TaskSet TaskSet::decode(const json& j) {
  TaskSet out;
  for (size_t i = 0; i + 1 < j.size(); i += 2)
    out.ranges_.emplace_back(j[i].get<uint32_t>(), j[i + 1].get<uint32_t>());
  return out;
}

namespace {
constexpr size_t kPageOverheadBytes = 128;   // of a page: transaction id and brackets
constexpr size_t kEntryOverheadBytes = 48;   // of a page's entry
constexpr size_t kTypicalAttemptBytes = 32;  // of a live attempt; a done task takes at most 14

// Of a group of machines: brackets, quotes, commas, "false"; and of each name: quotes, a comma.
constexpr size_t kMachineGroupOverheadBytes = 20;
constexpr size_t kMachineNameOverheadBytes = 3;

size_t digits(uint64_t n) {
  size_t d = 1;
  while (n >= 10) n /= 10, ++d;
  return d;
}
}  // namespace

size_t page_capacity(size_t value_bytes) {
  return value_bytes > 2 * kPageOverheadBytes ? value_bytes - kPageOverheadBytes
                                              : kPageOverheadBytes;
}
size_t estimated_chunk_size(const std::string& job, uint32_t tasks) {
  return kEntryOverheadBytes + job.size() + kTypicalAttemptBytes * tasks;
}
uint32_t tasks_per_chunk(size_t value_bytes) {
  const size_t capacity = page_capacity(value_bytes) - kEntryOverheadBytes - 24;  // 24: job id
  return static_cast<uint32_t>(std::clamp<size_t>(capacity / kTypicalAttemptBytes, 1, 512));
}
size_t encoded_size(const LiveAttempt& l) {
  return 8 + digits(l.task) + digits(l.attempt) + l.machine.size() + digits(l.epoch);
}
size_t encoded_size(const MachineGroup& group) {
  size_t n = kMachineGroupOverheadBytes + group.type.size() + group.zone.size();
  for (const std::string& name : group.names) n += kMachineNameOverheadBytes + name.size();
  return n;
}
size_t encoded_size(const std::string& job, const TaskSet& done) {
  size_t n = kEntryOverheadBytes + job.size();
  for (const auto& [a, b] : done.ranges()) n += digits(a) + digits(b) + 2;
  return n;
}

namespace {

constexpr double kMaxAmount = 1e12;
constexpr size_t kPartialEntryFields = 7;  // fields of an entry that holds a part of a chunk

// Thrown by the parsers below, which accept only what encode() writes. The JSON library's own
// conversions turn -1 into a huge count, true into 1 and 2.5 into 2, and accept NaN.
struct InvalidField : std::exception {};

uint64_t parse_integer(const json& v, uint64_t min, uint64_t max) {
  if (!v.is_number_integer()) throw InvalidField();
  if (!v.is_number_unsigned() && v.get<int64_t>() < 0) throw InvalidField();
  const auto n = v.get<uint64_t>();
  if (n < min || n > max) throw InvalidField();
  return n;
}
uint32_t parse_task_number(const json& v) {
  return static_cast<uint32_t>(parse_integer(v, 0, kMaxTasks - 1));
}

double parse_amount(const json& v) {
  if (!v.is_number()) throw InvalidField();
  const double d = v.get<double>();
  if (!std::isfinite(d) || d < 0 || d > kMaxAmount) throw InvalidField();
  return d;
}

std::string parse_name(const json& v) {
  auto s = v.get<std::string>();
  if (s.empty()) throw InvalidField();
  return s;
}

const json& parse_array(const json& v) {
  if (!v.is_array()) throw InvalidField();
  return v;
}

// Requires closed, disjoint ranges in ascending order.
TaskSet parse_task_set(const json& v) {
  if (parse_array(v).size() % 2 != 0) throw InvalidField();
  uint64_t next = 0;
  for (size_t i = 0; i < v.size(); i += 2) {
    const uint32_t a = parse_task_number(v[i]), b = parse_task_number(v[i + 1]);
    if (a < next || b < a) throw InvalidField();
    next = uint64_t{b} + 1;
  }
  return TaskSet::decode(v);
}

json encode_spec(const JobSpec& s) {
  json out = {{"lot", s.job_class},
              {"team", s.team},
              {"image", s.image},
              {"zone", s.zone},
              {"gang", s.shape == JobShape::gang},
              {"rank", static_cast<int>(s.priority)},
              {"cpus", s.per_task.cpus},
              {"gpus", s.per_task.gpus},
              {"mem", s.per_task.memory_gb},
              {"image_gb", s.image_gb},
              {"types", s.types},
              {"one_zone", s.single_zone},
              {"scatter", s.spread_zones},
              {"spot", s.spot},
              {"estimate", s.expected_runtime_s},
              {"checkpoint", s.checkpoint_interval_s},
              {"save", s.checkpoint_duration_s},
              {"due", s.deadline_s}};
  // Version 0.1 does not support services and ignores this field (docs/operations.md, "Upgrading").
  if (s.shape == JobShape::service) out["service"] = true;
  return out;
}

JobSpec decode_spec(const std::string& id, uint32_t tasks, const json& v) {
  JobSpec s;
  s.id = id;
  s.tasks = tasks;
  v.at("lot").get_to(s.job_class);
  v.at("team").get_to(s.team);
  v.at("image").get_to(s.image);
  v.at("zone").get_to(s.zone);
  s.shape = v.at("gang").get<bool>() ? JobShape::gang : JobShape::array;
  if (v.value("service", false)) s.shape = JobShape::service;
  s.priority = static_cast<Priority>(parse_integer(v.at("rank"), 0, 3));
  s.per_task = {parse_amount(v.at("cpus")), parse_amount(v.at("gpus")), parse_amount(v.at("mem"))};
  s.image_gb = parse_amount(v.at("image_gb"));
  v.at("types").get_to(s.types);
  v.at("one_zone").get_to(s.single_zone);
  v.at("scatter").get_to(s.spread_zones);
  v.at("spot").get_to(s.spot);
  s.expected_runtime_s = parse_amount(v.at("estimate"));
  s.checkpoint_interval_s = parse_amount(v.at("checkpoint"));
  s.checkpoint_duration_s = parse_amount(v.at("save"));
  s.deadline_s = parse_amount(v.at("due"));
  return s;
}

}  // namespace

json encode(const JobRow& row) {
  json out = {{"standing", static_cast<int>(row.status)},
              {"tasks", row.tasks},
              {"per", row.chunk_size},
              {"w", row.transaction_id}};
  if (row.timestamp_s > 0) out["at"] = row.timestamp_s;
  if (row.spec) out["spec"] = encode_spec(*row.spec);
  return out;
}

bool is_written_by(const json& value, const std::string& transaction_id) {
  const auto id = value.is_object() ? value.find("w") : value.end();
  return id != value.end() && *id == transaction_id;
}

size_t value_size(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace).size();
}

void shorten_cancelled(JobRow& row, size_t value_bytes) {
  if (!row.spec || value_size(encode(row)) + kPageOverheadBytes <= value_bytes) return;
  row.spec->job_class.clear();
  row.spec->image.clear();
  row.spec->types.clear();
}

std::optional<JobRow> decode_job(const std::string& id, const json& v) {
  try {
    JobRow row;
    row.status = static_cast<JobStatus>(parse_integer(v.at("standing"), 0, 2));
    row.tasks = static_cast<uint32_t>(parse_integer(v.at("tasks"), 1, kMaxTasks));
    if (v.contains("per"))
      row.chunk_size = static_cast<uint32_t>(parse_integer(v.at("per"), 0, kMaxTasks));
    if (v.contains("at")) row.timestamp_s = parse_amount(v.at("at"));
    row.transaction_id = v.value("w", "");
    if (v.contains("spec")) row.spec = decode_spec(id, row.tasks, v.at("spec"));
    if (row.status == JobStatus::open && (!row.spec || row.chunk_size == 0)) return std::nullopt;
    return row;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

json encode(const PageRow& page) {
  json entries = json::array();
  for (const PageEntry& e : page.entries) {
    json live = json::array();
    for (const LiveAttempt& l : e.chunk.live)
      live.push_back(json::array({l.task, l.attempt, l.machine, l.epoch}));
    json entry =
        json::array({e.job, e.n, e.chunk.highest_attempt, e.chunk.done.encode(), std::move(live)});
    if (e.range) {
      entry.push_back(e.range->first);
      entry.push_back(e.range->count);
    }
    entries.push_back(std::move(entry));
  }
  json out = {{"e", std::move(entries)}, {"w", page.transaction_id}};
  if (!page.machines.empty()) out["m"] = encode(page.machines);
  return out;
}

std::optional<PageRow> decode_page(const json& v) {
  try {
    PageRow p;
    for (const json& e : parse_array(v.at("e"))) {
      PageEntry out;
      out.job = parse_name(e.at(0));
      out.n = parse_task_number(e.at(1));
      out.chunk.highest_attempt = parse_integer(e.at(2), 0, kMaxAttemptNumber);
      out.chunk.done = parse_task_set(e.at(3));
      out.chunk.live.reserve(parse_array(e.at(4)).size());
      for (const json& l : e.at(4))
        out.chunk.live.push_back({parse_task_number(l.at(0)),
                                  parse_integer(l.at(1), 0, kMaxAttemptNumber), parse_name(l.at(2)),
                                  parse_integer(l.at(3), 0, UINT64_MAX)});
      if (e.size() >= kPartialEntryFields)
        out.range = TaskRange{parse_task_number(e.at(5)),
                              static_cast<uint32_t>(parse_integer(e.at(6), 1, kMaxTasks))};
      p.entries.push_back(std::move(out));
    }
    if (v.contains("m")) p.machines = decode_machine_groups(v.at("m"));
    p.transaction_id = v.value("w", "");
    return p;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

namespace {

bool is_valid_group(const json& group) {
  return group.is_array() && group.size() >= 4 && group[0].is_string() && group[1].is_string() &&
         group[2].is_boolean() && group[3].is_array();
}

// Reads a group: [type, zone, spot, [names]].
MachineGroup decode_machine_group(const json& v) {
  MachineGroup group{v[0].get<std::string>(), v[1].get<std::string>(), v[2].get<bool>(), {}};
  for (const json& name : v[3])
    if (name.is_string() && !name.get_ref<const std::string&>().empty())
      group.names.push_back(name.get<std::string>());
  return group;
}

}  // namespace

json encode(const std::vector<MachineGroup>& groups) {
  json out = json::array();
  for (const MachineGroup& group : groups)
    out.push_back(json::array({group.type, group.zone, group.spot, group.names}));
  return out;
}

std::vector<MachineGroup> decode_machine_groups(const json& v) {
  std::vector<MachineGroup> groups;
  if (!v.is_array()) return groups;
  for (const json& group : v)
    if (is_valid_group(group)) groups.push_back(decode_machine_group(group));
  return groups;
}

json encode_types(const std::vector<MachineType>& types) {
  json out = json::array();
  for (const MachineType& t : types)
    out.push_back({{"name", t.name},
                   {"cpus", t.size.cpus},
                   {"gpus", t.size.gpus},
                   {"mem", t.size.memory_gb},
                   {"cache_gb", t.cache_gb},
                   {"fetch", t.fetch_gb_per_s},
                   {"price", t.price},
                   {"spot_price", t.spot_price},
                   {"boot_s", t.boot_s},
                   {"zones", t.zones}});
  return {{"types", out}};
}

std::vector<MachineType> decode_types(const json& v) {
  std::vector<MachineType> out;
  try {
    for (const json& t : parse_array(v.at("types"))) {
      MachineType i;
      i.name = parse_name(t.at("name"));
      i.size = {parse_amount(t.at("cpus")), parse_amount(t.at("gpus")), parse_amount(t.at("mem"))};
      i.cache_gb = parse_amount(t.at("cache_gb"));
      i.fetch_gb_per_s = parse_amount(t.at("fetch"));
      i.price = parse_amount(t.at("price"));
      i.spot_price = parse_amount(t.at("spot_price"));
      i.boot_s = parse_amount(t.at("boot_s"));
      if (i.boot_s <= 0 || has_type(out, i.name)) throw InvalidField();
      t.at("zones").get_to(i.zones);
      out.push_back(std::move(i));
    }
  } catch (const std::exception&) {
    out.clear();
  }
  return out;
}

}  // namespace rookdyke::ledger
