#include "wire/percent_encoding.h"

#include <cctype>
#include <string_view>

namespace rookdyke::wire {

namespace {

constexpr std::string_view kHexDigits = "0123456789ABCDEF";
constexpr std::string_view kUnescapedMarks = "-_./~";

bool is_unescaped(unsigned char c) {
  return std::isalnum(c) || kUnescapedMarks.find(static_cast<char>(c)) != std::string_view::npos;
}

}  // namespace

std::string percent_encode(const std::string& text) {
  std::string encoded;
  for (const unsigned char c : text) {
    if (is_unescaped(c)) {
      encoded += static_cast<char>(c);
    } else {
      encoded += '%';
      encoded += kHexDigits[c >> 4];
      encoded += kHexDigits[c & 15];
    }
  }
  return encoded;
}

}  // namespace rookdyke::wire
