// Two real controllers with their real servers and clients on loopback, against a state service, a
// cloud and a worker written here. What is checked does not depend on timing: every wait has a
// deadline far beyond what it takes.

#include "loopback.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <httplib.h>
#include <spdlog/sinks/ringbuffer_sink.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <condition_variable>
#include <fstream>
#include <map>
#include <mutex>
#include <thread>

#include "cloud/client.h"
#include "mesh/mesh.h"

namespace rookdyke {
namespace {

using namespace test;
using nlohmann::json;

TEST_F(Loopback, AJobRunsAndEveryControllerSaysSo) {
  ASSERT_TRUE(somebody_leads());
  EXPECT_EQ(submit(a(), job("wk-000001", 5)), 201);
  EXPECT_EQ(submit(b(), job("wk-000001", 5)), 200);
  EXPECT_TRUE(until([&] { return standing(b(), "wk-000001") == "done"; }));
  EXPECT_EQ(standing(a(), "wk-000001"), "done");
  EXPECT_EQ(submit(a(), job("wk-000001", 5)), 200);
  json never = job("wk-000001", 5);
  never["crew"] = "nobody";
  EXPECT_EQ(submit(b(), never), 200);  // known: whatever the body says now
  const std::string none;
  const auto [status, cancelled] = ask(b(), "/v2/runs/wk-000001/abort", &none);
  EXPECT_EQ(status, 200);
  EXPECT_EQ(cancelled.at("standing"), "done");
  EXPECT_EQ(standing(a(), "wk-000077"), "404");
  EXPECT_GE(cloud.rented(), 1u);
}

TEST_F(Loopback, WhatCannotBeTakenIsRefused) {
  ASSERT_TRUE(somebody_leads());
  json j = job("wk-000002", 1);
  j["crew"] = "nobody";
  EXPECT_EQ(submit(a(), j), 422);
  j = job("wk-000002", 1);
  j["cpus"] = 3.0;  // over the team's limit
  EXPECT_EQ(submit(b(), j), 422);
  j = job("wk-000002", 1);
  j["mem_gb"] = 9.0;
  EXPECT_EQ(submit(b(), j), 422);
  j = job("wk-000002", 1);
  j["yard"] = "nowhere";
  EXPECT_EQ(submit(a(), j), 422);
  j = job("wk-000002", 2);
  j["shape"] = "ensemble";
  j["scatter"] = true;  // in a single zone
  EXPECT_EQ(submit(b(), j), 422);
  j["shifts"] = 0;
  EXPECT_EQ(submit(a(), j), 400);
  j = job("wk-000002", 1);
  j["kit"] = "\xff";
  EXPECT_EQ(submit(a(), j), 400);
  const std::string noise(100, '\xff'), long_body(70000, 'x');
  EXPECT_EQ(ask(a(), "/v2/runs", &noise).first, 400);
  EXPECT_EQ(ask(a(), "/v2/runs", &long_body).first, 400);
  EXPECT_EQ(ask(a(), "/nowhere").first, 404);
  EXPECT_EQ(ask(a(), "/v2/runs/" + std::string(5000, '(')).first, 404);
  EXPECT_EQ(ask(a(), "/healthz").first, 200);
}

TEST_F(Loopback, ACancelledJobStaysCancelled) {
  ASSERT_TRUE(somebody_leads());
  json j = job("wk-000003", 2000);  // far more than can be done before the abort
  EXPECT_EQ(submit(a(), j), 201);
  const std::string none;
  // Its user is told at the first try, also by a controller that does not lead.
  const auto [status, body] = ask(follower(), "/v2/runs/wk-000003/abort", &none);
  ASSERT_EQ(status, 200);
  EXPECT_EQ(body.at("standing"), "aborted");
  EXPECT_EQ(standing(leader(), "wk-000003"), "aborted");
  EXPECT_EQ(submit(a(), j), 200);
  EXPECT_EQ(ask(a(), "/v2/runs/wk-000088/abort", &none).first, 404);
}

// The leader cannot be notified of a cancellation: nobody says "aborted" before it is known to have
// read so far; then everybody does.
TEST_F(LoopbackApart, ACancellationIsToldOnceTheLeaderHasReadIt) {
  ASSERT_TRUE(somebody_leads());
  EXPECT_EQ(submit(a(), job("wk-000003", 2000)), 201);
  const std::string none;
  EXPECT_TRUE(until([&] {
    const auto [status, body] = ask(follower(), "/v2/runs/wk-000003/abort", &none);
    EXPECT_TRUE(status == 200 || status == 503) << status;
    return status == 200 && body.at("standing") == "aborted";
  }));
  const auto* row = state.row(ledger::kReadToKey);
  ASSERT_TRUE(row);
  EXPECT_GE(row->value.get<uint64_t>(), state.row(ledger::job_key("wk-000003"))->version);
  EXPECT_EQ(standing(a(), "wk-000003"), "aborted");
  EXPECT_EQ(standing(b(), "wk-000003"), "aborted");
}

TEST_F(Loopback, DuringAnOutageNothingIsPromised) {
  ASSERT_TRUE(somebody_leads());
  EXPECT_EQ(submit(a(), job("wk-000004", 1)), 201);
  state.set_outage(true);
  EXPECT_TRUE(until([&] {
    const std::string body = wire::pack(job("wk-000005", 1));
    return ask(a(), "/v2/runs", &body).first == 503;
  }));
  EXPECT_EQ(standing(b(), "wk-000099"), "503");  // not even that there is no such job
  state.set_outage(false);
  EXPECT_TRUE(until([&] { return standing(b(), "wk-000004") == "done"; }));
}

// What cannot be taken is answered at once, with Retry-After, and without asking a state service
// that is known to refuse: nothing is held back until its user would give up.
TEST_F(Loopback, WhatIsKnownToFailIsRefusedAtOnce) {
  ASSERT_TRUE(somebody_leads());
  Controller& follower = this->follower();
  EXPECT_EQ(submit(follower, job("wk-000011", 2000)), 201);
  state.set_outage(true);
  const auto refused = [&](const char* path, const std::string* body) {
    httplib::Client c("127.0.0.1", follower.port());
    const auto r = body ? c.Post(path, *body, "application/msgpack") : c.Get(path);
    return r && r->status == 503 && std::stoi(r->get_header_value("Retry-After")) >= 1;
  };
  const std::string body = wire::pack(job("wk-000012", 1)), none;
  // Once it is known, no submission reaches the state service any more.
  EXPECT_TRUE(until([&] {
    const size_t before = state.transactions();
    for (int i = 0; i < 5; ++i)
      if (!refused("/v2/runs", &body)) return false;
    return state.transactions() == before;
  }));
  EXPECT_TRUE(refused("/v2/runs/wk-000011", nullptr));
  EXPECT_TRUE(refused("/v2/runs/wk-000011/abort", &none));
  state.set_outage(false);
  EXPECT_EQ(submit(follower, job("wk-000012", 1)), 201);
}

// A watch answers with all changes since, whatever their size: after a long cut they are more than
// a controller has memory for. It reads the rows as they are instead.
TEST_F(Loopback, FarBehindTheLedgerIsReadAnew) {
  ASSERT_TRUE(somebody_leads());
  EXPECT_EQ(submit(a(), job("wk-000021", 3)), 201);
  EXPECT_TRUE(until([&] { return standing(b(), "wk-000021") == "done"; }));
  state.set_outage(true);
  state.change_much(5000);
  std::this_thread::sleep_for(std::chrono::seconds(4));  // longer than a short trouble
  state.set_outage(false);
  EXPECT_EQ(submit(a(), job("wk-000022", 3)), 201);
  EXPECT_TRUE(until([&] { return standing(b(), "wk-000022") == "done"; }));
  EXPECT_EQ(standing(b(), "wk-000021"), "done");
  EXPECT_EQ(standing(a(), "wk-000023"), "404");
  EXPECT_LT(state.longest_watch(), 1000u);
}

// However many poll at once, one read of the ledger answers all that wait for it: the state service
// is asked as often as its budget allows, and no more often for more polls.
TEST(Polls, ThoseThatWaitTogetherShareAReadOfTheLedger) {
  constexpr size_t kUsers = 32, kPolls = 10;
  StateService state;
  CloudAndWorkers cloud;
  Config c = config("n-a", state.port(), cloud.port());
  c.nodes = 1;
  c.state_rps = 20;  // some five reads a second
  Controller controller(c);
  ASSERT_TRUE(controller.start());
  cloud.use({{"n-a", controller.port()}});
  ASSERT_TRUE(until([&] { return controller.role() == Role::leading; }));
  std::atomic<size_t> answered{0};
  const size_t before = state.watches();
  std::vector<std::thread> users;
  for (size_t i = 0; i < kUsers; ++i)
    users.emplace_back([&] {
      httplib::Client http("127.0.0.1", controller.port());
      http.set_read_timeout(10, 0);
      for (size_t k = 0; k < kPolls; ++k) {
        // That there is no such job is said only after a read of the ledger.
        const auto r = http.Get("/v2/runs/wk-000099");
        EXPECT_TRUE(r && (r->status == 404 || r->status == 503));
        if (r && r->status == 404) ++answered;
      }
    });
  for (std::thread& t : users) t.join();
  const size_t looks = state.watches() - before;
  EXPECT_GE(answered, kUsers * kPolls / 2);
  EXPECT_GE(answered, 4 * looks);
}

// Limits that cannot carry the fleet: one clear warning, and the service goes on.
TEST(Limits, TooFewSocketsAreWarnedOfOnce) {
  const auto ring = std::make_shared<spdlog::sinks::ringbuffer_sink_mt>(2000);
  const auto before = spdlog::default_logger();
  const auto logger = std::make_shared<spdlog::logger>("limits", ring);
  logger->set_level(spdlog::level::warn);
  spdlog::set_default_logger(logger);
  const auto warnings = [&] {
    size_t n = 0;
    for (const std::string& line : ring->last_formatted())
      n += line.find("max_sockets leaves 3 connections") != std::string::npos;
    return n;
  };
  {
    StateService state;
    CloudAndWorkers cloud;
    Config c = config("n-a", state.port(), cloud.port());
    c.nodes = 1;
    c.scheduler.teams = {{"t", 0, 0, 0, 0}};
    c.max_sockets = 6;
    Controller controller(c);
    ASSERT_TRUE(controller.start());
    cloud.use({{"n-a", controller.port()}});
    const std::string body = wire::pack(job("wk-000031", 4000));  // far more than four machines
    EXPECT_TRUE(until([&] {
      httplib::Client http("127.0.0.1", controller.port());
      const auto r = http.Post("/v2/runs", body, "application/msgpack");
      return r && (r->status == 201 || r->status == 200);
    }));
    EXPECT_TRUE(until([&] { return warnings() > 0; }));
    EXPECT_TRUE(until([&] {
      httplib::Client http("127.0.0.1", controller.port());
      const auto r = http.Get("/v2/runs/wk-000031");
      return r && r->status == 200 && body_of(r->body).at("done").get<int>() > 0;
    }));
  }
  EXPECT_EQ(warnings(), 1u);
  spdlog::set_default_logger(before);
}

// A thousand workers keep their connections open; only requests being served take a thread.
TEST(Server, IdleConnectionsTakeNoThreads) {
  const auto threads = [] {
    std::ifstream in("/proc/self/status");
    for (std::string line; std::getline(in, line);)
      if (line.rfind("Threads:", 0) == 0) return std::stoi(line.substr(8));
    return 0;
  };
  net::Server server({"127.0.0.1", 0}, 500, 8, 65536,
                     [&](const httplib::Request& q, httplib::Response& r) {
                       r.set_content(q.target + q.body, "text/plain");
                     });
  ASSERT_TRUE(server.start());
  const int before = threads();
  {
    std::vector<std::unique_ptr<httplib::Client>> clients;
    for (int round = 0; round < 3; ++round)
      for (size_t i = 0; i < 200; ++i) {
        if (round == 0) {
          clients.push_back(std::make_unique<httplib::Client>("127.0.0.1", server.port()));
          clients.back()->set_keep_alive(true);
          clients.back()->set_tcp_nodelay(true);
        }
        const auto r = clients[i]->Post("/x", std::to_string(i), "text/plain");
        ASSERT_TRUE(r);
        EXPECT_EQ(r->body, "/x" + std::to_string(i));
      }
    EXPECT_LE(threads(), before + 8);
  }
  server.halt();
}

int raw_connection(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<uint16_t>(port));
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  EXPECT_EQ(::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
  return fd;
}

void raw_send(int fd, const std::string& path) {
  const std::string get = "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
  EXPECT_EQ(::send(fd, get.data(), get.size(), MSG_NOSIGNAL), static_cast<ssize_t>(get.size()));
}

// The first line of the answer; empty: the connection was closed.
std::string raw_answer(int fd) {
  std::array<char, 4096> in{};
  const ssize_t n = ::recv(fd, in.data(), in.size(), 0);
  const std::string all(in.data(), n > 0 ? static_cast<size_t>(n) : 0);
  return all.substr(0, all.find('\r'));
}

// When connections run short, the one that has been idle for longest goes; new ones are served.
TEST(Server, TheLongestIdleConnectionMakesWay) {
  net::Server server({"127.0.0.1", 0}, 3, 4, 65536,
                     [](const httplib::Request&, httplib::Response& r) { r.status = 200; });
  ASSERT_TRUE(server.start());
  std::vector<int> fds;
  for (int i = 0; i < 4; ++i) {
    fds.push_back(raw_connection(server.port()));
    raw_send(fds.back(), "/x");
    EXPECT_EQ(raw_answer(fds.back()), "HTTP/1.1 200 OK") << i;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));  // until it is known to be idle
  }
  EXPECT_EQ(raw_answer(fds[0]), "");  // closed to make way for the fourth
  for (size_t i = 1; i < 4; ++i) {
    raw_send(fds[i], "/x");
    EXPECT_EQ(raw_answer(fds[i]), "HTTP/1.1 200 OK") << i;
  }
  for (int fd : fds) ::close(fd);
  server.halt();
}

