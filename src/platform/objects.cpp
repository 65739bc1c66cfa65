#include "platform/objects.hpp"

#include <boost/json/src.hpp>
#include <utility>

namespace calicograde::platform {

struct Objects::Parts {
  boost::json::stream_parser parser;
  std::string begun;
};

Objects::Objects(std::size_t most_bytes) : most_(most_bytes), parts_(std::make_unique<Parts>()) {}
Objects::~Objects() = default;

bool Objects::feed(std::string_view bytes, std::vector<std::string>& out) {
  constexpr std::string_view blank = " \t\r\n";
  while (!bytes.empty()) {
    if (parts_->begun.empty()) {
      const auto at = bytes.find_first_not_of(blank);
      if (at == std::string_view::npos) return true;
      bytes.remove_prefix(at);
      if (bytes.front() != '{') return false;
    }
    boost::json::error_code ec;
    const std::size_t n = parts_->parser.write_some(bytes.data(), bytes.size(), ec);
    if (ec) return false;
    parts_->begun.append(bytes.substr(0, n)), bytes.remove_prefix(n);
    if (parts_->begun.size() > most_) return false;
    if (!parts_->parser.done()) continue;
    // The parser takes what is blank behind the object with it.
    parts_->begun.resize(parts_->begun.find_last_of('}') + 1);
    out.push_back(std::exchange(parts_->begun, {}));
    parts_->parser.reset();
  }
  return true;
}

}  // namespace calicograde::platform
