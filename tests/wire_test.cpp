#include "wire/wire.h"

#include <gtest/gtest.h>

#include <cmath>

namespace rookdyke::wire {
namespace {

json good() {
  return {{"id", "wk-000412"}, {"lot", "train"},   {"crew", "vision"}, {"shape", "ensemble"},
          {"rank", "urgent"},  {"shifts", 16},     {"cpus", 8.0},      {"gpus", 1.0},
          {"mem_gb", 64.0},    {"kit", "img-07"},  {"image_gb", 6.2},  {"breeds", {"g8"}},
          {"yard", nullptr},   {"one_zone", true}, {"scatter", false}, {"loaners", true},
          {"expected_s", 240}, {"marker_s", 30.0}, {"stow_s", 4.0},    {"due_s", nullptr},
          {"unheard_of", {1}}};
}

std::string error_of(const json& j) {
  const DecodedJob decoded = parse_job(j);
  const auto* error = std::get_if<DecodeError>(&decoded);
  return error ? error->field : "";
}

TEST(Wire, ReadsAJob) {
  const DecodedJob decoded = parse_job(good());
  const auto* s = std::get_if<JobSpec>(&decoded);
  ASSERT_TRUE(s) << error_of(good());
  EXPECT_EQ(s->shape, JobShape::gang);
  EXPECT_EQ(s->priority, Priority::urgent);
  EXPECT_EQ(s->tasks, 16u);
  EXPECT_TRUE(s->zone.empty());
  EXPECT_EQ(s->types, std::vector<std::string>{"g8"});
}

TEST(Wire, NullableFieldsMayBeMissingAndNoOthers) {
  json j = good();
  for (const char* f : {"breeds", "yard", "due_s"}) j.erase(f);
  EXPECT_EQ(error_of(j), "");
  const json all = good();
  for (const auto& [k, v] : all.items()) {
    if (k == "breeds" || k == "yard" || k == "due_s" || k == "unheard_of") continue;
    json less = good();
    less.erase(k);
    EXPECT_NE(error_of(less), "") << k;
  }
}

TEST(Wire, RefusesBadValues) {
  const std::vector<std::pair<const char*, json>> bad = {{"id", "wk-12"},
                                                         {"id", "job-000001"},
                                                         {"id", 5},
                                                         {"id", "wk-00000x"},
                                                         {"shifts", 0},
                                                         {"shifts", 100001},
                                                         {"shifts", -1},
                                                         {"shifts", 2.5},
                                                         {"cpus", -1},
                                                         {"cpus", "8"},
                                                         {"gpus", NAN},
                                                         {"mem_gb", INFINITY},
                                                         {"image_gb", -0.1},
                                                         {"marker_s", -1},
                                                         {"one_zone", 1},
                                                         {"loaners", "yes"},
                                                         {"shape", "circle"},
                                                         {"rank", "normal"},
                                                         {"breeds", "g8"},
                                                         {"breeds", {1}},
                                                         {"breeds", json::array()},
                                                         {"yard", 3},
                                                         {"due_s", "soon"},
                                                         {"crew", ""},
                                                         {"kit", std::string(300, 'x')}};
  for (const auto& [k, v] : bad) {
    json j = good();
    j[k] = v;
    EXPECT_NE(error_of(j), "") << k << " = " << v;
  }
  EXPECT_NE(error_of(json::array()), "");
}

TEST(Wire, DeepOrBrokenBodiesAreNoMessages) {
  EXPECT_FALSE(unpack(std::string(60000, '\x91')));  // lists in lists in lists
  EXPECT_FALSE(unpack(std::string(60000, '\x81')));
  EXPECT_FALSE(unpack(""));
  EXPECT_FALSE(unpack("\xdb\xff\xff\xff\xff"));  // a text of 4 GB
  EXPECT_FALSE(unpack(pack(good()) + "x"));
  EXPECT_EQ(unpack(pack(good())), good());
}

TEST(Wire, ReadsAReport) {
  const json j = {{"croft", "m-000231"},
                  {"addr", "10.1.0.232:9000"},
                  {"breed", "g8"},
                  {"yard", "a"},
                  {"loaners", true},
                  {"tenure", 2},
                  {"tally", 88},
                  {"warrant", 41},
                  {"recall_s", nullptr},
                  {"shifts",
                   {{{"shift", "wk-000412/3"}, {"go", 2}, {"standing", "running"}},
                    {{"shift", "wk-000398/0"},
                     {"go", 1},
                     {"standing", "exited"},
                     {"cause", "halted"},
                     {"stored", true}}}}};
  const auto r = parse_heartbeat(j);
  ASSERT_TRUE(r);
  EXPECT_EQ(r->epoch, 2u);
  EXPECT_EQ(r->fencing_token, 41u);
  EXPECT_LT(r->notice_s, 0);
  ASSERT_EQ(r->tasks.size(), 2u);
  EXPECT_EQ(r->tasks[0].task, 3u);
  EXPECT_EQ(r->tasks[1].cause, ExitCause::stopped);
  EXPECT_TRUE(r->tasks[1].checkpoint_saved);
  EXPECT_FALSE(parse_heartbeat({{"tenure", 1}}));
}

json good_report() {
  return {{"croft", "m-1"},
          {"addr", "h:1"},
          {"breed", "g8"},
          {"yard", "a"},
          {"loaners", true},
          {"tenure", 2},
          {"tally", 88},
          {"warrant", 41},
          {"recall_s", 12.5},
          {"shifts", {{{"shift", "wk-000412/3"}, {"go", 2}, {"standing", "running"}}}}};
}

// Numbers that a report lacks or has wrong would be taken for a session, a token or a notice.
TEST(Wire, RefusesBadReports) {
  ASSERT_TRUE(parse_heartbeat(good_report()));
  const std::vector<std::pair<const char*, json>> bad = {
      {"croft", ""},           {"croft", std::string(300, 'x')},
      {"croft", "\xff\xfe"},   {"tenure", "2"},
      {"tenure", -2},          {"tenure", 0},
      {"tally", 1.5},          {"warrant", -1},
      {"warrant", "41"},       {"warrant", 1e300},
      {"warrant", UINT64_MAX}, {"shifts", "none"},
      {"shifts", {1}},         {"shifts", {{{"shift", "wk-000412"}}}}};
  for (const auto& [k, v] : bad) {
    json j = good_report();
    j[k] = v;
    EXPECT_FALSE(parse_heartbeat(j)) << k;
  }
  for (const json& v : {json(NAN), json(INFINITY), json(-3), json("soon"), json(true)}) {
    json j = good_report();
    j["recall_s"] = v;
    const auto r = parse_heartbeat(j);
    EXPECT_TRUE(!r || r->notice_s < 0) << v;
  }
  for (const json& v : {json("3"), json(-1), json(2.5), json()}) {
    json j = good_report();
    j["shifts"][0]["go"] = v;
    EXPECT_FALSE(parse_heartbeat(j)) << v;
  }
}

// What a job says may be shown to peer controllers as JSON, which holds no other text than UTF-8.
TEST(Wire, TextIsUtf8) {
  for (const char* f : {"kit", "lot", "crew", "yard"}) {
    json j = good();
    j[f] = "img-\xff\xfe";
    EXPECT_EQ(error_of(j), f);
  }
  json j = good();
  j["breeds"] = {"\xc3"};
  EXPECT_EQ(error_of(j), "breeds");
  j["breeds"] = {"gr\xc3\xbc"};
  EXPECT_EQ(error_of(j), "");
}

json good_types() {
  return {{"breeds",
           {{{"name", "g8"},
             {"cpus", 96},
             {"gpus", 8},
             {"mem_gb", 768},
             {"local_gb", 200},
             {"fetch_gb_per_s", 1.0},
             {"hourly", 12.0},
             {"low_price", 4.5},
             {"boot_s", 45},
             {"yards", {"a", "b"}}}}}};
}

// A size read wrongly would have jobs answered 422 that can run: no list is better than that one.
TEST(Wire, BadMachineTypesAreNoTypes) {
  ASSERT_TRUE(parse_machine_types(good_types()));
  const std::vector<std::pair<const char*, json>> bad = {
      {"name", 3},         {"name", ""},      {"cpus", "96"},      {"cpus", -1},
      {"gpus", NAN},       {"mem_gb", 1e300}, {"mem_gb", nullptr}, {"hourly", "12"},
      {"low_price", -4.5}, {"boot_s", NAN},   {"local_gb", true},  {"fetch_gb_per_s", INFINITY},
      {"yards", "a"},      {"yards", {1}},    {"yards", nullptr}};
  for (const auto& [k, v] : bad) {
    json j = good_types();
    j["breeds"].push_back(j["breeds"][0]);
    j["breeds"][1]["name"] = "g9";
    j["breeds"][1][k] = v;
    EXPECT_FALSE(parse_machine_types(j)) << k << " = " << v;
  }
  json twice = good_types();
  twice["breeds"].push_back(twice["breeds"][0]);
  EXPECT_FALSE(parse_machine_types(twice));
  EXPECT_FALSE(parse_machine_types({{"breeds", {3}}}));
  EXPECT_FALSE(parse_machine_types({{"breeds", "g8"}}));
  EXPECT_FALSE(parse_machine_types(json::array()));
}

// A revision or a lease below 0 would be a huge one; a row without a version has no place in time.
TEST(Wire, BadAnswersOfTheStateServiceAreNoAnswers) {
  for (const json& v : {json(-1), json("4"), json(1.5), json(true), json()}) {
    EXPECT_FALSE(parse_revision({{"ledger", v}})) << v;
    EXPECT_FALSE(parse_lease_id({{"tether", v}})) << v;
    EXPECT_FALSE(parse_row({{"k", "a"}, {"v", 1}, {"stamp", v}})) << v;
    EXPECT_FALSE(parse_rows({{"rows", {{{"k", "a"}, {"stamp", v}}}}, {"ledger", 4}})) << v;
    EXPECT_FALSE(parse_events({{"log", {{{"write", "a"}, {"stamp", v}}}}, {"ledger", 4}})) << v;
  }
  for (const json& v : {json(3), json("x"), json::array({1}), json::object(), json()}) {
    EXPECT_FALSE(parse_rows(v)) << v;
    EXPECT_FALSE(parse_events(v)) << v;
    EXPECT_FALSE(parse_rows({{"rows", {v}}, {"ledger", 4}})) << v;
    EXPECT_FALSE(parse_events({{"log", {v}}, {"ledger", 4}})) << v;
    EXPECT_TRUE(parse_failed_keys(v).empty());
    EXPECT_FALSE(parse_machine_page(v));
    EXPECT_FALSE(parse_rented_machines(v));
  }
}

TEST(Wire, WritesOrders) {
  const json a = encode_heartbeat_reply(7, {{CommandKind::stop, "wk-000001", 2, 3, 10}});
  EXPECT_EQ(a,
            json({{"warrant", 7},
                  {"orders",
                   {{{"verb", "stop"}, {"shift", "wk-000001/2"}, {"go", 3}, {"leave_s", 10.0}}}}}));
}

TEST(Wire, WritesTransactions) {
  ledger::Transaction t;
  t.conditions = {{"a/b", 0}};
  t.changes = {{"a/b", false, {{"x", 1}}, 7}, {"c/d", true, {}, 0}};
  EXPECT_EQ(encode_transaction(t),
            json({{"if", {{{"k", "a/b"}, {"stamp", 0}}}},
                  {"then",
                   {{{"write", "a/b"}, {"v", {{"x", 1}}}, {"tether", 7}}, {{"delete", "c/d"}}}}}));
  EXPECT_EQ(key_path("rd/t/wk-000001/3"), "/keys/rd/t/wk-000001/3");
}

// The bytes of every message that this program sends, written out in full: MessagePack tells whole
// numbers from amounts, so 10 and 10.0 differ here.
void expect_bytes(const json& message, const char* expected) {
  EXPECT_EQ(pack(message), pack(json::parse(expected))) << message;
}

TEST(Wire, BytesOfAnswersToUsers) {
  JobProgress answer;
  answer.done = 3;
  expect_bytes(encode_job_status("wk-000001", answer, false),
               R"({"id":"wk-000001","standing":"pending"})");
  answer.running = 2;
  expect_bytes(encode_job_status("wk-000001", answer, true),
               R"({"id":"wk-000001","standing":"running","done":3,"running":2})");
  answer.status = ledger::JobStatus::done;
  expect_bytes(encode_job_status("wk-000001", answer, false),
               R"({"id":"wk-000001","standing":"done"})");
  answer.status = ledger::JobStatus::cancelled;
  expect_bytes(encode_job_status("wk-000001", answer, false),
               R"({"id":"wk-000001","standing":"aborted"})");
}

TEST(Wire, BytesOfCommandsToWorkers) {
  const std::vector<WorkerCommand> commands = {{CommandKind::start, "wk-000001", 0, 1, 5},
                                               {CommandKind::stop, "wk-000002", 7, 2, 10},
                                               {CommandKind::forget, "wk-000003", 99, 3, 0}};
  expect_bytes(encode_heartbeat_reply(41, commands),
               R"({"warrant":41,"orders":[{"verb":"run","shift":"wk-000001/0","go":1},
                   {"verb":"stop","shift":"wk-000002/7","go":2,"leave_s":10.0},
                   {"verb":"clear","shift":"wk-000003/99","go":3}]})");
  DirectCommand command;
  command.epoch = 6;
  command.fencing_token = 41;
  expect_bytes(encode_direct_command(command), R"({"warrant":41,"tenure":6,"orders":[]})");
  expect_bytes(encode_redirect("croft-2"), R"({"steward":"croft-2"})");
  expect_bytes(encode_redirect(""), "{}");
}

