#include "core/ledger.h"

#include <algorithm>

namespace rookdyke::ledger {

std::string job_key(const std::string& job) { return kJobPrefix + job; }
std::string page_key(uint32_t n) { return kTaskPrefix + std::to_string(n); }
std::string fleet_key(uint32_t n) { return kFleetPrefix + std::to_string(n); }
uint32_t fleet_row(const std::string& key) {
  return static_cast<uint32_t>(std::stoul(key.substr(key.rfind('/') + 1)));
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
size_t encoded_size(const Live& l) {
  return 8 + digits(l.task) + digits(l.attempt) + l.machine.size() + digits(l.session);
}
size_t encoded_size(const std::string& job, const TaskSet& done) {
  size_t n = kEntryFrame + job.size();
  for (const auto& [a, b] : done.ranges()) n += digits(a) + digits(b) + 2;
  return n;
}

namespace {

json encode_spec(const JobSpec& s) {
  return {{"lot", s.lot},
          {"team", s.team},
          {"image", s.image},
          {"zone", s.zone},
          {"gang", s.shape == Shape::gang},
          {"rank", static_cast<int>(s.rank)},
          {"cpus", s.each.cpus},
          {"gpus", s.each.gpus},
          {"mem", s.each.mem},
          {"image_gb", s.image_gb},
          {"types", s.types},
          {"one_zone", s.one_zone},
          {"scatter", s.scatter},
          {"spot", s.spot},
          {"estimate", s.estimate_s},
          {"checkpoint", s.checkpoint_s},
          {"save", s.save_s},
          {"due", s.due_s}};
}

JobSpec decode_spec(const std::string& id, uint32_t tasks, const json& v) {
  JobSpec s;
  s.id = id;
  s.tasks = tasks;
  v.at("lot").get_to(s.lot);
  v.at("team").get_to(s.team);
  v.at("image").get_to(s.image);
  v.at("zone").get_to(s.zone);
  s.shape = v.at("gang").get<bool>() ? Shape::gang : Shape::array;
  s.rank = static_cast<Rank>(std::clamp(v.at("rank").get<int>(), 0, 3));
  v.at("cpus").get_to(s.each.cpus);
  v.at("gpus").get_to(s.each.gpus);
  v.at("mem").get_to(s.each.mem);
  v.at("image_gb").get_to(s.image_gb);
  v.at("types").get_to(s.types);
  v.at("one_zone").get_to(s.one_zone);
  v.at("scatter").get_to(s.scatter);
  v.at("spot").get_to(s.spot);
  v.at("estimate").get_to(s.estimate_s);
  v.at("checkpoint").get_to(s.checkpoint_s);
  v.at("save").get_to(s.save_s);
  v.at("due").get_to(s.due_s);
  return s;
}

}  // namespace

json encode(const JobRow& row) {
  json out = {{"standing", static_cast<int>(row.standing)}, {"tasks", row.tasks}, {"w", row.mark}};
  if (row.standing == Standing::open) {
    out["per"] = row.per;
    out["at"] = row.at_s;
    if (row.spec) out["spec"] = encode_spec(*row.spec);
  } else {
    out["per"] = row.per;  // the chunks are still to be cleared away
    if (row.at_s > 0) out["at"] = row.at_s;
  }
  return out;
}

std::optional<JobRow> decode_job(const std::string& id, const json& v) {
  try {
    JobRow row;
    row.standing = static_cast<Standing>(std::clamp(v.at("standing").get<int>(), 0, 2));
    v.at("tasks").get_to(row.tasks);
    row.per = v.value("per", 0u);
    row.at_s = v.value("at", 0.0);
    row.mark = v.value("w", "");
    if (v.contains("spec")) row.spec = decode_spec(id, row.tasks, v.at("spec"));
    if (row.standing == Standing::open && (!row.spec || row.per == 0)) return std::nullopt;
    return row;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

json encode(const Page& page) {
  json entries = json::array();
  for (const PageEntry& e : page.entries) {
    json live = json::array();
    for (const Live& l : e.chunk.live)
      live.push_back(json::array({l.task, l.attempt, l.machine, l.session}));
    entries.push_back(
        json::array({e.job, e.n, e.chunk.top, e.chunk.done.encode(), std::move(live)}));
  }
  return {{"e", std::move(entries)}, {"w", page.mark}};
}

std::optional<Page> decode_page(const json& v) {
  try {
    Page p;
    for (const json& e : v.at("e")) {
      PageEntry out;
      e.at(0).get_to(out.job);
      e.at(1).get_to(out.n);
      e.at(2).get_to(out.chunk.top);
      out.chunk.done = TaskSet::decode(e.at(3));
      out.chunk.live.reserve(e.at(4).size());
      for (const json& l : e.at(4))
        out.chunk.live.push_back({l.at(0).get<uint32_t>(), l.at(1).get<uint64_t>(),
                                  l.at(2).get<std::string>(), l.at(3).get<uint64_t>()});
      p.entries.push_back(std::move(out));
    }
    p.mark = v.value("w", "");
    return p;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

json encode_types(const std::vector<TypeInfo>& types) {
  json out = json::array();
  for (const TypeInfo& t : types)
    out.push_back({{"name", t.name},
                   {"cpus", t.size.cpus},
                   {"gpus", t.size.gpus},
                   {"mem", t.size.mem},
                   {"cache_gb", t.cache_gb},
                   {"fetch", t.fetch_gb_per_s},
                   {"price", t.price},
                   {"spot_price", t.spot_price},
                   {"boot_s", t.boot_s},
                   {"zones", t.zones}});
  return {{"types", out}};
}

std::vector<TypeInfo> decode_types(const json& v) {
  std::vector<TypeInfo> out;
  try {
    for (const json& t : v.at("types")) {
      TypeInfo i;
      t.at("name").get_to(i.name);
      t.at("cpus").get_to(i.size.cpus);
      t.at("gpus").get_to(i.size.gpus);
      t.at("mem").get_to(i.size.mem);
      t.at("cache_gb").get_to(i.cache_gb);
      t.at("fetch").get_to(i.fetch_gb_per_s);
      t.at("price").get_to(i.price);
      t.at("spot_price").get_to(i.spot_price);
      t.at("boot_s").get_to(i.boot_s);
      t.at("zones").get_to(i.zones);
      out.push_back(std::move(i));
    }
  } catch (const json::exception&) {
    out.clear();
  }
  return out;
}

}  // namespace rookdyke::ledger
