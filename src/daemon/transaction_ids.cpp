#include "daemon/transaction_ids.h"

#include <chrono>
#include <random>

namespace rookdyke {

namespace {

std::string new_incarnation(const std::string& label) {
  const auto started = std::chrono::system_clock::now().time_since_epoch().count();
  std::mt19937 random(std::random_device{}());
  return label + "." + std::to_string(started) + "." + std::to_string(random());
}

}  // namespace

TransactionIds::TransactionIds(const std::string& label) : incarnation_(new_incarnation(label)) {}

std::string TransactionIds::next() { return incarnation_ + "." + std::to_string(++count_); }

}  // namespace rookdyke
