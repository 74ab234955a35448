#include "wire/message_pack.h"

namespace rookdyke::wire {

namespace {

constexpr size_t kMaxDepth = 32;

// Stops parsing beyond kMaxDepth. The library parses recursively, so a body of deeply nested lists
// would overflow the small stack of a server thread.
class DepthLimiter : public nlohmann::json_sax<json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return ++depth_ <= kMaxDepth; }
  bool key(string_t&) override { return true; }
  bool end_object() override { return exit_container(); }
  bool start_array(std::size_t) override { return ++depth_ <= kMaxDepth; }
  bool end_array() override { return exit_container(); }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool exit_container() {
    --depth_;
    return true;
  }

  size_t depth_ = 0;
};

}  // namespace

std::string pack(const json& message) {
  std::string body;
  json::to_msgpack(message, nlohmann::detail::output_adapter<char>(body));
  return body;
}

std::optional<json> unpack(const std::string& body) {
  try {
    DepthLimiter limiter;
    if (!json::sax_parse(body, &limiter, json::input_format_t::msgpack)) return std::nullopt;
    json message = json::from_msgpack(body, true, false);
    if (message.is_discarded()) return std::nullopt;
    return message;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace rookdyke::wire