TEST(Wire, BytesOfCallsToTheCloud) {
  RentalRequest request;
  request.name = "r-17";
  request.type = "g8";
  request.zone = "a";
  request.spot = true;
  request.count = 12;
  expect_bytes(encode_rental_request(request),
               R"({"hire":"r-17","breed":"g8","yard":"a","loaners":true,"how_many":12})");
  expect_bytes(encode_return_request({"m-1", "m-2"}), R"({"crofts":["m-1","m-2"]})");
  EXPECT_EQ(machine_list_path("", 500), "/machines?most=500");
  EXPECT_EQ(machine_list_path("m 1", 500), "/machines?most=500&after=m%201");
}

TEST(Wire, BytesOfCallsToTheStateService) {
  ledger::Transaction t;
  t.conditions = {{"a/b", 0}};
  t.changes = {{"a/b", false, {{"x", 1.0}}, 7}, {"c/d", true, {}, 0}, {"e", false, 5, 0}};
  expect_bytes(encode_transaction(t), R"({"if":[{"k":"a/b","stamp":0}],
      "then":[{"write":"a/b","v":{"x":1.0},"tether":7},{"delete":"c/d"},{"write":"e","v":5}]})");
  expect_bytes(encode_lease_request(2.5), R"({"ttl_ms":2500})");
  EXPECT_EQ(key_path("rd/j/wk 1"), "/keys/rd/j/wk%201");
  EXPECT_EQ(range_path("rd/", "", 100), "/keys?under=rd/&most=100");
  EXPECT_EQ(range_path("rd/", "rd/j/?", 100), "/keys?under=rd/&most=100&after=rd/j/%3F");
  EXPECT_EQ(watch_path("rd/", 7, 200), "/watch?under=rd/&after=7&hold_ms=200");
  EXPECT_EQ(lease_path(7), "/leases/7");
  EXPECT_EQ(renewal_path(7), "/leases/7/renew");
}

