#pragma once
// Generates unique ids for this process and its transactions. They differ from those of any other
// process, including earlier processes of the same controller.

#include <atomic>
#include <cstdint>
#include <string>

namespace rookdyke {

// Thread-safe.
class TransactionIds {
 public:
  // `label`: the label of this controller.
  explicit TransactionIds(const std::string& label);

  // Identifies this process among all processes of this controller.
  const std::string& incarnation() const { return incarnation_; }
  // Returns a new, globally unique transaction id.
  std::string next();

 private:
  const std::string incarnation_;
  std::atomic<uint64_t> count_{0};
};

}  // namespace rookdyke
