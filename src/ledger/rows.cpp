#include "ledger/rows.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <exception>

namespace rookdyke::ledger {

std::string job_key(const std::string& job) { return kJobPrefix + job; }
std::string page_key(uint32_t n) { return kTaskPrefix + std::to_string(n); }
std::string fleet_key(uint32_t n) { return kFleetPrefix + std::to_string(n); }
std::optional<uint32_t> fleet_row(const std::string& key) {
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
constexpr size_t kFrame = 128;        // of a page: its mark and the brackets
constexpr size_t kEntryFrame = 48;    // of a chunk in it
constexpr size_t kUsualAttempt = 32;  // bytes of a live attempt; a done task takes at most 14

size_t digits(uint64_t n) {
  size_t d = 1;
  while (n >= 10) n /= 10, ++d;
  return d;
}
}  // namespace

size_t page_room(size_t value_bytes) {
  return value_bytes > 2 * kFrame ? value_bytes - kFrame : kFrame;
}
size_t chunk_reserve(const std::string& job, uint32_t tasks) {
  return kEntryFrame + job.size() + kUsualAttempt * tasks;
}
uint32_t tasks_per_chunk(size_t value_bytes) {
  const size_t room = page_room(value_bytes) - kEntryFrame - 24;
  return static_cast<uint32_t>(std::clamp<size_t>(room / kUsualAttempt, 1, 512));
}
size_t encoded_size(const LiveAttempt& l) {
  return 8 + digits(l.task) + digits(l.attempt) + l.machine.size() + digits(l.epoch);
}
size_t encoded_size(const std::string& job, const TaskSet& done) {
  size_t n = kEntryFrame + job.size();
  for (const auto& [a, b] : done.ranges()) n += digits(a) + digits(b) + 2;
  return n;
}

namespace {

constexpr double kMostAmount = 1e12;
constexpr size_t kPartEntrySize = 7;  // fields of a page's entry that is a part of a chunk

// The library turns -1 into a huge count, true into 1 and 2.5 into 2, and takes NaN for an amount;
// these take nothing but what encode() writes.
struct Unreadable : std::exception {};

uint64_t whole(const json& v, uint64_t least, uint64_t most) {
  if (!v.is_number_integer()) throw Unreadable();
  if (!v.is_number_unsigned() && v.get<int64_t>() < 0) throw Unreadable();
  const auto n = v.get<uint64_t>();
  if (n < least || n > most) throw Unreadable();
  return n;
}
uint32_t task_number(const json& v) { return static_cast<uint32_t>(whole(v, 0, kMostTasks - 1)); }

double amount(const json& v) {
  if (!v.is_number()) throw Unreadable();
  const double d = v.get<double>();
  if (!std::isfinite(d) || d < 0 || d > kMostAmount) throw Unreadable();
  return d;
}

std::string name(const json& v) {
  auto s = v.get<std::string>();
  if (s.empty()) throw Unreadable();
  return s;
}

const json& list(const json& v) {
  if (!v.is_array()) throw Unreadable();
  return v;
}

// Closed ranges in order, none touching another.
TaskSet task_set(const json& v) {
  if (list(v).size() % 2 != 0) throw Unreadable();
  uint64_t next = 0;
  for (size_t i = 0; i < v.size(); i += 2) {
    const uint32_t a = task_number(v[i]), b = task_number(v[i + 1]);
    if (a < next || b < a) throw Unreadable();
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
  // Version 0.1 knows no services and reads past this field (docs/operations.md, "Upgrading").
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
  s.priority = static_cast<Priority>(whole(v.at("rank"), 0, 3));
  s.per_task = {amount(v.at("cpus")), amount(v.at("gpus")), amount(v.at("mem"))};
  s.image_gb = amount(v.at("image_gb"));
  v.at("types").get_to(s.types);
  v.at("one_zone").get_to(s.single_zone);
  v.at("scatter").get_to(s.spread_zones);
  v.at("spot").get_to(s.spot);
  s.expected_runtime_s = amount(v.at("estimate"));
  s.checkpoint_interval_s = amount(v.at("checkpoint"));
  s.checkpoint_duration_s = amount(v.at("save"));
  s.deadline_s = amount(v.at("due"));
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
  if (!row.spec || value_size(encode(row)) + kFrame <= value_bytes) return;
  row.spec->job_class.clear();
  row.spec->image.clear();
  row.spec->types.clear();
}

std::optional<JobRow> decode_job(const std::string& id, const json& v) {
  try {
    JobRow row;
    row.status = static_cast<JobStatus>(whole(v.at("standing"), 0, 2));
    row.tasks = static_cast<uint32_t>(whole(v.at("tasks"), 1, kMostTasks));
    if (v.contains("per"))
      row.chunk_size = static_cast<uint32_t>(whole(v.at("per"), 0, kMostTasks));
    if (v.contains("at")) row.timestamp_s = amount(v.at("at"));
    row.transaction_id = v.value("w", "");
    if (v.contains("spec")) row.spec = decode_spec(id, row.tasks, v.at("spec"));
    if (row.status == JobStatus::open && (!row.spec || row.chunk_size == 0)) return std::nullopt;
    return row;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

json encode(const Page& page) {
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
  return {{"e", std::move(entries)}, {"w", page.transaction_id}};
}

std::optional<Page> decode_page(const json& v) {
  try {
    Page p;
    for (const json& e : list(v.at("e"))) {
      PageEntry out;
      out.job = name(e.at(0));
      out.n = task_number(e.at(1));
      out.chunk.highest_attempt = whole(e.at(2), 0, kMostAttempts);
      out.chunk.done = task_set(e.at(3));
      out.chunk.live.reserve(list(e.at(4)).size());
      for (const json& l : e.at(4))
        out.chunk.live.push_back({task_number(l.at(0)), whole(l.at(1), 0, kMostAttempts),
                                  name(l.at(2)), whole(l.at(3), 0, UINT64_MAX)});
      if (e.size() >= kPartEntrySize)
        out.range =
            TaskRange{task_number(e.at(5)), static_cast<uint32_t>(whole(e.at(6), 1, kMostTasks))};
      p.entries.push_back(std::move(out));
    }
    p.transaction_id = v.value("w", "");
    return p;
  } catch (const std::exception&) {
    return std::nullopt;
  }
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
    for (const json& t : list(v.at("types"))) {
      MachineType i;
      i.name = name(t.at("name"));
      i.size = {amount(t.at("cpus")), amount(t.at("gpus")), amount(t.at("mem"))};
      i.cache_gb = amount(t.at("cache_gb"));
      i.fetch_gb_per_s = amount(t.at("fetch"));
      i.price = amount(t.at("price"));
      i.spot_price = amount(t.at("spot_price"));
      i.boot_s = amount(t.at("boot_s"));
      if (i.boot_s <= 0 || has_type(out, i.name)) throw Unreadable();
      t.at("zones").get_to(i.zones);
      out.push_back(std::move(i));
    }
  } catch (const std::exception&) {
    out.clear();
  }
  return out;
}

}  // namespace rookdyke::ledger