// Every field of a job lands where it belongs.
TEST(Wire, ReadsEveryFieldOfAJob) {
  json j = good();
  j["yard"] = "a";
  j["due_s"] = 900.5;
  const DecodedJob decoded = parse_job(j);
  const auto* s = std::get_if<JobSpec>(&decoded);
  ASSERT_TRUE(s) << error_of(j);
  EXPECT_EQ(s->id, "wk-000412");
  EXPECT_EQ(s->job_class, "train");
  EXPECT_EQ(s->team, "vision");
  EXPECT_EQ(s->image, "img-07");
  EXPECT_EQ(s->zone, "a");
  EXPECT_DOUBLE_EQ(s->per_task.cpus, 8);
  EXPECT_DOUBLE_EQ(s->per_task.gpus, 1);
  EXPECT_DOUBLE_EQ(s->per_task.memory_gb, 64);
  EXPECT_DOUBLE_EQ(s->image_gb, 6.2);
  EXPECT_TRUE(s->single_zone);
  EXPECT_FALSE(s->spread_zones);
  EXPECT_TRUE(s->spot);
  EXPECT_DOUBLE_EQ(s->expected_runtime_s, 240);
  EXPECT_DOUBLE_EQ(s->checkpoint_interval_s, 30);
  EXPECT_DOUBLE_EQ(s->checkpoint_duration_s, 4);
  EXPECT_DOUBLE_EQ(s->deadline_s, 900.5);
}

