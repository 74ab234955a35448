#pragma once
// Names this process and its transactions, so that no transaction is ever taken for one of another
// process, also not of a predecessor with the same label.

#include <atomic>
#include <cstdint>
#include <string>

namespace rookdyke {

// Thread-safe.
class TransactionIds {
 public:
  // `label`: this controller's.
  explicit TransactionIds(const std::string& label);

  // Names this process among all that ever had its label.
  const std::string& incarnation() const { return incarnation_; }
  // An id that no other transaction ever had.
  std::string next();

 private:
  const std::string incarnation_;
  std::atomic<uint64_t> count_{0};
};

}  // namespace rookdyke
