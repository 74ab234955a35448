#include "config/config.h"

#include <gtest/gtest.h>

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
  EXPECT_EQ(c.siblings.at(0).mesh.port, 3);
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
  EXPECT_EQ(c.scheduler.lasting_value_bytes(), 2048u);
  EXPECT_EQ(c.scheduler.lasting_txn_ops(), 5u);
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

// Sockets are shared out by the settings, so that the workers of a large fleet all find room.
TEST(Config, SocketsFollowFromTheSettings) {
  Config c;
  c.max_sockets = 2179;
  c.siblings.resize(6);
  EXPECT_GE(connections_from_outside(c), 2000u);
  EXPECT_GE(connections_from_siblings(c), 12u);
  EXPECT_LT(connections_from_outside(c) + connections_from_siblings(c) + 40, c.max_sockets);
  c.max_sockets = 64;
  EXPECT_EQ(connections_from_outside(c), 32u);
}

}  // namespace
}  // namespace rookdyke