// Of several bad fields the answer names the last in this order.
TEST(Wire, NamesTheLastBadField) {
  EXPECT_EQ(error_of(json::array()), "not a map");
  json j = good();
  for (const char* f :
       {"yard",     "breeds",     "loaners",  "scatter", "one_zone", "due_s", "stow_s",
        "marker_s", "expected_s", "image_gb", "mem_gb",  "gpus",     "cpus",  "shifts",
        "rank",     "shape",      "kit",      "crew",    "lot",      "id"}) {
    json one = good();
    one[f] = json::object();
    EXPECT_EQ(error_of(one), f);
  }
  for (const char* f :
       {"id",    "lot",      "crew",    "kit",      "shape",      "rank",     "shifts",
        "cpus",  "gpus",     "mem_gb",  "image_gb", "expected_s", "marker_s", "stow_s",
        "due_s", "one_zone", "scatter", "loaners",  "breeds",     "yard"}) {
    j[f] = json::object();
    EXPECT_EQ(error_of(j), f);
  }
}

TEST(Wire, ReadsEveryValueOfAReport) {
  const std::vector<std::pair<const char*, TaskPhase>> phases = {
      {"pulling", TaskPhase::fetching},
      {"gathering", TaskPhase::gang_waiting},
      {"running", TaskPhase::running},
      {"saving", TaskPhase::checkpointing},
      {"exited", TaskPhase::exited}};
  for (const auto& [value, phase] : phases) {
    json j = good_report();
    j["shifts"][0]["standing"] = value;
    const auto r = parse_heartbeat(j);
    ASSERT_TRUE(r) << value;
    EXPECT_EQ(r->tasks.at(0).phase, phase) << value;
  }
  const std::vector<std::pair<const char*, ExitCause>> causes = {
      {"done", ExitCause::done},
      {"halted", ExitCause::stopped},
      {"peers", ExitCause::gang_peer_lost},
      {"alone", ExitCause::gang_timeout},
      {"no_room", ExitCause::insufficient_resources},
      {"in_use", ExitCause::already_present},
      {"no_such", ExitCause::unknown_task},
      {"error", ExitCause::error},
      {"unheard_of", ExitCause::error}};
  for (const auto& [value, cause] : causes) {
    json j = good_report();
    j["shifts"][0]["standing"] = "exited";
    j["shifts"][0]["cause"] = value;
    const auto r = parse_heartbeat(j);
    ASSERT_TRUE(r) << value;
    EXPECT_EQ(r->tasks.at(0).cause, cause) << value;
  }
  json j = good_report();
  j["shifts"][0]["standing"] = "unheard_of";
  EXPECT_FALSE(parse_heartbeat(j));
  const auto r = parse_heartbeat(good_report());
  EXPECT_EQ(r->machine, "m-1");
  EXPECT_EQ(r->addr, "h:1");
  EXPECT_EQ(r->type, "g8");
  EXPECT_EQ(r->zone, "a");
  EXPECT_TRUE(r->spot);
  EXPECT_EQ(r->seq, 88u);
  EXPECT_DOUBLE_EQ(r->notice_s, 12.5);
  EXPECT_EQ(r->tasks.at(0).attempt, 2u);
}

