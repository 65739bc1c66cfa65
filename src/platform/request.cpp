#include "platform/request.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>

#include "platform/json.hpp"

namespace calicograde::platform {
namespace {

constexpr std::size_t longest_id = 128;
constexpr std::array<std::string_view, 13> not_passed_on = {"Connection",
                                                            "Keep-Alive",
                                                            "Proxy-Connection",
                                                            "Proxy-Authenticate",
                                                            "Proxy-Authorization",
                                                            "TE",
                                                            "Trailer",
                                                            "Transfer-Encoding",
                                                            "Upgrade",
                                                            "Expect",
                                                            "Host",
                                                            "Content-Length",
                                                            timeout_header};
constexpr double longest_timeout_ms = 3600000, most_tokens = 1e8;

bool same_name(std::string_view a, std::string_view b) {
  const auto low = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [&](char x, char y) { return low(x) == low(y); });
}

// The value of a header that may stand there once; `twice` is set where it stands more than once.
std::string_view only(const Headers& headers, std::string_view name, bool& twice) {
  std::string_view found;
  int n = 0;
  for (const auto& [key, value] : headers)
    if (same_name(key, name)) found = value, ++n;
  twice |= n > 1;
  return found;
}

std::optional<double> number(std::string_view text) {
  double v = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), v);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(v)) return std::nullopt;
  return v;
}

// A key as the platform gives it, sixteen hexadecimal digits; any other text by its hash. 0 is no key.
TextKey key_of(std::string_view text) {
  if (text.empty()) return 0;
  TextKey key = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), key, 16);
  if (error == std::errc{} && end == text.data() + text.size()) return key;
  key = text_hash(text);
  return key == 0 ? 1 : key;
}

bool plain(std::string_view id) {
  return std::all_of(id.begin(), id.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
           c == '_' || c == '.' || c == '~';
  });
}

}  // namespace

std::variant<Wanted, Refusal> read_request(const Headers& headers, std::size_t body_bytes,
                                           const Decoded& names) {
  const auto refuse = [](std::string what) { return Refusal{400, std::move(what)}; };
  Wanted w;
  bool twice = false;
  w.id = only(headers, id_header, twice);
  const auto route = only(headers, "Request-Class", twice), timeout = only(headers, timeout_header, twice);
  const auto key = only(headers, "Affinity-Key", twice), info = only(headers, "Request-Info", twice);
  const auto retry = only(headers, "Client-Retry", twice);
  if (twice) return refuse("a header of the request stands there more than once; send it once");
  if (w.id.empty()) return refuse("Request-Id is missing; give each request a new one");
  // It becomes part of a path to engines.
  if (w.id.size() > longest_id || !plain(w.id))
    return refuse("Request-Id may have 128 letters, digits, '-', '_', '.' or '~'");
  const auto named = std::find(names.routes.begin(), names.routes.end(), plain_name(std::string(route)));
  if (route.empty() || named == names.routes.end())
    return refuse("Request-Class is missing or not served here; name one of the service's");
  w.route = static_cast<std::size_t>(named - names.routes.begin());
  const auto ms = number(timeout);
  if (!ms || *ms < 1 || *ms > longest_timeout_ms || *ms != std::floor(*ms))
    return refuse("Request-Timeout-Ms is missing or no number; give whole milliseconds, 1 to 3600000");
  w.budget = Span::from_millis(*ms);
  w.session = key_of(key);
  w.repeat = retry == "1", w.resumed = retry == "again";
  w.prompt_tokens = static_cast<double>(body_bytes) / 4, w.max_answer_tokens = 256;
  for (auto rest = info; !rest.empty();) {
    const auto comma = rest.find(',');
    std::string_view part = rest.substr(0, comma);
    rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
    while (!part.empty() && part.front() == ' ') part.remove_prefix(1);
    const auto eq = part.find('=');
    if (eq == std::string_view::npos) return refuse("Request-Info has a part that is no name=value");
    const auto name = part.substr(0, eq), value = part.substr(eq + 1);
    if (name == "prefix") w.shared_text = key_of(value);
    double* const length = name == "prompt_len"   ? &w.prompt_tokens
                           : name == "prefix_len" ? &w.shared_tokens
                           : name == "max_out"    ? &w.max_answer_tokens
                                                  : nullptr;
    if (!length) continue;
    const auto tokens = number(value);
    if (!tokens || *tokens < 0 || *tokens > most_tokens)
      return refuse("Request-Info: " + std::string(name) + " is no length in tokens");
    *length = *tokens;
  }
  w.shared_tokens = std::min(w.shared_tokens, w.prompt_tokens);
  return w;
}

Headers end_to_end_headers(Headers headers) {
  const auto is_any = [](std::string_view name, const auto& names) {
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view one) { return same_name(name, one); });
  };
  std::vector<std::string> named;  // by a Connection header
  for (const auto& [name, value] : headers) {
    if (!same_name(name, "Connection")) continue;
    for (std::string_view rest = value; !rest.empty();) {
      const auto comma = rest.find(',');
      std::string_view option = rest.substr(0, comma);
      rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
      while (!option.empty() && option.front() == ' ') option.remove_prefix(1);
      while (!option.empty() && option.back() == ' ') option.remove_suffix(1);
      named.emplace_back(option);
    }
  }
  std::erase_if(headers, [&](const auto& header) {
    return is_any(header.first, not_passed_on) || is_any(header.first, named);
  });
  return headers;
}

}  // namespace calicograde::platform
