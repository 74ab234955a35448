#include "api/user_api.h"

#include <gtest/gtest.h>

#include <chrono>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "net/steady_clock.h"

namespace rookdyke {
namespace {

using ledger::JobStatus;
using ledger::Outcome;
using nlohmann::json;

constexpr const char* kJob = "wk-000001";
constexpr uint64_t kLeader = 3;  // its token
constexpr uint64_t kVersion = 5;

// A replica's ledger in memory: what a test says that it answers.
class FakeLedger : public JobLedger {
 public:
  bool wait_for_barrier(double) override {
    ++barriers;
    if (barrier_ok && on_barrier) on_barrier();
    return barrier_ok;
  }
  void read(const std::function<void(const LedgerCache&)>& callback) const override {
    callback(ledger_cache);
  }
  std::vector<MachineType> machine_types() const override { return types; }
  std::string new_transaction_id() override { return "mark." + std::to_string(++marks); }
  std::optional<ledger::Result> commit(const ledger::Transaction& transaction, double) override {
    committed.push_back(transaction);
    if (results.empty()) return std::nullopt;
    const auto result = results.front();
    results.pop_front();
    return result;
  }
  void apply_committed(const wire::Row& row) override {
    ledger_cache.put(row.key, row.value, row.version);
  }
  bool may_confirm_cancellation(const std::string& job, double, uint64_t leader) override {
    asked_about.push_back(job);
    leader_at_write = leader;
    return leader_knows;
  }
  bool peers_reach_state_service() const override { return peers_reach_state; }

  void put_job(JobStatus status, uint64_t version = kVersion) {
    ledger::JobRow row;
    row.status = status;
    row.tasks = 4;
    row.chunk_size = 4;
    row.spec = JobSpec{};
    ledger_cache.put(ledger::job_key(kJob), ledger::encode(row), version);
  }
  void set_leader() {
    ledger_cache.put(ledger::kLeaderKey, {{"label", "n-a"}, {"w", "m"}}, kLeader);
  }
  void answer_commits(Outcome outcome, uint64_t revision = 9) {
    ledger::Result result;
    result.outcome = outcome;
    result.revision = revision;
    results.push_back(result);
  }

  LedgerCache ledger_cache;
  std::vector<MachineType> types;
  bool barrier_ok = true, leader_knows = true, peers_reach_state = false;
  std::function<void()> on_barrier;  // what it brings
  std::deque<ledger::Result> results;
  int barriers = 0, marks = 0;
  std::vector<ledger::Transaction> committed;
  std::vector<std::string> asked_about;
  uint64_t leader_at_write = 0;
};

json description() {
  return {{"id", kJob},         {"lot", "l"},      {"crew", "t"},       {"shape", "array"},
          {"rank", "standard"}, {"shifts", 4},     {"cpus", 1.0},       {"gpus", 0.0},
          {"mem_gb", 1.0},      {"kit", "i"},      {"image_gb", 0.0},   {"one_zone", false},
          {"scatter", false},   {"loaners", true}, {"expected_s", 1.0}, {"marker_s", 0.0},
          {"stow_s", 0.0}};
}

class UserApiTest : public testing::Test {
 protected:
  UserApiTest() : api(settings, ledger) {
    settings.zones = {"a"};
    settings.teams = {{"t", 0, 2, 0, 0}};
    MachineType box;
    box.name = "box";
    box.size = {4, 0, 8};
    ledger.types = {box};
  }
  httplib::Response ask(const std::string& method, const std::string& target,
                        const std::string& body = "") {
    httplib::Request request;
    request.method = method;
    request.target = target;
    request.body = body;
    httplib::Response response;
    api.serve(request, response);
    return response;
  }
  httplib::Response submit(const json& body = description()) {
    return ask("POST", "/v2/runs", wire::pack(body));
  }
  httplib::Response poll() { return ask("GET", std::string("/v2/runs/") + kJob); }
  httplib::Response abort() { return ask("POST", std::string("/v2/runs/") + kJob + "/abort"); }
  static std::string status(const httplib::Response& response) {
    return wire::unpack(response.body).value_or(json()).value("standing", "");
  }
  // 503 says when to come back.
  static void expect_refusal(const httplib::Response& response, bool closes) {
    EXPECT_EQ(response.status, 503);
    const int after = std::stoi("0" + response.get_header_value("Retry-After"));
    EXPECT_GE(after, 1);
    EXPECT_LE(after, 3);
    EXPECT_EQ(response.get_header_value("Connection") == "close", closes);
  }