// A request that waited for long, and whose sender has left, is not carried out: it may be as old
// as the suspension of the process, and its sender has asked another controller since.
TEST(Server, WhoHasLeftIsNotServed) {
  std::mutex mutex;
  std::condition_variable changed;
  bool go = false;
  std::vector<std::string> served;
  net::Server server({"127.0.0.1", 0}, 10, 1, 65536,
                     [&](const httplib::Request& q, httplib::Response& r) {
                       std::unique_lock lock(mutex);
                       served.push_back(q.target);
                       changed.notify_all();
                       changed.wait(lock, [&] { return go; });
                       r.status = 200;
                     });
  ASSERT_TRUE(server.start());
  const int busy = raw_connection(server.port());
  raw_send(busy, "/busy");
  {
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] { return !served.empty(); });  // the only thread is taken
  }
  const int leaves = raw_connection(server.port()), waits = raw_connection(server.port());
  raw_send(leaves, "/leaves");
  ::close(leaves);
  raw_send(waits, "/waits");
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  {
    std::lock_guard lock(mutex);
    go = true;
    changed.notify_all();
  }
  EXPECT_EQ(raw_answer(busy), "HTTP/1.1 200 OK");
  EXPECT_EQ(raw_answer(waits), "HTTP/1.1 200 OK");
  ::close(busy);
  ::close(waits);
  server.halt();
  EXPECT_EQ(served, (std::vector<std::string>{"/busy", "/waits"}));
}