TEST(Wire, ReadsTheCloudsLists) {
  const auto types = parse_machine_types(good_types());
  ASSERT_TRUE(types);
  const MachineType& t = types->at(0);
  EXPECT_EQ(t.name, "g8");
  EXPECT_DOUBLE_EQ(t.size.cpus, 96);
  EXPECT_DOUBLE_EQ(t.size.gpus, 8);
  EXPECT_DOUBLE_EQ(t.size.memory_gb, 768);
  EXPECT_DOUBLE_EQ(t.cache_gb, 200);
  EXPECT_DOUBLE_EQ(t.fetch_gb_per_s, 1);
  EXPECT_DOUBLE_EQ(t.price, 12);
  EXPECT_DOUBLE_EQ(t.spot_price, 4.5);
  EXPECT_DOUBLE_EQ(t.boot_s, 45);
  EXPECT_EQ(t.zones, (std::vector<std::string>{"a", "b"}));
  const json least = {{"name", "x"}, {"cpus", 1}, {"gpus", 0}, {"mem_gb", 1}, {"yards", {"a"}}};
  const auto defaults = parse_machine_types({{"breeds", {least}}});
  ASSERT_TRUE(defaults);
  EXPECT_DOUBLE_EQ(defaults->at(0).fetch_gb_per_s, 1);
  EXPECT_DOUBLE_EQ(defaults->at(0).boot_s, 60);

  const json listed = {{"crofts",
                        {{{"id", "m-1"}, {"standing", "running"}, {"age_s", 61.5}},
                         {{"id", "m-2"},
                          {"addr", "h:1"},
                          {"breed", "g8"},
                          {"yard", "a"},
                          {"loaners", true},
                          {"standing", "failed"}},
                         {{"id", 3}},
                         {{"id", "m-4"}, {"standing", "unheard_of"}}}},
                       {"truncated", true}};
  const auto page = parse_machine_page(listed);
  ASSERT_TRUE(page);
  EXPECT_TRUE(page->more);
  const std::vector<ListedMachine>& machines = page->machines;
  ASSERT_EQ(machines.size(), 3u);
  EXPECT_EQ(machines.at(0).state, ListedMachine::State::running);
  EXPECT_DOUBLE_EQ(machines.at(0).age_s, 61.5);
  EXPECT_EQ(machines.at(1).state, ListedMachine::State::failed);
  EXPECT_EQ(machines.at(1).addr, "h:1");
  EXPECT_EQ(machines.at(1).type, "g8");
  EXPECT_EQ(machines.at(1).zone, "a");
  EXPECT_TRUE(machines.at(1).spot);
  EXPECT_EQ(machines.at(2).state, ListedMachine::State::booting);
  EXPECT_EQ(parse_rented_machines({{"crofts", {"m-1", 2, "", "m-3"}}}),
            (std::vector<std::string>{"m-1", "m-3"}));
}

