#pragma once
// The text of a scenario file: lines of words, with access that names the line in errors. What the
// words mean is up to setup.h, actions.h and expectations.h; the format is described at the head of
// run_scenario.cpp.

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace rookdyke::test {

// A scenario file that cannot be played.
class ScriptError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Line {
 public:
  // `words` is not empty.
  Line(int number, std::vector<std::string> words) : number_(number), words_(std::move(words)) {}

  int line_number() const { return number_; }
  const std::string& keyword() const { return words_[0]; }
  size_t size() const { return words_.size(); }
  // All of these throw ScriptError if the word is missing or no number.
  const std::string& word(size_t i) const;
  double number(size_t i) const;
  size_t count(size_t i) const { return static_cast<size_t>(number(i)); }
  // Where an option's name is, after the positional words; empty: it is not given.
  std::optional<size_t> find(const std::string& option) const;
  bool has(const std::string& option) const { return find(option).has_value(); }
  // The number or word after an option's name, or `otherwise` if it is not given.
  double option(const std::string& name, double otherwise) const;
  std::string text_option(const std::string& name, const std::string& otherwise) const;
  // The words, each followed by a space.
  std::string text() const;

  [[noreturn]] void fail(const std::string& what) const;
  [[noreturn]] void fail_unknown(const std::string& word) const { fail("unknown: " + word); }

 private:
  int number_;
  std::vector<std::string> words_;
};

using Script = std::vector<Line>;

// Throws ScriptError if the file cannot be read.
Script read_script(const std::string& path);

}  // namespace rookdyke::test