// A controller that is alone in its trouble answers at once and lets the connection go, so that its
// user's next request reaches another.
TEST(Server, AHandlerMayCloseAfterItsAnswer) {
  net::Server server({"127.0.0.1", 0}, 10, 2, 65536,
                     [](const httplib::Request& q, httplib::Response& r) {
                       r.status = q.target == "/close" ? 503 : 200;
                       if (q.target == "/close") net::Server::close_after_response();
                     });
  ASSERT_TRUE(server.start());
  const int fd = raw_connection(server.port());
  raw_send(fd, "/x");
  EXPECT_EQ(raw_answer(fd), "HTTP/1.1 200 OK");
  raw_send(fd, "/close");
  EXPECT_EQ(raw_answer(fd), "HTTP/1.1 503 Service Unavailable");
  EXPECT_EQ(raw_answer(fd), "");
  ::close(fd);
  server.halt();
}

// A rental request or a return is not sent by a controller whose term may be over.
TEST(Cloud, NothingIsSentByOneThatMayLeadNoMore) {
  std::atomic<int> asked{0};
  net::Server server({"127.0.0.1", 0}, 4, 4, 65536,
                     [&](const httplib::Request&, httplib::Response& r) {
                       ++asked;
                       put(r, 200, {{"crofts", {"m-1"}}});
                     });
  ASSERT_TRUE(server.start());
  {
    net::RateLimiter limiter(100);
    cloud::Client client({"127.0.0.1", server.port()}, limiter);
    const RentalRequest request{"h-1", "box", "a", false, 1};
    EXPECT_EQ(client.rent(request, [] { return false; }).outcome, CloudOutcome::refused);
    EXPECT_EQ(client.return_machines({"m-1"}, [] { return false; }), CloudOutcome::refused);
    EXPECT_EQ(asked, 0);
    EXPECT_EQ(client.rent(request, [] { return true; }).machines.size(), 1u);
    EXPECT_EQ(client.return_machines({"m-1"}, [] { return true; }), CloudOutcome::done);
    EXPECT_EQ(asked, 2);
  }
  server.halt();
}

