#pragma once
// The simulated network between controllers, workers, the state service, the cloud and the users.
// It delivers requests and answers with a delay, and injects faults: messages may be lost,
// duplicated, delayed or held, and places may be partitioned from one another. The World owns one;
// all parts send their requests with it.

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace rookdyke::test {

class World;

// Names of places other than machines, which go by their own names.
inline constexpr const char* kStatePlace = "state";
inline constexpr const char* kCloudPlace = "cloud";
inline constexpr const char* kUsersPlace = "users";
inline constexpr const char* kEverywhere = "*";
inline std::string controller_place(size_t index) { return "n" + std::to_string(index); }
// The controller that a place is; empty: it is none.
std::optional<size_t> controller_at(const std::string& place);

inline constexpr double kMessageDelay = 0.005;  // seconds, without faults
inline constexpr double kLongestDelay = 2.5;    // seconds that a delayed message may take

class Network {
 public:
  explicit Network(World& world) : world_(world) {}

  // A request from one place to another. `served` runs there (perhaps late, perhaps twice);
  // `done(true)` follows if its answer came back, else `done(false)` after `timeout` seconds.
  void call(const std::string& from, const std::string& to, double timeout,
            const std::function<void()>& served, const std::function<void(bool)>& done);

  // Partitions two places for `s` seconds. With `hold`, messages are delivered afterwards.
  void cut(const std::string& a, const std::string& b, double s, bool hold);
  // What lies in a zone is cut from all that does not. Controller i lies in zone i modulo their
  // number; the state service, the cloud and the users lie in none.
  void cut_zone(const std::string& zone, double s, bool hold);
  // The state service refuses the requests of that place alone for `s` seconds.
  void refuse(const std::string& place, double s);
  bool is_cut(const std::string& a, const std::string& b) const { return cut_between(a, b); }

  // When the request was sent that is being served.
  double sent_at() const { return sent_at_; }

 private:
  struct Cut {
    double until = 0;
    bool hold = false;
  };
  struct Delays {
    double request = 0, answer = 0;
  };
  Delays draw_delays(const std::string& from, const std::string& to);
  void serve(const std::string& from, const std::string& to, double sent,
             const std::function<void()>& served);
  // Runs `fn` once the place is not paused: now, but for a controller that is frozen.
  void when_awake(const std::string& place, const std::function<void()>& fn);
  // Whether anything runs at that place.
  bool is_alive(const std::string& place) const;
  bool is_direct_command(const std::string& from, const std::string& to) const;
  const Cut* cut_between(const std::string& a, const std::string& b) const;
  std::string zone_of(const std::string& place) const;

  World& world_;
  std::map<std::pair<std::string, std::string>, Cut> cuts_;
  std::map<std::string, Cut> zone_cuts_;
  std::map<std::string, double> refused_;
  double sent_at_ = 0;
};

}  // namespace rookdyke::test
