#include "simulation/worker.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "simulation/world.h"

namespace rookdyke::test {

namespace {
constexpr double kLeaseCheckInterval = 0.5;    // seconds
constexpr double kLeastHeartbeatGap = 0.5;     // seconds
constexpr double kHeartbeatPatience = 4;       // seconds that a worker waits for an answer
constexpr double kRetryInterval = 1;           // seconds until the next controller is tried
constexpr double kAfterNewEpoch = 0.1;         // seconds until the first heartbeat of an epoch
constexpr double kLongestRedirectDelay = 0.5;  // seconds
constexpr int kAccepted = 200, kMisdirected = 421;
}  // namespace

Worker::Worker(World& world, std::string n, MachineType t, std::string z, bool s)
    : rented_at(world.clock.now),
      name(std::move(n)),
      zone(std::move(z)),
      type(std::move(t)),
      spot(s),
      world_(world) {}

// ---- the machine

void Worker::boot() {
  if (terminated) return;
  up = true;
  lease_from_ = world_.clock.now;
  controller_ = world_.random() % world_.controllers.size();
  heartbeat_in(kSoon);
  world_.clock.after(kLeaseCheckInterval, [this] { check_lease(); });
}

void Worker::hang(double s) {
  hung = true;
  world_.clock.after(s, [this] {
    hung = false;
    if (is_lease_over()) end_epoch();
    in_flight_ = false;
    for (const ReceivedCommands& received : received_while_hung_) execute_direct(received);
    received_while_hung_.clear();
    heartbeat_in(kSoon);
  });
}

void Worker::restart(double s, bool forgets_token) {
  end_epoch();
  if (forgets_token) fencing_token_ = 0;
  hang(s);
}

void Worker::vanish() {
  if (terminated) return;
  leave_all();
  terminated = true;
}

void Worker::notice(double s) {
  recall_at_ = world_.clock.now + s;
  on_change();
  world_.clock.after(s, [this] { vanish(); });
}

// ---- the lease

bool Worker::is_lease_over() const {
  return world_.clock.now - lease_from_ > world_.settings.lease_s;
}

void Worker::check_lease() {
  if (terminated) return;
  if (!hung && is_lease_over()) end_epoch();
  world_.clock.after(kLeaseCheckInterval, [this] { check_lease(); });
}

void Worker::end_epoch() {
  leave_all();
  ++epoch_;
  lease_from_ = world_.clock.now;
}

void Worker::leave_all() {
  while (!tasks.empty()) leave(tasks.begin()->first, ExitCause::none, false);
}

// ---- heartbeats

void Worker::heartbeat_in(double s) {
  const uint64_t mine = ++timer_;
  world_.clock.after(s, [this, mine] {
    if (mine == timer_) send_heartbeat();
  });
}

double Worker::soonest_heartbeat() const {
  return std::max(kSoon, last_sent_ + kLeastHeartbeatGap - world_.clock.now);
}

void Worker::on_change() {
  if (in_flight_) {
    dirty_ = true;
    return;
  }
  heartbeat_in(soonest_heartbeat());
}

// A higher token is to be reported soon, once in half a lease.
void Worker::adopt_token(uint64_t fencing_token) {
  if (fencing_token <= fencing_token_) return;
  fencing_token_ = fencing_token;
  if (world_.clock.now - token_reported_at_ < world_.settings.lease_s / 2) return;
  token_reported_at_ = world_.clock.now;
  dirty_ = true;
  on_change();
}

Heartbeat Worker::make_heartbeat() {
  Heartbeat r;
  r.machine = name;
  r.addr = "worker-" + name;
  r.type = type.name;
  r.zone = zone;
  r.spot = spot;
  r.epoch = epoch_;
  r.seq = ++seq_;
  r.fencing_token = fencing_token_;
  if (recall_at_ >= 0) r.notice_s = std::max(0.0, recall_at_ - world_.clock.now);
  for (const auto& [key, t] : tasks)
    r.tasks.push_back({key.job, key.task, t.attempt, t.phase, t.cause, t.saved});
  return r;
}

void Worker::send_heartbeat() {
  if (terminated || hung || in_flight_) return;
  in_flight_ = true;
  dirty_ = false;
  last_sent_ = world_.clock.now;
  if (world_.clock.now < mute_until) {  // it cannot even connect
    world_.clock.after(kMessageDelay, [this, sent = last_sent_, epoch = epoch_] {
      in_flight_ = false;
      if (!terminated && !hung) on_unreachable(sent, epoch);
    });
    return;
  }
  const Heartbeat heartbeat = make_heartbeat();
  world_.count_heartbeat(heartbeat);
  deliver_late_copy(heartbeat);
  world_.keep_copy(heartbeat);
  auto exchange = std::make_shared<Exchange>();
  exchange->sent = last_sent_;
  exchange->epoch = epoch_;
  world_.network.call(
      name, controller_place(controller_), kHeartbeatPatience,
      [this, heartbeat, exchange, controller = controller_] {
        HeartbeatAnswer answer = world_.controllers[controller]->on_heartbeat(heartbeat);
        if (std::exchange(exchange->served, true)) return;
        exchange->answer = std::move(answer);
        exchange->served_at = world_.clock.now;
      },
      [this, exchange](bool ok) { on_exchange_done(*exchange, ok); });
}

void Worker::deliver_late_copy(const Heartbeat& heartbeat) {
  if (world_.chance() >= world_.faults.late_heartbeats) return;
  const double delay = world_.faults.late_heartbeats_s * world_.chance();
  world_.clock.after(delay, [this, heartbeat] {
    auto& controllers = world_.controllers;
    SimController& controller = *controllers[world_.random() % controllers.size()];
    if (controller.alive) controller.on_heartbeat(heartbeat);
  });
}

void Worker::on_exchange_done(const Exchange& exchange, bool ok) {
  if (terminated) return;
  in_flight_ = false;
  if (hung) return;
  if (ok && world_.clock.now >= deaf_until)
    on_answer(exchange);
  else
    on_unreachable(exchange.sent, exchange.epoch);
}

void Worker::on_unreachable(double sent, uint64_t epoch) {
  Exchange failed;
  failed.sent = sent;
  failed.epoch = epoch;
  failed.answer.status = 0;
  on_answer(failed);
}

void Worker::on_answer(const Exchange& exchange) {
  if (exchange.epoch != epoch_) {
    heartbeat_in(kAfterNewEpoch);
    return;
  }
  const HeartbeatAnswer& answer = exchange.answer;
  if (answer.status == kAccepted) {
    on_accepted(exchange);
    return;
  }
  auto& controllers = world_.controllers;
  if (answer.status == kMisdirected && !answer.leader.empty() &&
      answer.leader != controllers[controller_]->label()) {
    for (size_t i = 0; i < controllers.size(); ++i)
      if (controllers[i]->label() == answer.leader) controller_ = i;
    heartbeat_in(kLongestRedirectDelay * world_.chance());
    return;
  }
  controller_ = (controller_ + 1) % controllers.size();
  heartbeat_in(kRetryInterval);
}

void Worker::on_accepted(const Exchange& exchange) {
  const HeartbeatAnswer& answer = exchange.answer;
  if (answer.fencing_token >= fencing_token_) {
    adopt_token(answer.fencing_token);
    lease_from_ = exchange.sent;
    execute(answer.commands, exchange.served_at);
  }
  const double jitter = 0.75 + 0.5 * world_.chance();
  const double gap = world_.settings.heartbeat_interval_s * jitter;
  if (dirty_)
    heartbeat_in(soonest_heartbeat());
  else
    heartbeat_in(std::max(kSoon, exchange.sent + gap - world_.clock.now));
}

}  // namespace rookdyke::test
