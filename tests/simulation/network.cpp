#include "simulation/network.h"

#include <memory>

#include "simulation/world.h"

namespace rookdyke::test {

namespace {
constexpr size_t kLongestControllerPlace = 3;  // "n" and up to two digits
constexpr double kMostDuplicationDelay = 5;    // seconds
constexpr double kAfterWaking = 0.001;
constexpr double kAfterCut = 0.01;
}  // namespace

std::optional<size_t> controller_at(const std::string& place) {
  if (place[0] != 'n' || place.size() > kLongestControllerPlace) return std::nullopt;
  return std::stoul(place.substr(1));
}

void Network::cut(const std::string& a, const std::string& b, double s, bool hold) {
  cuts_[{a, b}] = cuts_[{b, a}] = {world_.clock.now + s, hold};
}

void Network::cut_zone(const std::string& zone, double s, bool hold) {
  zone_cuts_[zone] = {world_.clock.now + s, hold};
}

void Network::refuse(const std::string& place, double s) { refused_[place] = world_.clock.now + s; }

std::string Network::zone_of(const std::string& place) const {
  const auto& workers = world_.cloud.workers;
  if (auto w = workers.find(place); w != workers.end()) return w->second->zone;
  const auto controller = controller_at(place);
  const auto& zones = world_.settings.zones;
  if (!controller || zones.empty()) return "";
  return zones[*controller % zones.size()];
}

bool Network::is_direct_command(const std::string& from, const std::string& to) const {
  return from[0] == 'n' && world_.cloud.workers.count(to);
}

const Network::Cut* Network::cut_between(const std::string& a, const std::string& b) const {
  const double now = world_.clock.now;
  for (const auto& key : {std::make_pair(a, b), std::make_pair(a, std::string(kEverywhere)),
                          std::make_pair(std::string(kEverywhere), b)}) {
    auto it = cuts_.find(key);
    if (it != cuts_.end() && now < it->second.until) return &it->second;
  }
  for (const auto& [zone, c] : zone_cuts_)
    if (now < c.until && (zone_of(a) == zone) != (zone_of(b) == zone)) return &c;
  return nullptr;
}

bool Network::is_alive(const std::string& place) const {
  const auto controller = controller_at(place);
  return !controller || world_.controllers[*controller]->alive;
}

void Network::when_awake(const std::string& place, const std::function<void()>& fn) {
  const double now = world_.clock.now;
  if (const auto controller = controller_at(place)) {
    const SimController& c = *world_.controllers[*controller];
    if (const double awake = c.frozen_until + kAfterWaking; c.alive && c.frozen_until > now) {
      world_.clock.at(awake, fn);
      return;
    }
  }
  fn();
}

void Network::serve(const std::string& from, const std::string& to, double sent,
                    const std::function<void()>& served) {
  Store& store = world_.store;
  sent_at_ = sent;
  store.unanswered_starts = false;
  // One that is refused alone sees what all see in an outage: its request is not executed.
  auto refused = refused_.find(from);
  const bool refuses =
      to == kStatePlace && refused != refused_.end() && world_.clock.now < refused->second;
  const bool outage = store.outage;
  store.outage = outage || refuses;
  served();
  store.outage = outage;
}

Network::Delays Network::draw_delays(const std::string& from, const std::string& to) {
  const Faults& faults = world_.faults;
  Delays delays{kMessageDelay, kMessageDelay};
  if (world_.chance() < faults.message_delay) delays.request += kLongestDelay * world_.chance();
  if (to == kStatePlace && faults.slow_state_s > 0) {
    const double whole = faults.slow_state_s * world_.chance();
    const double before = world_.chance();  // the share of it before the request is served
    delays.request += whole * before;
    delays.answer += whole * (1 - before);
  }
  if (faults.held_commands > 0 && is_direct_command(from, to) &&
      world_.chance() < faults.held_commands) {
    const double held = faults.held_commands_s * world_.chance();
    (world_.chance() < 0.5 ? delays.request : delays.answer) += held;
  }
  return delays;
}

void Network::call(const std::string& from, const std::string& to, double timeout,
                   const std::function<void()>& served, const std::function<void(bool)>& done) {
  Clock& clock = world_.clock;
  const auto serve_request = [this, served, from, to, sent = clock.now] {
    serve(from, to, sent, served);
  };
  auto settled = std::make_shared<bool>(false);
  const auto settle = [settled, done](bool ok) {
    if (!std::exchange(*settled, true)) done(ok);
  };
  const auto finish = [this, from, settle](bool ok) {
    when_awake(from, [settle, ok] { settle(ok); });
  };
  clock.after(timeout, [finish] { finish(false); });
  const Delays delays = draw_delays(from, to);
  const auto answer = [this, from, to, serve_request, finish, back = delays.answer] {
    if (!is_alive(to)) return;
    serve_request();
    if (to == kStatePlace && world_.store.unanswered_starts) return;
    if (is_cut(from, to) || world_.chance() < world_.faults.message_loss) return;
    world_.clock.after(back, [finish] { finish(true); });
  };
  const auto serve_unanswered = [this, to, serve_request] {
    if (is_alive(to)) serve_request();
  };
  if (const Cut* c = cut_between(from, to)) {
    if (c->hold) clock.at(c->until + kAfterCut, serve_unanswered);
    return;
  }
  if (world_.chance() < world_.faults.message_loss) return;
  // A frozen process reads it when it wakes, whether or not anybody still waits for the answer.
  clock.after(delays.request, [this, to, answer] { when_awake(to, answer); });
  if (world_.chance() < world_.faults.message_duplication)
    clock.after(delays.request + kMostDuplicationDelay * world_.chance(), serve_unanswered);
}

}  // namespace rookdyke::test