  Settings settings;
  FakeLedger ledger;
  UserApi api;
};

TEST_F(UserApiTest, OnlyTheUsersPathsAreServed) {
  EXPECT_EQ(ask("GET", "/nowhere").status, 404);
  EXPECT_EQ(ask("GET", "/v2/runs").status, 404);
  EXPECT_EQ(ask("POST", "/v2/runs/wk-000001").status, 404);
  EXPECT_EQ(ask("POST", "/v2/runs/%%/abort").status, 404);
  EXPECT_EQ(ask("GET", "/v2/runs/" + std::string(5000, '(')).status, 404);
  EXPECT_EQ(ledger.barriers, 0);
}

// ---------------------------------------------------------------- submissions

TEST_F(UserApiTest, ASubmissionIsAcceptedOnceItIsCreated) {
  ledger.answer_commits(Outcome::applied);
  const auto response = submit();
  EXPECT_EQ(response.status, 201);
  EXPECT_EQ(status(response), "pending");
  ASSERT_EQ(ledger.committed.size(), 1u);
  const ledger::Transaction& t = ledger.committed[0];
  ASSERT_EQ(t.conditions.size(), 1u);  // create if absent
  EXPECT_EQ(t.conditions[0].key, ledger::job_key(kJob));
  EXPECT_EQ(t.conditions[0].version, 0u);
  ASSERT_EQ(t.changes.size(), 1u);
  EXPECT_EQ(t.changes[0].value.at("w"), t.transaction_id);
  ASSERT_TRUE(ledger.ledger_cache.job(kJob));  // seen by the next request at once
  EXPECT_EQ(ledger.ledger_cache.job(kJob)->version, 9u);
  EXPECT_EQ(ledger.barriers, 0);
}

TEST_F(UserApiTest, AKnownJobIsAnsweredWhateverTheBodySays) {
  ledger.put_job(JobStatus::open);
  json other = description();
  other["crew"] = "nobody";
  EXPECT_EQ(submit(other).status, 200);
  EXPECT_EQ(ledger.barriers, 1);
  ledger.put_job(JobStatus::done, kVersion + 1);
  other["shifts"] = 0;
  EXPECT_EQ(submit(other).status, 200);
  EXPECT_EQ(ledger.barriers, 1);  // final: no newer answer can exist
  EXPECT_TRUE(ledger.committed.empty());
}

TEST_F(UserApiTest, NothingIsFinallyRefusedBeforeABarrier) {
  json malformed = description(), impossible = description();
  malformed["shifts"] = 0;
  impossible["crew"] = "nobody";
  EXPECT_EQ(submit(malformed).status, 400);
  EXPECT_EQ(submit(impossible).status, 422);
  EXPECT_EQ(ledger.barriers, 2);
  ledger.barrier_ok = false;
  expect_refusal(submit(malformed), false);
  expect_refusal(submit(impossible), false);
  // Another replica accepted it meanwhile.
  ledger.barrier_ok = true;
  ledger.on_barrier = [this] { ledger.put_job(JobStatus::open); };
  EXPECT_EQ(submit(malformed).status, 200);
  EXPECT_TRUE(ledger.committed.empty());
}

TEST_F(UserApiTest, AnImpossibleJobThatAnotherReplicaAcceptedIsKnown) {
  json impossible = description();
  impossible["crew"] = "nobody";
  ledger.on_barrier = [this] { ledger.put_job(JobStatus::open); };
  EXPECT_EQ(submit(impossible).status, 200);
}

TEST_F(UserApiTest, ADescriptionThatDoesNotFitARowIsRefused) {
  settings.value_bytes = 64;
  EXPECT_EQ(submit().status, 400);
  EXPECT_EQ(ledger.barriers, 1);
  EXPECT_TRUE(ledger.committed.empty());
}

// The state service has lowered its limits since; a shorter one would be taken.
TEST_F(UserApiTest, ADescriptionThatDoesNotFitTheLoweredLimitsIsRefused) {
  settings.next_limits.emplace();
  settings.next_limits->value_bytes = 64;
  ledger.answer_commits(Outcome::rejected);
  EXPECT_EQ(submit().status, 400);
  settings.next_limits->value_bytes = 4096;
  ledger.answer_commits(Outcome::rejected);
  expect_refusal(submit(), false);
}

TEST_F(UserApiTest, AServiceIsAcceptedIfAllItsReplicasFitTheTeamsLimit) {
  settings.next_limits.emplace();
  settings.next_limits->value_bytes = 2048;
  json service = description();
  service["shape"] = "service";
  service["expected_s"] = 0.0;
  EXPECT_EQ(submit(service).status, 422) << "four replicas of one CPU, for a team that may use two";
  service["shifts"] = 2;
  ledger.answer_commits(Outcome::applied);
  EXPECT_EQ(submit(service).status, 201);
  const auto row = ledger::decode_job(kJob, ledger.committed.back().changes.at(0).value);
  ASSERT_TRUE(row && row->spec);
  EXPECT_EQ(row->spec->shape, JobShape::service);
  EXPECT_EQ(row->chunk_size, ledger::tasks_per_chunk(2048));
  service.erase("expected_s");
  service["id"] = "wk-000002";
  EXPECT_EQ(submit(service).status, 400);
}

// It is there, but nobody can say how it stands.
TEST_F(UserApiTest, AJobWhoseRowCannotBeReadIsNeitherUnknownNorAnswered) {
  ledger.ledger_cache.put(ledger::job_key(kJob), "noise", kVersion);
  expect_refusal(poll(), false);
  expect_refusal(abort(), false);
  ledger.answer_commits(Outcome::conflict);
  expect_refusal(submit(), false);
  ledger.put_job(JobStatus::open, kVersion + 1);
  EXPECT_EQ(poll().status, 200);
}

TEST_F(UserApiTest, WithoutMachineTypesNothingIsDecided) {
  ledger.types.clear();
  expect_refusal(submit(), false);
  EXPECT_TRUE(ledger.committed.empty());
}

TEST_F(UserApiTest, ASubmissionWithoutAnOutcomeIsNotAccepted) {
  expect_refusal(submit(), false);  // none in time
  ledger.answer_commits(Outcome::not_executed);
  expect_refusal(submit(), false);
  EXPECT_FALSE(ledger.ledger_cache.job(kJob));
}

TEST_F(UserApiTest, ACopyOfASubmissionThatCameFirstAnswersIt) {
  ledger.answer_commits(Outcome::conflict);
  ledger.on_barrier = [this] { ledger.put_job(JobStatus::open); };
  EXPECT_EQ(submit().status, 200);
  // The barrier shows none: nothing is known, so nothing is said.
  ledger.ledger_cache = LedgerCache();
  ledger.on_barrier = nullptr;
  ledger.answer_commits(Outcome::conflict);
  expect_refusal(submit(), false);
}

// ---------------------------------------------------------------- polls

TEST_F(UserApiTest, APollIsAnsweredAfterABarrierOnly) {
  EXPECT_EQ(poll().status, 404);
  ledger.put_job(JobStatus::open);
  EXPECT_EQ(poll().status, 200);
  EXPECT_EQ(ledger.barriers, 2);
  ledger.barrier_ok = false;
  expect_refusal(poll(), false);
  ledger.ledger_cache = LedgerCache();
  expect_refusal(poll(), false);  // not even that there is no such job
}

TEST_F(UserApiTest, AFinalStateNeedsNoBarrier) {
  ledger.put_job(JobStatus::done);
  ledger.barrier_ok = false;
  EXPECT_EQ(status(poll()), "done");
  EXPECT_EQ(ledger.barriers, 0);
}

TEST_F(UserApiTest, APollThatTookTooLongIsNotAnswered) {
  ledger.put_job(JobStatus::open);
  ledger.on_barrier = [] { std::this_thread::sleep_for(std::chrono::milliseconds(2100)); };
  expect_refusal(poll(), false);
}

TEST_F(UserApiTest, NobodyHearsOfACancellationThatTheLeaderMayNotKnow) {
  ledger.put_job(JobStatus::cancelled);
  ledger.leader_knows = false;
  expect_refusal(poll(), true);
  expect_refusal(submit(), true);
  expect_refusal(abort(), true);
  EXPECT_EQ(ledger.asked_about.size(), 3u);
  ledger.leader_knows = true;
  EXPECT_EQ(status(poll()), "aborted");
  EXPECT_EQ(status(submit()), "aborted");
  EXPECT_EQ(status(abort()), "aborted");
  EXPECT_TRUE(ledger.committed.empty());
}

// ---------------------------------------------------------------- cancellations

TEST_F(UserApiTest, ACancellationIsWrittenOnConditionOfTheJobAndTheLeader) {
  ledger.put_job(JobStatus::open);
  ledger.set_leader();
  ledger.answer_commits(Outcome::applied);
  EXPECT_EQ(status(abort()), "aborted");
  ASSERT_EQ(ledger.committed.size(), 1u);
  const auto& conditions = ledger.committed[0].conditions;
  ASSERT_EQ(conditions.size(), 2u);
  EXPECT_EQ(conditions[0].key, ledger::job_key(kJob));
  EXPECT_EQ(conditions[0].version, kVersion);
  EXPECT_EQ(conditions[1].key, ledger::kLeaderKey);
  EXPECT_EQ(conditions[1].version, kLeader);
  EXPECT_EQ(ledger.leader_at_write, kLeader);
  EXPECT_EQ(ledger.ledger_cache.job(kJob)->row.status, JobStatus::cancelled);
  EXPECT_TRUE(
      ledger.ledger_cache.job(kJob)->row.spec);  // it counts for limits until its tasks are gone
}

TEST_F(UserApiTest, WhileNobodyLeadsACancellationIsWrittenAndNotTold) {
  ledger.put_job(JobStatus::open);
  ledger.leader_knows = false;
  ledger.answer_commits(Outcome::applied);
  expect_refusal(abort(), true);
  ASSERT_EQ(ledger.committed.size(), 1u);
  EXPECT_EQ(ledger.committed[0].conditions.size(), 1u);
  EXPECT_EQ(ledger.leader_at_write, 0u);
}

TEST_F(UserApiTest, ACancellationThatMeetsAnotherChangeLooksAgain) {
  ledger.put_job(JobStatus::open);
  ledger.answer_commits(Outcome::conflict);
  ledger.on_barrier = [this] {
    if (ledger.barriers == 2) ledger.put_job(JobStatus::done, kVersion + 1);
  };
  EXPECT_EQ(status(abort()), "done");  // it ended first: that stays
  EXPECT_EQ(ledger.committed.size(), 1u);
  EXPECT_EQ(ledger.barriers, 2);
}

TEST_F(UserApiTest, ACancellationWithoutABarrierOrAnOutcomeIsNotTold) {
  EXPECT_EQ(abort().status, 404);
  ledger.put_job(JobStatus::open);
  expect_refusal(abort(), false);
  ledger.answer_commits(Outcome::not_executed);
  expect_refusal(abort(), false);
  ledger.barrier_ok = false;
  expect_refusal(abort(), false);
  EXPECT_EQ(ledger.ledger_cache.job(kJob)->row.status, JobStatus::open);
  EXPECT_TRUE(ledger.asked_about.empty());
}

// ---------------------------------------------------------------- refusals

TEST_F(UserApiTest, AReplicaAloneInItsTroubleLetsTheConnectionGo) {
  ledger.barrier_ok = false;
  expect_refusal(poll(), false);
  ledger.peers_reach_state = true;
  expect_refusal(poll(), true);
}

TEST_F(UserApiTest, RefusalsSpreadTheReturns) {
  ledger.barrier_ok = false;
  std::set<std::string> after;
  for (int i = 0; i < 3; ++i) after.insert(poll().get_header_value("Retry-After"));
  EXPECT_EQ(after, (std::set<std::string>{"1", "2", "3"}));
}

}  // namespace
}  // namespace rookdyke
