#include "scenario/script.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace rookdyke::test {

namespace {
constexpr size_t kFirstOption = 3;  // the words before it are positional
}

void Line::fail(const std::string& what) const {
  throw ScriptError("line " + std::to_string(number_) + ": " + what);
}

const std::string& Line::word(size_t i) const {
  if (i >= words_.size()) fail("a word is missing");
  return words_[i];
}

double Line::number(size_t i) const {
  if (i >= words_.size()) fail("a number is missing");
  size_t used = 0;
  double value = 0;
  try {
    value = std::stod(words_[i], &used);
  } catch (const std::exception&) {
    used = 0;
  }
  if (used == 0 || used != words_[i].size()) fail("not a number: " + words_[i]);
  return value;
}

std::optional<size_t> Line::find(const std::string& option) const {
  for (size_t i = kFirstOption; i < words_.size(); ++i)
    if (words_[i] == option) return i;
  return std::nullopt;
}

double Line::option(const std::string& name, double otherwise) const {
  const auto at = find(name);
  return at ? number(*at + 1) : otherwise;
}

std::string Line::text_option(const std::string& name, const std::string& otherwise) const {
  const auto at = find(name);
  return at ? word(*at + 1) : otherwise;
}

std::string Line::text() const {
  std::string text;
  for (const std::string& word : words_) text += word + " ";
  return text;
}

Script read_script(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw ScriptError("cannot read " + path);
  Script script;
  int number = 0;
  for (std::string text; std::getline(in, text);) {
    ++number;
    std::stringstream stream(text.substr(0, text.find('#')));
    std::vector<std::string> words;
    for (std::string word; stream >> word;) words.push_back(word);
    if (!words.empty()) script.emplace_back(number, std::move(words));
  }
  return script;
}

}  // namespace rookdyke::test
