#pragma once
// Descriptions of numeric settings: the key in the file, the member that is set, and the range of
// valid values. settings_file.cpp and ini_file.cpp have tables of them; no other code uses the
// keys.

#include <cstddef>
#include <type_traits>
#include <variant>

#include "config/config.h"
#include "model/settings.h"

namespace rookdyke {

// A closed interval.
struct Range {
  double min = 0;
  double max = 0;

  bool contains(double value) const { return value >= min && value <= max; }
};

// The member that a setting is stored in.
using NumberTarget =
    std::variant<double Config::*, int Config::*, size_t Config::*, double Settings::*,
                 size_t Settings::*, double Tuning::*, int Tuning::*>;

struct NumberSetting {
  const char* key;
  NumberTarget target;
  Range range;
};

// Whether the target has an integer type.
inline bool is_integer(const NumberTarget& target) {
  return std::visit(
      []<class Part, class Number>(Number Part::*) { return std::is_integral_v<Number>; }, target);
}

// Visitor of NumberTarget that stores a value in the target. Integer targets truncate the value.
class NumberAssignment {
 public:
  NumberAssignment(Config& config, double value) : config_(config), value_(value) {}

  template <class Number>
  void operator()(Number Config::*member) const {
    config_.*member = static_cast<Number>(value_);
  }
  template <class Number>
  void operator()(Number Settings::*member) const {
    config_.scheduler.*member = static_cast<Number>(value_);
  }
  template <class Number>
  void operator()(Number Tuning::*member) const {
    config_.scheduler.tuning.*member = static_cast<Number>(value_);
  }

 private:
  Config& config_;
  double value_;
};

inline void assign(Config& config, const NumberTarget& target, double value) {
  std::visit(NumberAssignment(config, value), target);
}

}  // namespace rookdyke
