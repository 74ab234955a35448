#pragma once
// When the state service last answered this controller, and its siblings. Lock-free, because health
// checks are answered from it also while a scheduling round holds the mutex of SharedState.
// Moments are of steady_now().

#include <atomic>

namespace rookdyke {

class Reachability {
 public:
  // The state service answered this controller.
  void on_state_answer(double now) { state_answered_at_ = now; }
  double state_answered_at() const { return state_answered_at_; }
  // It did so lately.
  bool state_answers(double now) const { return now - state_answered_at_ < kFreshS; }

  // A sibling said that the state service answers it.
  void on_sibling_served(double now) { sibling_served_at_ = now; }
  // One said so lately.
  bool siblings_are_served(double now) const { return now - sibling_served_at_ < kFreshS; }

  // All rows of the ledger were read, once at least.
  void on_ledger_loaded() { ledger_loaded_ = true; }
  bool ledger_loaded() const { return ledger_loaded_; }

 private:
  static constexpr double kFreshS = 2;
  static constexpr double kNever = -1e9;

  std::atomic<double> state_answered_at_{kNever};
  std::atomic<double> sibling_served_at_{kNever};
  std::atomic<bool> ledger_loaded_{false};
};

}  // namespace rookdyke
