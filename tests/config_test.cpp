#include "config/config.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

namespace rookdyke {
namespace {

using nlohmann::json;

json good() {
  return json::parse(R"({
    "label": "n0", "location": "a", "bind": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2",
    "siblings": [{"label": "n1", "location": "a", "endpoint": "127.0.0.1:3"}],
    "external": {"cloud": "127.0.0.1:4", "state": "127.0.0.1:5"},
    "params": {"nodes": 2, "zones": ["a"],
      "teams": [{"name": "t", "cpus": 1.0, "cpus_max": 2.0, "gpus": 0.0, "gpus_max": 0.0}],
      "workers": {"report_s": 3.0, "lease_s": 20.0, "gang_wait_s": 40.0, "gang_peer_s": 6.0,
                  "cancel_s": 50.0},
      "state": {"rps": 100.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 8},
      "cloud": {"rps": 4.0, "list_lag_s": 3.0},
      "resources": {"cores": 0.2, "memory_mb": 100.0, "max_sockets": 1500}},
    "something_new": [1, 2]})");
}

std::string error_of(const json& j) {
  try {
    parse_config(j.dump());
    return "";
  } catch (const ConfigError& e) {
    return e.what();
  }
}

TEST(Config, TakesThePlatformsFileAndIgnoresWhatItDoesNotKnow) {
  const Config c = parse_config(good().dump());
  EXPECT_EQ(c.scheduler.label, "n0");
  EXPECT_EQ(c.peers.at(0).mesh.port, 3);
  EXPECT_EQ(c.scheduler.value_bytes, 8192u);
  EXPECT_DOUBLE_EQ(c.scheduler.teams.at(0).cpus_max, 2);
}

TEST(Config, TheNextLimitsOfTheStateServiceAreOptional) {
  EXPECT_FALSE(parse_config(good().dump()).scheduler.next_limits);
  json j = good();
  j["params"]["state"]["next"] = nullptr;
  EXPECT_FALSE(parse_config(j.dump()).scheduler.next_limits);
  j["params"]["state"]["next"] = {
      {"write_rps", 18.0}, {"value_kb", 2.0}, {"txn_ops", 5}, {"something_new", 1}};
  const Config c = parse_config(j.dump());
  ASSERT_TRUE(c.scheduler.next_limits);
  EXPECT_EQ(c.scheduler.next_limits->value_bytes, 2048u);
  EXPECT_EQ(c.scheduler.next_limits->txn_ops, 5u);
  EXPECT_DOUBLE_EQ(c.scheduler.next_limits->write_rps, 18);
  EXPECT_EQ(c.scheduler.min_value_bytes(), 2048u);
  EXPECT_EQ(c.scheduler.min_txn_ops(), 5u);
  EXPECT_EQ(c.scheduler.value_bytes, 8192u);
  for (const char* field : {"write_rps", "value_kb", "txn_ops"}) {
    for (const json& wrong : {json(), json("2"), json(0), json(-1)}) {
      json bad = j;
      bad["params"]["state"]["next"][field] = wrong;
      EXPECT_NE(error_of(bad).find(std::string("params.state.next.") + field), std::string::npos);
    }
    json lacks = j;
    lacks["params"]["state"]["next"].erase(field);
    EXPECT_NE(error_of(lacks).find(std::string("params.state.next.") + field), std::string::npos);
  }
  j["params"]["state"]["next"] = 3;
  EXPECT_NE(error_of(j).find("params.state.next"), std::string::npos);
}

TEST(Config, NamesWhatIsMissingOrBad) {
  json j = good();
  j.erase("bind");
  EXPECT_NE(error_of(j).find("bind"), std::string::npos);
  j = good();
  j["params"]["workers"]["lease_s"] = "long";
  EXPECT_NE(error_of(j).find("params.workers.lease_s"), std::string::npos);
  j = good();
  j["external"]["state"] = "127.0.0.1:99999";
  EXPECT_NE(error_of(j).find("external.state"), std::string::npos);
  j = good();
  j["params"]["state"]["rps"] = -1;
  EXPECT_NE(error_of(j).find("params.state.rps"), std::string::npos);
  EXPECT_FALSE(error_of(json::array()).empty());
}

// As messages name it: "/params/teams/0/cpus" is params.teams.cpus.
std::string dotted(std::string pointer) {
  if (const size_t index = pointer.find("/0"); index != std::string::npos) pointer.erase(index, 2);
  std::replace(pointer.begin(), pointer.end(), '/', '.');
  return pointer.substr(1);
}

std::string error_with(const char* pointer, const json& value) {
  json j = good();
  j[json::json_pointer(pointer)] = value;
  return error_of(j);
}

std::string error_without(const char* pointer) {
  json j = good();
  const json::json_pointer at(pointer);
  j[at.parent_pointer()].erase(at.back());
  return error_of(j);
}

// The whole line, for every setting: operators search for it.
TEST(Config, EveryNumberHasItsMessages) {
  for (const char* pointer :
       {"/params/nodes", "/params/teams/0/cpus", "/params/teams/0/cpus_max", "/params/teams/0/gpus",
        "/params/teams/0/gpus_max", "/params/workers/report_s", "/params/workers/lease_s",
        "/params/workers/gang_wait_s", "/params/workers/gang_peer_s", "/params/workers/cancel_s",
        "/params/state/rps", "/params/state/write_rps", "/params/state/value_kb",
        "/params/state/txn_ops", "/params/cloud/rps", "/params/cloud/list_lag_s",
        "/params/resources/cores", "/params/resources/memory_mb",
        "/params/resources/max_sockets"}) {
    const std::string name = dotted(pointer);
    EXPECT_EQ(error_without(pointer), "settings: missing " + name);
    EXPECT_EQ(error_with(pointer, "3"), "settings: " + name + " must be a number");
    EXPECT_EQ(error_with(pointer, nullptr), "settings: " + name + " must be a number");
    EXPECT_EQ(error_with(pointer, 1e300), "settings: " + name + " is out of range");
    EXPECT_EQ(error_with(pointer, -1), "settings: " + name + " is out of range");
  }
}

TEST(Config, EveryTextHasItsMessages) {
  for (const char* pointer :
       {"/label", "/bind", "/mesh_addr", "/siblings/0/label", "/siblings/0/endpoint",
        "/external/cloud", "/external/state", "/params/teams/0/name"}) {
    const std::string name = dotted(pointer);
    EXPECT_EQ(error_without(pointer), "settings: missing " + name);
    EXPECT_EQ(error_with(pointer, 3), "settings: " + name + " must be a text");
    EXPECT_EQ(error_with(pointer, ""), "settings: " + name + " must be a text");
  }
  for (const char* pointer :
       {"/bind", "/mesh_addr", "/siblings/0/endpoint", "/external/cloud", "/external/state"}) {
    const std::string name = dotted(pointer);
    EXPECT_EQ(error_with(pointer, "host"), "settings: " + name + " must be HOST:PORT");
    EXPECT_EQ(error_with(pointer, ":5"), "settings: " + name + " must be HOST:PORT");
    EXPECT_EQ(error_with(pointer, "host:0"), "settings: " + name + " has a bad port");
    EXPECT_EQ(error_with(pointer, "host:65536"), "settings: " + name + " has a bad port");
    EXPECT_EQ(error_with(pointer, "host:5x"), "settings: " + name + " has a bad port");
  }
}

TEST(Config, EveryListAndSectionHasItsMessages) {
  for (const char* pointer : {"/siblings", "/params/zones", "/params/teams"}) {
    EXPECT_EQ(error_without(pointer), "settings: missing " + dotted(pointer));
    EXPECT_EQ(error_with(pointer, 3), "settings: " + dotted(pointer) + " must be a list");
  }
  EXPECT_EQ(error_with("/params/objectives", 3), "settings: params.objectives must be a list");
  EXPECT_EQ(error_with("/params/zones/0", 3), "settings: params.zones must hold texts");
  EXPECT_EQ(error_with("/siblings/0", 3), "settings: missing siblings.label");
  EXPECT_EQ(error_with("/params/teams/0", 3), "settings: missing params.teams.name");
  for (const char* pointer : {"/external", "/params", "/params/workers", "/params/state",
                              "/params/cloud", "/params/resources"})
    EXPECT_EQ(error_without(pointer), "settings: missing " + dotted(pointer));
  EXPECT_EQ(error_with("/params", 3), "settings: missing params.nodes");
  EXPECT_EQ(error_with("/params/workers", 3), "settings: missing params.workers.report_s");
  EXPECT_EQ(error_with("/params/state/next", 3), "settings: params.state.next must be an object");
  EXPECT_EQ(error_of(json::array()), "settings: not a JSON object");
}

TEST(Config, ReadsEverySetting) {
  json j = good();
  j["params"]["objectives"] = {{{"kind", "wait"}, {"class", "web"}, {"within_s", 20}},
                               {{"kind", "unheard_of"}},
                               {{"kind", "finished"}, {"class", "train"}, {"within_s", 300}}};
  const Config c = parse_config(j.dump());
  EXPECT_EQ(c.bind.host, "127.0.0.1");
  EXPECT_EQ(c.bind.port, 1);
  EXPECT_EQ(c.mesh.port, 2);
  EXPECT_EQ(c.peers.at(0).label, "n1");
  EXPECT_EQ(c.cloud.port, 4);
  EXPECT_EQ(c.state.port, 5);
  EXPECT_EQ(c.nodes, 2);
  EXPECT_EQ(c.scheduler.zones, std::vector<std::string>{"a"});
  EXPECT_EQ(c.scheduler.teams.at(0).name, "t");
  EXPECT_DOUBLE_EQ(c.scheduler.teams.at(0).cpus, 1);
  EXPECT_DOUBLE_EQ(c.scheduler.heartbeat_interval_s, 3);
  EXPECT_DOUBLE_EQ(c.scheduler.lease_s, 20);
  EXPECT_DOUBLE_EQ(c.scheduler.gang_wait_s, 40);
  EXPECT_DOUBLE_EQ(c.scheduler.gang_peer_s, 6);
  EXPECT_DOUBLE_EQ(c.scheduler.cancel_s, 50);
  EXPECT_DOUBLE_EQ(c.state_rps, 100);
  EXPECT_DOUBLE_EQ(c.write_rps, 20);
  EXPECT_EQ(c.scheduler.txn_ops, 8u);
  EXPECT_DOUBLE_EQ(c.cloud_rps, 4);
  EXPECT_DOUBLE_EQ(c.scheduler.list_lag_s, 3);
  EXPECT_DOUBLE_EQ(c.cores, 0.2);
  EXPECT_DOUBLE_EQ(c.memory_mb, 100);
  EXPECT_EQ(c.max_sockets, 1500u);
  ASSERT_EQ(c.scheduler.objectives.size(), 2u);
  EXPECT_TRUE(c.scheduler.objectives[0].is_start_objective);
  EXPECT_EQ(c.scheduler.objectives[0].job_class, "web");
  EXPECT_DOUBLE_EQ(c.scheduler.objectives[0].within_s, 20);
  EXPECT_FALSE(c.scheduler.objectives[1].is_start_objective);
  for (const char* key : {"class", "within_s"}) {
    json lacks = j;
    lacks["params"]["objectives"][0].erase(key);
    EXPECT_EQ(error_of(lacks), std::string("settings: missing params.objectives.") + key);
  }
}

class Ini : public testing::Test {
 protected:
  std::string error_of(const std::string& text) {
    const std::string path = testing::TempDir() + "rookdyke_test.ini";
    std::ofstream(path) << text;
    std::string error;
    try {
      apply_ini(config, path);
    } catch (const ConfigError& e) {
      error = e.what();
    }
    std::remove(path.c_str());
    return error;
  }
  Config config = parse_config(good().dump());
};

TEST_F(Ini, SetsTuning) {
  EXPECT_EQ(error_of("[forecast]\npercentile = 0.9\nhistory = 50\n[fleet]\nlull_s = 45\n"), "");
  EXPECT_DOUBLE_EQ(config.scheduler.tuning.percentile, 0.9);
  EXPECT_EQ(config.scheduler.tuning.history, 50);
  EXPECT_DOUBLE_EQ(config.scheduler.tuning.scale_in_delay_s, 45);
}

TEST_F(Ini, TheSampleStatesTheDefaults) {
  Config sample = config;
  apply_ini(sample, ROOKDYKE_SOURCE "/deploy/rookdyke.ini");
  const Tuning &a = sample.scheduler.tuning, b;
  EXPECT_DOUBLE_EQ(a.sample_s, b.sample_s);
  EXPECT_DOUBLE_EQ(a.trend_s, b.trend_s);
  EXPECT_DOUBLE_EQ(a.percentile, b.percentile);
  EXPECT_EQ(a.history, b.history);
  EXPECT_DOUBLE_EQ(a.safe_fraction, b.safe_fraction);
  EXPECT_DOUBLE_EQ(a.boot_window_s, b.boot_window_s);
  EXPECT_DOUBLE_EQ(a.start_spare, b.start_spare);
  EXPECT_DOUBLE_EQ(a.scale_in_delay_s, b.scale_in_delay_s);
  EXPECT_DOUBLE_EQ(a.drain_deadline_s, b.drain_deadline_s);
  EXPECT_DOUBLE_EQ(a.rental_interval_s, b.rental_interval_s);
  EXPECT_DOUBLE_EQ(a.capacity_retry_s, b.capacity_retry_s);
  EXPECT_DOUBLE_EQ(a.boot_timeout_factor, b.boot_timeout_factor);
  EXPECT_DOUBLE_EQ(a.heartbeat_timeout_s, b.heartbeat_timeout_s);
  EXPECT_DOUBLE_EQ(a.round_s, b.round_s);
  EXPECT_DOUBLE_EQ(a.round_max_s, b.round_max_s);
  EXPECT_DOUBLE_EQ(a.short_job_preference_s, b.short_job_preference_s);
  EXPECT_DOUBLE_EQ(sample.lease_ttl_s, config.lease_ttl_s);
  EXPECT_DOUBLE_EQ(sample.leader_watch_s, config.leader_watch_s);
  EXPECT_DOUBLE_EQ(sample.follower_watch_s, config.follower_watch_s);
}

TEST_F(Ini, RefusesWhatItDoesNotKnowOrCannotUse) {
  EXPECT_NE(error_of("[forecast]\npercentil = 0.9\n").find("percentil"), std::string::npos);
  EXPECT_NE(error_of("[forcast]\npercentile = 0.9\n").find("forcast"), std::string::npos);
  EXPECT_NE(error_of("[forecast]\npercentile = 1.5\n").find("bad value"), std::string::npos);
  EXPECT_NE(error_of("[forecast]\nhistory = 1.5\n").find("bad value"), std::string::npos);
  EXPECT_NE(error_of("[fleet]\nlull_s = soon\n").find("bad value"), std::string::npos);
  EXPECT_NE(error_of("[rounds]\nround_s = 2\nround_max_s = 1\n"), "");
}

TEST_F(Ini, EveryKeySetsItsValue) {
  EXPECT_EQ(error_of("[forecast]\nsample_s = 1\ntrend_s = 2\npercentile = 0.3\nhistory = 4\n"
                     "safe_fraction = 0.5\nboot_window_s = 6\nstart_spare = 7\n"
                     "[fleet]\nlull_s = 8\ndrain_deadline_s = 9\nhire_every_s = 10\n"
                     "refusal_s = 11\nboot_patience = 12\nsilence_s = 13\n"
                     "[rounds]\nsmall_first = 14\nround_s = 15\nround_max_s = 16\n"
                     "[node]\nlease_ttl_s = 17\nwatch_s = 0.18\nfollow_s = 0.19\n"),
            "");
  const Tuning& t = config.scheduler.tuning;
  EXPECT_DOUBLE_EQ(t.sample_s, 1);
  EXPECT_DOUBLE_EQ(t.trend_s, 2);
  EXPECT_DOUBLE_EQ(t.percentile, 0.3);
  EXPECT_EQ(t.history, 4);
  EXPECT_DOUBLE_EQ(t.safe_fraction, 0.5);
  EXPECT_DOUBLE_EQ(t.boot_window_s, 6);
  EXPECT_DOUBLE_EQ(t.start_spare, 7);
  EXPECT_DOUBLE_EQ(t.scale_in_delay_s, 8);
  EXPECT_DOUBLE_EQ(t.drain_deadline_s, 9);
  EXPECT_DOUBLE_EQ(t.rental_interval_s, 10);
  EXPECT_DOUBLE_EQ(t.capacity_retry_s, 11);
  EXPECT_DOUBLE_EQ(t.boot_timeout_factor, 12);
  EXPECT_DOUBLE_EQ(t.heartbeat_timeout_s, 13);
  EXPECT_DOUBLE_EQ(t.short_job_preference_s, 14);
  EXPECT_DOUBLE_EQ(t.round_s, 15);
  EXPECT_DOUBLE_EQ(t.round_max_s, 16);
  EXPECT_DOUBLE_EQ(config.lease_ttl_s, 17);
  EXPECT_DOUBLE_EQ(config.leader_watch_s, 0.18);
  EXPECT_DOUBLE_EQ(config.follower_watch_s, 0.19);
}

TEST_F(Ini, MessagesAreOneLine) {
  EXPECT_EQ(error_of("[forecast]\npercentil = 0.9\n"), "ini: unknown key percentil in [forecast]");
  EXPECT_EQ(error_of("[forcast]\npercentile = 0.9\n"), "ini: unknown section [forcast]");
  EXPECT_EQ(error_of("round_s = 1\n"), "ini: unknown section []");
  EXPECT_EQ(error_of("[fleet]\nlull_s = -1\n"), "ini: bad value for lull_s in [fleet]");
  EXPECT_EQ(error_of("[fleet]\nlull_s = nan\n"), "ini: bad value for lull_s in [fleet]");
  EXPECT_EQ(error_of("[fleet]\nlull_s = -1\nlulls = 3\n"), "ini: bad value for lull_s in [fleet]");
  EXPECT_EQ(error_of("[rounds]\nround_s = 2\nround_max_s = 1\n"),
            "ini: round_max_s is below round_s");
  EXPECT_NE(error_of("[fleet\n").find(" line 1 cannot be understood"), std::string::npos);
  EXPECT_THROW(apply_ini(config, "/nonexistent/file.ini"), ConfigError);
}

// Sockets are shared out by the settings, so that the workers of a large fleet all find room.
TEST(Config, SocketsFollowFromTheSettings) {
  Config c;
  c.max_sockets = 2179;
  c.peers.resize(6);
  EXPECT_GE(connections_from_outside(c), 2000u);
  EXPECT_GE(connections_from_peers(c), 12u);
  EXPECT_LT(connections_from_outside(c) + connections_from_peers(c) + 40, c.max_sockets);
  c.max_sockets = 64;
  EXPECT_EQ(connections_from_outside(c), 32u);
}

}  // namespace
}  // namespace rookdyke
