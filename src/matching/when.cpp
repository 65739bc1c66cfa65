#include "matching/when.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <optional>

namespace calicograde::matching {
namespace {

std::string lower(std::string_view s) {
  std::string out(s);
  for (char& c : out) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return out;
}

struct Net {
  std::uint32_t bits = 0;
  int length = 32;
};
std::optional<Net> net_of(std::string_view text) {
  Net out;
  const auto slash = text.find('/');
  if (slash != std::string_view::npos) {
    const auto tail = text.substr(slash + 1);
    const auto r = std::from_chars(tail.data(), tail.data() + tail.size(), out.length);
    if (r.ec != std::errc{} || r.ptr != tail.data() + tail.size() || out.length < 0 || out.length > 32)
      return std::nullopt;
    text = text.substr(0, slash);
  }
  const char *at = text.data(), *end = text.data() + text.size();
  for (int k = 0; k < 4; ++k) {
    std::uint32_t part = 0;
    const auto r = std::from_chars(at, end, part);
    if (r.ec != std::errc{} || part > 255) return std::nullopt;
    out.bits = out.bits << 8 | part, at = r.ptr;
    if (k < 3 && (at == end || *at++ != '.')) return std::nullopt;
  }
  return at == end ? std::optional(out) : std::nullopt;
}

bool in_network(std::string_view network, std::string_view address) {
  const auto n = net_of(network), a = net_of(address);
  if (!n || !a) return network == address;
  const std::uint32_t mask = n->length == 0 ? 0 : ~std::uint32_t{0} << (32 - n->length);
  return (n->bits & mask) == (a->bits & mask);
}

bool one_of(const When& w, std::string_view value) {
  using W = When::What;
  const std::string seen = w.ignore_case ? lower(value) : std::string(value);
  return std::any_of(w.values.begin(), w.values.end(), [&](const std::string& given) {
    const std::string v = w.ignore_case ? lower(given) : given;
    if (w.what == W::PathBegins) return seen.starts_with(v);
    if (w.what == W::PathEnds) return seen.ends_with(v);
    return seen == v;
  });
}

}  // namespace

bool is_network(std::string_view text) {
  return net_of(text).has_value() ||
         (text.find(':') != std::string_view::npos && text.find('/') == std::string_view::npos);
}

bool holds(const When& w, const Seen& s) {
  using W = When::What;
  bool yes = false;
  switch (w.what) {
    case W::Path:
    case W::PathBegins:
    case W::PathEnds: yes = one_of(w, s.path); break;
    case W::Method: yes = one_of(w, s.method); break;
    case W::Port: yes = one_of(w, std::to_string(s.port)); break;
    case W::Source:
      yes = std::any_of(w.values.begin(), w.values.end(),
                        [&](const std::string& network) { return in_network(network, s.source); });
      break;
    case W::Header:
      // Any of its lines; field names are the same in any case (RFC 9110, 5.1).
      for (const auto& [name, value] : *s.headers)
        yes = yes || (lower(name) == lower(w.name) && (w.values.empty() || one_of(w, value)));
  }
  return yes != w.no;
}

bool all_hold(const std::vector<When>& all, const Seen& s) {
  return std::all_of(all.begin(), all.end(), [&](const When& w) { return holds(w, s); });
}

}  // namespace calicograde::matching