// Errors and marks of other types than text are not believed, nor do they end the caller.
TEST(Cloud, AnswersOfTheWrongShapeAreOutlived) {
  json answer;
  int status = 200;
  net::Server server(
      {"127.0.0.1", 0}, 4, 4, 65536,
      [&](const httplib::Request&, httplib::Response& r) { put(r, status, answer); });
  ASSERT_TRUE(server.start());
  {
    net::RateLimiter limiter(1000);
    cloud::Client client({"127.0.0.1", server.port()}, limiter);
    const RentalRequest request{"h-1", "box", "a", false, 1};
    status = 503;
    answer = {{"error", 3}};
    EXPECT_EQ(client.rent(request, {}).outcome, CloudOutcome::refused);
    status = 200;
    answer = {{"crofts", "m-1"}};
    EXPECT_EQ(client.rent(request, {}).outcome, CloudOutcome::indeterminate);
    answer = {{"crofts", {"m-1", "", 3, std::string(300, 'x')}}};
    EXPECT_EQ(client.rent(request, {}).machines, std::vector<std::string>{"m-1"});
    // A list that says it goes on, and never does, is no list.
    answer = {{"crofts", {{{"id", "m-1"}}}}, {"truncated", true}};
    EXPECT_FALSE(client.list_machines());
  }
  server.halt();
}

