#include "intake/intake.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace calicograde::intake {
namespace {

constexpr double bytes_a_token = 4;       // until an engine has reported
constexpr std::size_t reports_kept = 32;  // for each model
constexpr std::size_t models_kept = 256;
constexpr std::size_t turn_bytes = 16;     // what a template adds around a turn
constexpr std::size_t shared_bytes = 256;  // a shorter opening saves no reader anything

TextKey key_of(const XXH3_state_t& state) {
  const TextKey key = XXH3_64bits_digest(&state);
  return key == 0 ? 1 : key;
}
void add(XXH3_state_t& state, std::string_view part) {
  const std::uint64_t size = part.size();
  XXH3_64bits_update(&state, &size, sizeof size);  // so that "ab","c" is not "a","bc"
  XXH3_64bits_update(&state, part.data(), part.size());
}

}  // namespace

double TokenMeter::estimate(const std::string& model, std::size_t bytes) const {
  double seen_bytes = 0, tokens = 0;
  if (const auto it = seen_.find(model); it != seen_.end())
    for (const auto& [b, t] : it->second) seen_bytes += b, tokens += t;
  return std::max(1.0,
                  static_cast<double>(bytes) * (seen_bytes > 0 ? tokens / seen_bytes : 1 / bytes_a_token));
}

void TokenMeter::learn(const std::string& model, std::size_t bytes, double tokens) {
  // An engine that reports nonsense must not make every later estimate nonsense.
  const double each = static_cast<double>(bytes) / std::max(1.0, tokens);
  if (bytes == 0 || !(tokens >= 1) || each < 0.25 || each > 64) return;
  if (seen_.size() >= models_kept && !seen_.contains(model)) return;
  auto& reports = seen_[model];
  reports.emplace_back(static_cast<double>(bytes), tokens);
  if (reports.size() > reports_kept) reports.pop_front();
}

std::size_t bytes_of(const ToolOffer& t) {
  return t.name.size() + t.description.size() + t.schema.size() + turn_bytes;
}

std::size_t bytes_of(const Prompt& p) {
  std::size_t n = p.system.empty() ? 0 : p.system.size() + turn_bytes;
  for (const auto& t : p.tools) n += bytes_of(t);
  for (const auto& t : p.turns) {
    n += t.text.size() + turn_bytes;
    for (const auto& u : t.uses) n += u.name.size() + u.input.size() + turn_bytes;
    for (const auto& r : t.results) n += r.text.size() + turn_bytes;
  }
  return n;
}

TextKey session_key(std::string_view user_id, const Prompt& prompt) {
  XXH3_state_t state;
  XXH3_64bits_reset(&state);
  add(state, user_id);
  add(state, prompt.system);
  if (!prompt.turns.empty()) add(state, prompt.turns.front().text);
  return key_of(state);
}

TextKey shared_key(std::string_view model, std::string_view opening) {
  if (opening.size() < shared_bytes) return 0;
  XXH3_state_t state;
  XXH3_64bits_reset(&state);
  add(state, model);
  add(state, opening);
  return key_of(state);
}

std::uint16_t customer_key(std::string_view credentials) {
  if (credentials.empty()) return 0;
  std::uint32_t h = 2166136261u;  // FNV-1a
  for (const char c : credentials) h = (h ^ static_cast<unsigned char>(c)) * 16777619u;
  return static_cast<std::uint16_t>(1 + (h ^ (h >> 16)) % 65535);
}

std::optional<Span> budget(const BudgetRule& rule, double prompt_tokens, std::string_view header) {
  const Span whole = rule.timeout + rule.per_1000_tokens * (prompt_tokens / 1000);
  if (header.empty()) return whole;
  double n = 0;
  const auto [end, error] = std::from_chars(header.data(), header.data() + header.size(), n);
  const std::string_view unit(end, static_cast<std::size_t>(header.data() + header.size() - end));
  if (error != std::errc{} || !(n >= 0) || (!unit.empty() && unit != "ms" && unit != "s"))
    return std::nullopt;
  return std::min(whole, Span::from_millis(std::min(n, 1e9) * (unit == "s" ? 1000 : 1)));
}

}  // namespace calicograde::intake
