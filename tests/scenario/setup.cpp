#include "scenario/setup.h"

#include <algorithm>
#include <sstream>

namespace rookdyke::test {

namespace {
MachineType default_type() {
  MachineType t;
  t.name = "box";
  t.size = {16, 4, 64};
  t.cache_gb = 100;
  t.fetch_gb_per_s = 1;
  t.price = 4;
  t.spot_price = 1;
  t.boot_s = 10;
  t.zones = {"a", "b"};
  return t;
}

std::vector<std::string> split_at_commas(const std::string& text) {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) parts.push_back(part);
  return parts;
}

// Reads pairs of a name and a number from the word `first` on into the fields of these names.
void read_fields(const Line& line, size_t first, const std::map<std::string, double*>& fields) {
  for (size_t i = first; i + 1 < line.size(); i += 2) {
    auto field = fields.find(line.word(i));
    if (field == fields.end()) line.fail_unknown(line.word(i));
    *field->second = line.number(i + 1);
  }
}
}  // namespace

void Setup::read(const Line& line) {
  const std::string& what = line.keyword();
  if (what == "seed")
    seed_ = static_cast<uint64_t>(line.number(1));
  else if (what == "nodes")
    controllers_ = line.count(1);
  else if (what == "type")
    read_type(line);
  else if (what == "team")
    read_team(line);
  else if (what == "set")
    read_setting(line);
  else if (what == "capacity")
    read_capacity(line);
  else if (what == "messages")
    read_messages(line);
  else if (what == "objective")
    read_objective(line);
  else if (what == "late_copies")
    read_late_copies(line);
  else if (what == "late_writes")
    faults_.late_writes = line.number(1);
  else if (what == "slow_boots")
    faults_.slow_boots = line.number(1);
  else if (what == "never_boots")
    faults_.never_boots = line.number(1);
  else
    line.fail_unknown(what);
}

void Setup::read_type(const Line& line) {
  MachineType type = default_type();
  type.name = line.word(1);
  const std::map<std::string, double*> fields = {{"cpus", &type.size.cpus},
                                                 {"gpus", &type.size.gpus},
                                                 {"mem", &type.size.memory_gb},
                                                 {"boot", &type.boot_s}};
  for (size_t i = 2; i + 1 < line.size(); i += 2) {
    if (line.word(i) == "zones")
      type.zones = split_at_commas(line.word(i + 1));
    else if (auto field = fields.find(line.word(i)); field != fields.end())
      *field->second = line.number(i + 1);
    else
      line.fail_unknown(line.word(i));
  }
  types_.push_back(type);
}

void Setup::read_team(const Line& line) {
  TeamQuota team{line.word(1), 0, 0, 0, 0};
  read_fields(line, 2,
              {{"cpus", &team.cpus},
               {"cpus_max", &team.cpus_max},
               {"gpus", &team.gpus},
               {"gpus_max", &team.gpus_max}});
  settings_.teams.push_back(team);
}

void Setup::read_setting(const Line& line) {
  const std::map<std::string, double*> known = {
      {"report_s", &settings_.heartbeat_interval_s},
      {"lease_s", &settings_.lease_s},
      {"gang_wait_s", &settings_.gang_wait_s},
      {"gang_peer_s", &settings_.gang_peer_s},
      {"cancel_s", &settings_.cancel_s},
      {"list_lag_s", &settings_.list_lag_s},
      {"lull_s", &settings_.tuning.scale_in_delay_s},
      {"percentile", &settings_.tuning.percentile},
      {"drain_deadline_s", &settings_.tuning.drain_deadline_s},
      {"silence_s", &settings_.tuning.heartbeat_timeout_s},
      {"start_spare", &settings_.tuning.start_spare},
      {"trend_s", &settings_.tuning.trend_s}};
  const std::string& name = line.word(1);
  if (auto setting = known.find(name); setting != known.end())
    *setting->second = line.number(2);
  else if (name == "history")
    settings_.tuning.history = static_cast<int>(line.number(2));
  else if (!read_limit(line))
    line.fail("unknown setting " + name);
}

bool Setup::read_limit(const Line& line) {
  const std::string& name = line.word(1);
  const size_t value = line.count(2);
  if (name == "value_bytes")
    settings_.value_bytes = value;
  else if (name == "txn_ops")
    settings_.txn_ops = value;
  else if (name == "next_value_bytes")
    next_limits().value_bytes = value;
  else if (name == "next_txn_ops")
    next_limits().txn_ops = value;
  else
    return false;
  return true;
}

StateLimits& Setup::next_limits() {
  if (!settings_.next_limits) settings_.next_limits.emplace();
  return *settings_.next_limits;
}

void Setup::read_capacity(const Line& line) {
  const bool spot = line.word(2) == "spot";
  capacity_[{line.word(1), spot}] = static_cast<int>(line.number(3));
}

void Setup::read_messages(const Line& line) {
  read_fields(line, 1,
              {{"lose", &faults_.message_loss},
               {"repeat", &faults_.message_duplication},
               {"slow", &faults_.message_delay}});
}

void Setup::read_late_copies(const Line& line) {
  faults_.late_heartbeats = line.number(1);
  faults_.late_heartbeats_s = line.number(2);
}

void Setup::read_objective(const Line& line) {
  settings_.objectives.push_back({line.word(2) == "wait", line.word(1), line.number(3)});
}

std::unique_ptr<World> Setup::build(std::optional<uint64_t> seed) const {
  std::vector<MachineType> types = types_;
  if (types.empty()) types.push_back(default_type());
  Settings settings = settings_;
  if (settings.teams.empty()) settings.teams.push_back({"team", 0, 0, 0, 0});
  for (const MachineType& type : types)
    for (const std::string& zone : type.zones)
      if (std::find(settings.zones.begin(), settings.zones.end(), zone) == settings.zones.end())
        settings.zones.push_back(zone);
  auto world = std::make_unique<World>(settings, types, controllers_, seed.value_or(seed_));
  for (const auto& [place, machines] : capacity_) world->cloud.capacity[place] = machines;
  world->faults = faults_;
  return world;
}

}  // namespace rookdyke::test