TEST(StateClient, AnswersOfTheWrongShapeAreOutlived) {
  net::Server server(
      {"127.0.0.1", 0}, 4, 4, 65536, [&](const httplib::Request& q, httplib::Response& r) {
        if (q.target == "/txn") return put(r, 409, {{"failed", 3}});
        if (q.method == "POST") return put(r, 200, {{"tether", -1}});
        if (q.target.rfind("/keys/", 0) == 0)
          return put(r, 200, {{"k", "a"}, {"v", {{"w", 3}}}, {"stamp", 4}});
        put(r, 200, {{"rows", {{{"k", "a"}, {"stamp", 4}}}}, {"truncated", true}, {"ledger", 4}});
      });
  ASSERT_TRUE(server.start());
  {
    state::RateLimiters limiters(1000, 1000);
    state::Client client({"127.0.0.1", server.port()}, limiters);
    ledger::Transaction t;
    t.changes = {{"a", false, json(1), 0}};
    t.transaction_id = "m";
    EXPECT_EQ(client.commit_resent(t, 1).outcome, ledger::Outcome::conflict);
    EXPECT_FALSE(client.grant(1));
    EXPECT_TRUE(client.range("", "", 1));
    EXPECT_FALSE(client.range("", "a", 1));  // it does not go on: reading would never end
  }
  server.halt();
}