TEST(Wire, ReadsAnswersOfTheStateService) {
  EXPECT_EQ(parse_revision({{"ledger", 431}}), 431u);
  EXPECT_EQ(parse_lease_id({{"tether", 7}}), 7u);
  EXPECT_EQ(parse_failed_keys({{"failed", {"a/b", 3, "c"}}}),
            (std::vector<std::string>{"a/b", "c"}));
  const auto rows = parse_rows({{"rows", {{{"k", "a"}, {"v", {{"x", 1}}}, {"stamp", 4}}}},
                                {"truncated", true},
                                {"ledger", 9}});
  ASSERT_TRUE(rows);
  EXPECT_TRUE(rows->more);
  EXPECT_EQ(rows->revision, 9u);
  EXPECT_EQ(rows->rows.at(0).key, "a");
  EXPECT_EQ(rows->rows.at(0).value, json({{"x", 1}}));
  EXPECT_EQ(rows->rows.at(0).version, 4u);
  const auto events = parse_events(
      {{"ledger", 433},
       {"log",
        {{{"write", "c/9"}, {"v", 5}, {"stamp", 433}}, {{"delete", "c/d"}, {"stamp", 432}}}}});
  ASSERT_TRUE(events);
  EXPECT_EQ(events->revision, 433u);
  EXPECT_EQ(events->rows.at(0).key, "c/9");
  EXPECT_EQ(events->rows.at(0).value, 5);
  EXPECT_EQ(events->rows.at(0).version, 433u);
  EXPECT_FALSE(events->rows.at(0).deleted);
  EXPECT_EQ(events->rows.at(1).key, "c/d");
  EXPECT_TRUE(events->rows.at(1).deleted);
  EXPECT_EQ(parse_events({{"ledger", 1}})->rows.size(), 0u);
}

}  // namespace
}  // namespace rookdyke::wire
