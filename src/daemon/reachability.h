#pragma once
// Records when the state service last responded to this controller and to its peer controllers.
// Lock-free, so that health checks are answered even while a scheduling round holds the mutex of
// SharedState. Times are those of steady_now(), in seconds.

#include <atomic>

namespace rookdyke {

class Reachability {
 public:
  void on_state_service_response(double now) { last_state_service_response_at_ = now; }
  double last_state_service_response_at() const { return last_state_service_response_at_; }
  // Whether the state service has responded to this controller recently.
  bool state_service_available(double now) const {
    return now - last_state_service_response_at_ < kFreshnessS;
  }

  // A peer controller reported that the state service responds to it.
  void on_peer_reaches_state_service(double now) { last_peer_report_at_ = now; }
  // Whether a peer controller has reported this recently.
  bool peers_reach_state_service(double now) const {
    return now - last_peer_report_at_ < kFreshnessS;
  }

  // All rows of the ledger were read at least once.
  void on_ledger_loaded() { ledger_loaded_ = true; }
  bool ledger_loaded() const { return ledger_loaded_; }

 private:
  static constexpr double kFreshnessS = 2;
  static constexpr double kNever = -1e9;

  std::atomic<double> last_state_service_response_at_{kNever};
  std::atomic<double> last_peer_report_at_{kNever};
  std::atomic<bool> ledger_loaded_{false};
};

}  // namespace rookdyke