TEST(Mesh, MessagesOfTheWrongShapeAreNotBelieved) {
  mesh::View v;
  v.label = "n1";
  v.leader = "n2";
  v.fencing_token = 9;
  v.state_ok = true;
  v.write_demand = 2.5;
  v.image_locations = {{"images", 1}};
  const json good = mesh::encode(v);
  ASSERT_TRUE(mesh::decode(good.dump()));
  const std::vector<std::pair<const char*, json>> bad = {
      {"token", -1},           {"token", "9"},    {"token", 1e300},      {"token", 2.5},
      {"token", true},         {"label", 3},      {"leader", {1}},       {"state_ok", 1},
      {"writes", "x"},         {"writes", -3},    {"token", UINT64_MAX}, {"read_to", -1},
      {"read_to", UINT64_MAX}, {"incarnation", 3}};
  for (const auto& [k, wrong] : bad) {
    json j = good;
    j[k] = wrong;
    EXPECT_FALSE(mesh::decode(j.dump())) << k << " = " << wrong;
  }
  std::string deep = good.dump();
  deep.pop_back();
  deep += ",\"x\":" + std::string(100'000, '[') + std::string(100'000, ']') + "}";
  EXPECT_FALSE(mesh::decode(deep));
}

// Names that are no UTF-8 are sent in JSON all the same.
TEST(Mesh, NamesThatAreNoTextAreOutlived) {
  net::Server server({"127.0.0.1", 0}, 4, 4, 65536,
                     [&](const httplib::Request&, httplib::Response& r) { r.status = 404; });
  ASSERT_TRUE(server.start());
  {
    mesh::PeerClient peer({"n1", {"127.0.0.1", server.port()}});
    mesh::View ours;
    ours.label = "n0";
    ours.leader = "\xff";
    ours.image_locations = {{"images", {"\xfe"}}};
    EXPECT_NO_THROW(peer.exchange(ours));
  }
  server.halt();
}

// A body without a length, or in chunks, is held to the same limit as any other.
TEST(Server, ABodyInChunksIsLimitedToo) {
  std::atomic<size_t> longest{0};
  net::Server server({"127.0.0.1", 0}, 10, 2, 65536,
                     [&](const httplib::Request& q, httplib::Response& r) {
                       longest = std::max<size_t>(longest, q.body.size());
                       r.status = 200;
                     });
  ASSERT_TRUE(server.start());
  const int fd = raw_connection(server.port());
  const std::string head =
      "POST /x HTTP/1.1\r\nHost: x\r\nContent-Type: a/b\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
  ::send(fd, head.data(), head.size(), MSG_NOSIGNAL);
  for (int i = 0; i < 100; ++i)
    if (::send(fd, chunk.data(), chunk.size(), MSG_NOSIGNAL) < 0) break;
  ::send(fd, "0\r\n\r\n", 5, MSG_NOSIGNAL);
  EXPECT_NE(raw_answer(fd), "HTTP/1.1 200 OK");
  ::close(fd);
  server.halt();
  EXPECT_LE(longest, 65536u);
}

TEST(Mesh, ViewsAreExchanged) {
  mesh::View heard;
  net::Server server({"127.0.0.1", 0}, 4, 4, 65536,
                     [&](const httplib::Request& q, httplib::Response& r) {
                       heard = mesh::decode(q.body).value_or(mesh::View{});
                       mesh::View v;
                       v.label = "n1";
                       v.incarnation = "n1.7";
                       v.leader = "n2";
                       v.fencing_token = 9;
                       v.read_to = 31;
                       v.state_ok = true;
                       v.write_demand = 2.5;
                       v.image_locations = {{"images", 1}};
                       r.set_content(mesh::encode(v).dump(), "application/json");
                     });
  ASSERT_TRUE(server.start());
  {
    mesh::PeerClient peer({"n1", {"127.0.0.1", server.port()}});
    mesh::View ours;
    ours.label = ours.leader = "n0";
    ours.fencing_token = 4;
    const auto v = peer.exchange(ours);
    ASSERT_TRUE(v);
    EXPECT_EQ(v->fencing_token, 9u);
    EXPECT_EQ(v->leader, "n2");
    EXPECT_EQ(v->incarnation, "n1.7");
    EXPECT_EQ(v->read_to, 31u);
    EXPECT_EQ(v->image_locations.at("images"), 1);
  }
  server.halt();
  EXPECT_EQ(heard.fencing_token, 4u);
  EXPECT_FALSE(mesh::decode("{}"));
}

TEST(Mesh, CancellationsAreToldAndAcknowledged) {
  std::optional<mesh::CancellationNotice> heard;
  std::string answer = R"({"token":9})";
  net::Server server({"127.0.0.1", 0}, 4, 4, 65536,
                     [&](const httplib::Request& q, httplib::Response& r) {
                       heard = mesh::decode_cancellation_notice(q.body);
                       r.set_content(answer, "application/json");
                     });
  ASSERT_TRUE(server.start());
  {
    mesh::PeerClient peer({"n1", {"127.0.0.1", server.port()}});
    EXPECT_EQ(peer.send_cancellations({7, {{"wk-000001", {{"standing", 2}}, 12}}}), 9u);
    ASSERT_TRUE(heard);
    EXPECT_EQ(heard->fencing_token, 7u);
    ASSERT_EQ(heard->rows.size(), 1u);
    EXPECT_EQ(heard->rows[0].job, "wk-000001");
    EXPECT_EQ(heard->rows[0].version, 12u);
    for (const char* bad : {"", "[]", "7", R"({"token":"9"})", R"({"token":-1})", "{}"}) {
      answer = bad;
      EXPECT_FALSE(peer.send_cancellations({7, {}})) << bad;
    }
  }
  server.halt();
  EXPECT_FALSE(mesh::decode_cancellation_notice(R"({"token":1,"rows":[["wk-000001"]]})"));
  EXPECT_FALSE(mesh::decode_cancellation_notice(R"({"token":1,"rows":[[1,{},2]]})"));
  EXPECT_FALSE(mesh::decode_cancellation_notice(R"({"rows":[]})"));
}

}  // namespace
}  // namespace rookdyke
