// When a controller becomes the leader, and when an unconfirmed leader leaves its workers: real
// controllers over HTTP, against a state service, a cloud and a peer controller written here. Every
// wait is for a condition, with a deadline far beyond what it takes.

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "loopback.h"
#include "mesh/mesh.h"

namespace rookdyke {
namespace {

using namespace test;
using nlohmann::json;
using Fate = StateService::Fate;

const ledger::Change* leader_write(const ledger::Transaction& t) {
  for (const ledger::Change& c : t.changes)
    if (c.key == ledger::kLeaderKey && !c.erase) return &c;
  return nullptr;
}

// One controller without peer controllers.
class Election : public testing::Test {
 protected:
  std::unique_ptr<Controller> started() {
    Config c = config("n-a", state.port(), cloud.port());
    c.nodes = 1;
    auto controller = std::make_unique<Controller>(c);
    if (!controller->start()) throw std::runtime_error("no port");
    return controller;
  }
  void TearDown() override { cloud.use({{"n-a", 1}}); }  // its threads end without a controller

  StateService state;
  CloudAndWorkers cloud;
};

// The leader key was written, and no answer came: the next try meets the key. It is taken for our
// own because it bears our mark; nobody would lead otherwise while no first answer arrives.
TEST_F(Election, AKeyThatBearsOurMarkIsOurs) {
  std::set<std::string> marks;
  state.decide([&](const ledger::Transaction& t) {
    const ledger::Change* c = leader_write(t);
    const bool first = c && marks.insert(c->value.at("w").get<std::string>()).second;
    return Fate{true, !first};
  });
  const auto controller = started();
  EXPECT_TRUE(until([&] { return controller->role() == Role::leading; }));
  state.decide({});
}

// A process ends while its write of the leader key is held up, and its successor with the same
// label asks for the key as well. The late write is carried out first, and the successor gets no
// answer to its own: the key that it then finds is not its own, and hangs on a lease that nobody
// renews. Taken for its own, the next leader would be elected beside it.
TEST_F(Election, APredecessorsLateWriteOfTheKeyIsNotOurs) {
  std::mutex mutex;
  std::optional<ledger::Transaction> held;
  state.take_leases_back(false);
  state.decide([&](const ledger::Transaction& t) {
    if (!leader_write(t)) return Fate{};
    std::lock_guard lock(mutex);
    if (!held) held = t;
    return Fate{false, false};
  });
  {
    const auto predecessor = started();
    EXPECT_TRUE(until([&] {
      std::lock_guard lock(mutex);
      return held.has_value();
    }));
  }
  ASSERT_TRUE(held);
  const size_t before = state.leases_given_back();
  state.take_leases_back(true);
  std::atomic<bool> late = false;
  state.decide([&](const ledger::Transaction& t) {
    if (!leader_write(t) || late.exchange(true)) return Fate{};
    return Fate{true, false, {*held}};
  });
  const auto controller = started();
  // It gives the lease back that it asked for the key with.
  EXPECT_TRUE(until(
      [&] { return state.leases_given_back() > before || controller->role() == Role::leading; }));
  EXPECT_NE(controller->role(), Role::leading);
  const auto* row = state.row(ledger::kLeaderKey);
  ASSERT_TRUE(row);
  const json predecessors = leader_write(*held)->value;
  EXPECT_EQ(row->value, predecessors);
  // The key goes with its lease; then the successor is elected.
  state.end_lease(leader_write(*held)->lease);
  EXPECT_TRUE(until([&] { return controller->role() == Role::leading; }));
  row = state.row(ledger::kLeaderKey);
  ASSERT_TRUE(row);
  EXPECT_NE(row->value, predecessors);
  EXPECT_EQ(row->value.at("label"), predecessors.at("label"));
  state.decide({});
}

// A peer controller that answers, or does not.
class PeerStandIn {
 public:
  PeerStandIn()
      : server_({"127.0.0.1", 0}, 8, 8, 1 << 20,
                [this](const httplib::Request&, httplib::Response& r) {
                  if (!answers) {
                    r.status = 503;
                    return;
                  }
                  mesh::View v;
                  v.label = "n-b";
                  v.incarnation = "n-b.1";
                  r.set_content(mesh::serialize(v), "application/json");
                }) {
    EXPECT_TRUE(server_.start());
  }
  ~PeerStandIn() { server_.halt(); }
  int port() const { return server_.port(); }
  std::atomic<bool> answers = true;

 private:
  net::Server server_;
};

// A leader that hears neither the state service nor a peer controller is likelier partitioned than
// in an outage. Answered 200 all the same, its workers would stay with it, out of reach of the
// leader that the others elect, for as long as it is unconfirmed.
TEST(UnconfirmedLeader, ALeaderThatHearsNobodyLeavesItsWorkers) {
  StateService state;
  CloudAndWorkers cloud;
  PeerStandIn peer;
  Config c = config("n-a", state.port(), cloud.port());
  c.scheduler.lease_s = 20;
  c.scheduler.cancel_s = 600;  // what may have been cancelled unheard is no reason here
  c.peers = {{"n-b", {"127.0.0.1", peer.port()}}};
  Controller controller(c);
  ASSERT_TRUE(controller.start());
  cloud.use({{"n-a", controller.port()}});
  ASSERT_TRUE(until([&] { return controller.role() == Role::leading; }));
  uint64_t tally = 0;
  // The status that a worker is answered with, and what is said with it.
  const auto report = [&] {
    httplib::Client http("127.0.0.1", controller.port());
    http.set_read_timeout(10, 0);
    const auto r = http.Post("/hello",
                             wire::pack({{"croft", "m-000099"},
                                         {"addr", ""},
                                         {"breed", "box"},
                                         {"yard", "a"},
                                         {"loaners", false},
                                         {"tenure", 1},
                                         {"tally", ++tally},
                                         {"warrant", 0},
                                         {"shifts", json::array()}}),
                             "application/msgpack");
    if (!r) return std::make_pair(0, std::string());
    const json body = body_of(r->body);
    return std::make_pair(r->status,
                          body.is_object() ? body.value("error", std::string()) : std::string());
  };
  ASSERT_TRUE(until([&] { return report().first == 200; }));
  state.set_outage(true);
  ASSERT_TRUE(until([&] { return controller.role() == Role::unconfirmed; }));
  // An outage that a peer controller lives through with it: its workers keep their work, also when
  // the state service has been away for longer than a lone leader waits.
  const auto longer = std::chrono::steady_clock::now() + std::chrono::seconds(7);
  EXPECT_TRUE(until([&] {
    const auto [status, why] = report();
    EXPECT_NE(why, "cut off");
    return status == 200 && std::chrono::steady_clock::now() > longer;
  }));
  peer.answers = false;
  EXPECT_TRUE(until([&] { return report() == std::make_pair(503, std::string("cut off")); }));
  EXPECT_EQ(controller.role(), Role::unconfirmed);
  peer.answers = true;  // heard again: an outage that both are in
  EXPECT_TRUE(until([&] { return report().first == 200; }));
}

}  // namespace
}  // namespace rookdyke
